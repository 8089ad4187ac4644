---------------------------- MODULE JobOwnership ----------------------------
(* Models successive owners of the scheduling: their orders to targets, the ends of tasks and the
   writes to the store (docs/platform.md, "Ownership and takeover" and "Life of a job and of a
   task").

   Start orders and writes of submitted jobs stay in flight until they are carried out. They can be
   lost, and can arrive after newer ones. A paused owner takes no step and still believes that it is
   the owner. Time is not modelled: the wait for the longest lease is the action WaitOutLeases,
   which is enabled once all earlier owners have stepped down and nothing of theirs can run at the
   target or arrive there. An order reaches the incarnation that it was sent to or none;
   TargetIncarnations models orders that a later one under the same id executes. *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS Daemons, Targets, Tasks, Services, MaxTerm, MaxRuns, Capacity,
    KnowsAllFirst,     \* FALSE: an owner starts tasks before it knows the runs of awaited targets
    AwaitsNoted,       \* FALSE: an owner awaits only targets of the queue's present service
    NotesFirst,        \* FALSE: an owner starts tasks in a service before the note of it is stored
    ForgetsLast,       \* FALSE: an owner removes the note of a service while tasks may run there
    ChecksToken,       \* FALSE: targets accept orders with an old token
    RecordsEndsFirst,  \* FALSE: targets may drop ends before the store holds them
    ResolvesStarts,    \* FALSE: a start without a response counts as not carried out
    FencedWrites,      \* FALSE: writes take effect whatever the term in the store
    ResolvesWrites,    \* FALSE: a submission is refused while its write may still take effect
    RecordsTargets,    \* FALSE: a new owner knows only the targets that the platform lists
    RecordsFirst,      \* FALSE: an owner starts tasks on a target before its record is stored
    ReadsAfterTerm,    \* FALSE: a new owner may read the records before it writes its term
    ConfirmsTerm,      \* FALSE: an owner that was replaced concludes that leases have ended
    MayCancel,         \* whether the job can be cancelled
    ConfirmsStored,    \* FALSE: targets may drop ends of a job whose cancellation is not stored
    MaxListChanges,    \* how often entries of the platform's list are removed or added
    AcceptedBefore,    \* whether the job has been accepted before the first takeover
    MayEnd,            \* whether targets can end; a target is one incarnation
    OneHost,           \* whether the targets run on one host, one after the other
    OneId,             \* whether these also have one id, under which they are listed and recorded
    ConfirmsEnded,     \* FALSE: an owner that was replaced concludes that a target has ended
    ReadsHostsAfter    \* FALSE: an owner relies on a host list read before it knew the target

VARIABLES
    term,       \* term of the newest owner, in the store
    owner,      \* term that each daemon believes it holds; 0: none
    listed,     \* targets that have an entry in the platform's list
    changes,    \* number of changes of that list
    recorded,   \* targets that have a record in the store
    aware,      \* targets that each owner has found in the list or in the records
    confirmed,  \* targets that each owner knows to be recorded
    awaited,    \* targets on which each owner must know the runs before it starts a task
    known,      \* targets whose runs each owner knows, by a poll or by waiting out the leases
    possible,   \* runs that may exist as far as each owner knows
    token,      \* highest token that each target has seen
    runs,       \* runs that execute at each target
    ended,      \* completed runs that each target lists
    refused,    \* runs that each target refuses to start
    orders,     \* start orders in flight
    done,       \* tasks whose completion the store holds
    knownDone,  \* tasks that each owner knows to be completed
    started,    \* number of start orders that each daemon has sent in its term
    cancelling, \* whether each owner knows the job to be cancelled
    cancelled,  \* whether the store holds the cancellation
    dropped,    \* tasks with an end that a target dropped while the store did not hold it
    lostEnd,    \* a target dropped an end, and the store held no reason not to start the task again
    restarted,  \* a task was started although the store holds its completion or its end was dropped
    mayRerun,   \* tasks that may run again: they had ended at a target whose lease then expired
    job,        \* whether the job's record is in the store
    writes,     \* terms of the writes of the submitted job that are in flight
    response,   \* response to the client: "none", "accepted" or "refused"
    alive,      \* targets that have started and not ended
    over,       \* targets that have ended
    gone,       \* targets that were not alive when each owner read the host list
    serviceOf,  \* service to which each target belongs
    route,      \* service to which each owner sends the queue of the job, as a set of one element
    noted,      \* services that the store names as those on whose targets tasks may run
    confirmedNote   \* services that each owner knows to be noted

vars == <<term, owner, listed, changes, recorded, aware, confirmed, awaited, known, possible, token,
          runs, ended, refused, orders, done, knownDone, started, cancelling, cancelled, dropped,
          lostEnd, restarted, mayRerun, job, writes, response, alive, over, gone, serviceOf, route,
          noted, confirmedNote>>

targetLists == <<listed, changes, recorded, aware, confirmed, awaited>>

cancellations == <<cancelling, cancelled, dropped>>

lives == <<alive, over, gone>>

notes == <<noted, confirmedNote>>

routes == <<serviceOf, route, notes>>

Run == [target : Targets, task : Tasks, number : Nat]

Init ==
    /\ term = 0
    /\ owner = [d \in Daemons |-> 0]
    /\ alive \in IF OneHost THEN {{t} : t \in Targets} ELSE {Targets}
    /\ over = {}
    /\ gone = [d \in Daemons |-> {}]
    /\ serviceOf \in [Targets -> Services]
    /\ route = [d \in Daemons |-> {}]
    /\ noted = IF Cardinality(Services) = 1 THEN Services ELSE {}
    /\ confirmedNote = [d \in Daemons |-> {}]
    /\ listed = alive
    /\ changes = 0
    /\ recorded = {}
    /\ aware = [d \in Daemons |-> {}]
    /\ confirmed = [d \in Daemons |-> {}]
    /\ awaited = [d \in Daemons |-> {}]
    /\ known = [d \in Daemons |-> {}]
    /\ possible = [d \in Daemons |-> {}]
    /\ token = [t \in Targets |-> 0]
    /\ runs = [t \in Targets |-> {}]
    /\ ended = [t \in Targets |-> {}]
    /\ refused = [t \in Targets |-> {}]
    /\ orders = {}
    /\ done = {}
    /\ knownDone = [d \in Daemons |-> {}]
    /\ started = [d \in Daemons |-> 0]
    /\ cancelling = [d \in Daemons |-> FALSE]
    /\ cancelled = FALSE
    /\ dropped = {}
    /\ lostEnd = FALSE
    /\ restarted = FALSE
    /\ mayRerun = {}
    /\ job = AcceptedBefore
    /\ writes = {}
    /\ response = IF AcceptedBefore THEN "accepted" ELSE "none"

\* What a new owner can have read of the records. An earlier read may have found none.
ReadableRecords == IF ReadsAfterTerm THEN {recorded} ELSE {recorded, {}}

\* The lease of the last owner has expired, which that owner may not know. Earlier owners have
\* started tasks only on targets that were recorded before, so other targets are not awaited.
TakeOver(d) ==
    /\ term < MaxTerm
    /\ owner[d] = 0
    /\ term' = term + 1
    /\ owner' = [owner EXCEPT ![d] = term + 1]
    /\ \E records \in ReadableRecords :
        /\ aware' = [aware EXCEPT ![d] =
            IF OneId /\ listed # {} THEN listed ELSE listed \cup records]
        /\ confirmed' = [confirmed EXCEPT ![d] = records]
        /\ awaited' = [awaited EXCEPT ![d] = IF RecordsTargets THEN records ELSE listed]
    /\ known' = [known EXCEPT ![d] = {}]
    /\ possible' = [possible EXCEPT ![d] = {}]
    /\ knownDone' = [knownDone EXCEPT ![d] = done]
    /\ started' = [started EXCEPT ![d] = 0]
    /\ cancelling' = [cancelling EXCEPT ![d] = cancelled]
    /\ \E s \in Services : route' = [route EXCEPT ![d] = {s}]
    /\ confirmedNote' = [confirmedNote EXCEPT ![d] = noted]
    /\ UNCHANGED <<listed, changes, recorded, token, runs, ended, refused, orders, done, cancelled,
                   dropped, lostEnd, restarted, mayRerun, job, writes, response, lives,
                   serviceOf, noted>>

\* A daemon that is not the owner uses nothing of what it knew, which TakeOver replaces. It is reset,
\* so that such states are equal.
StepDown(d) ==
    /\ owner[d] # 0 /\ owner[d] < term
    /\ owner' = [owner EXCEPT ![d] = 0]
    /\ aware' = [aware EXCEPT ![d] = {}]
    /\ confirmed' = [confirmed EXCEPT ![d] = {}]
    /\ awaited' = [awaited EXCEPT ![d] = {}]
    /\ known' = [known EXCEPT ![d] = {}]
    /\ possible' = [possible EXCEPT ![d] = {}]
    /\ knownDone' = [knownDone EXCEPT ![d] = {}]
    /\ started' = [started EXCEPT ![d] = 0]
    /\ cancelling' = [cancelling EXCEPT ![d] = FALSE]
    /\ gone' = [gone EXCEPT ![d] = {}]
    /\ route' = [route EXCEPT ![d] = {}]
    /\ confirmedNote' = [confirmedNote EXCEPT ![d] = {}]
    /\ UNCHANGED <<listed, changes, recorded, term, token, runs, ended, refused, orders, done,
                   cancelled, dropped, lostEnd, restarted, mayRerun, job, writes, response, alive,
                   over, serviceOf, noted>>

\* The platform's list can lack a target that executes runs, for instance one that is cut off from
\* the store, and can list it again, but does not list an incarnation after a later one.
ChangeList(t) ==
    /\ changes < MaxListChanges
    /\ t \in listed \/ t \in alive
    /\ changes' = changes + 1
    /\ listed' = IF t \in listed THEN listed \ {t} ELSE listed \cup {t}
    /\ UNCHANGED <<term, owner, recorded, aware, confirmed, awaited, known, possible, token, runs,
                   ended, refused, orders, done, knownDone, started, cancellations, lostEnd,
                   restarted, mayRerun, job, writes, response, lives, routes>>

\* The owner finds a target that was not listed before. The entry replaces that of an earlier
\* incarnation under the same id.
FindTarget(d, t) ==
    /\ owner[d] # 0 /\ t \in listed \ aware[d]
    /\ aware' = [aware EXCEPT ![d] = IF OneId THEN {t} ELSE @ \cup {t}]
    /\ UNCHANGED <<term, owner, listed, changes, recorded, confirmed, awaited, known, possible,
                   token, runs, ended, refused, orders, done, knownDone, started, cancellations,
                   lostEnd, restarted, mayRerun, job, writes, response, lives, routes>>

\* The owner records a target before it starts anything there. The record replaces that of an earlier
\* incarnation under the same id.
RecordTarget(d, t) ==
    /\ RecordsTargets /\ owner[d] # 0 /\ owner[d] = term
    /\ t \in aware[d] \ confirmed[d]
    /\ recorded' = IF OneId THEN {t} ELSE recorded \cup {t}
    /\ confirmed' = [confirmed EXCEPT ![d] = IF OneId THEN {t} ELSE @ \cup {t}]
    /\ UNCHANGED <<term, owner, listed, changes, aware, awaited, known, possible, token, runs,
                   ended, refused, orders, done, knownDone, started, cancellations, lostEnd,
                   restarted, mayRerun, job, writes, response, lives, routes>>

\* The owner deletes the record of a target that is not listed or has ended once nothing can run there
\* as far as it knows and the store holds all ends that it knows of.
ForgetTarget(d, t) ==
    /\ owner[d] # 0 /\ owner[d] = term
    /\ t \in known[d] \cap confirmed[d] /\ (t \notin listed \/ t \in gone[d])
    /\ \A r \in possible[d] : r.target # t
    /\ knownDone[d] \subseteq done /\ (cancelling[d] => cancelled)
    /\ recorded' = recorded \ {t}
    /\ confirmed' = [confirmed EXCEPT ![d] = @ \ {t}]
    /\ UNCHANGED <<term, owner, listed, changes, aware, awaited, known, possible, token, runs,
                   ended, refused, orders, done, knownDone, started, cancellations, lostEnd,
                   restarted, mayRerun, job, writes, response, lives, routes>>

\* The owner learns that the operator sends the queue of the job to another service. Daemons learn of
\* a configuration at any time, so a new owner may know an earlier one than the owner before it.
ChangeRoute(d, s) ==
    /\ owner[d] # 0 /\ s \notin route[d]
    /\ route' = [route EXCEPT ![d] = {s}]
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   done, knownDone, started, cancellations, lostEnd, restarted, mayRerun, job,
                   writes, response, lives, serviceOf, notes>>

\* The owner notes the service to which it sends the queue before it starts a task there.
NoteService(d) ==
    /\ owner[d] # 0 /\ owner[d] = term /\ ~(route[d] \subseteq confirmedNote[d])
    /\ noted' = noted \cup route[d]
    /\ confirmedNote' = [confirmedNote EXCEPT ![d] = @ \cup route[d]]
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   done, knownDone, started, cancellations, lostEnd, restarted, mayRerun, job,
                   writes, response, lives, serviceOf, route>>

\* Targets of a service on which the owner must know the runs.
AwaitedOf(d, s) == {t \in awaited[d] : serviceOf[t] = s}

\* The owner removes the note of a service to which it does not send the queue any more once nothing
\* can run there as far as it knows and the store holds all ends that it knows of.
ForgetService(d, s) ==
    /\ owner[d] # 0 /\ owner[d] = term
    /\ s \in confirmedNote[d] /\ s \notin route[d]
    /\ ForgetsLast =>
        /\ AwaitedOf(d, s) \subseteq known[d]
        /\ \A r \in possible[d] : serviceOf[r.target] # s
        /\ knownDone[d] \subseteq done /\ (cancelling[d] => cancelled)
    /\ noted' = noted \ {s}
    /\ confirmedNote' = [confirmedNote EXCEPT ![d] = @ \ {s}]
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   done, knownDone, started, cancellations, lostEnd, restarted, mayRerun, job,
                   writes, response, lives, serviceOf, route>>

AcceptsTerm(t, n) == ChecksToken => n >= token[t]

\* A poll raises the token of the target and returns what runs there and what has ended. A run that
\* is not listed is certain not to exist only if its order can no longer arrive. An owner that has
\* cancelled the job does not record the ends of its runs.
Poll(d, t) ==
    /\ owner[d] # 0 /\ t \in aware[d] \cap alive /\ AcceptsTerm(t, owner[d])
    /\ token' = [token EXCEPT ![t] = IF owner[d] > @ THEN owner[d] ELSE @]
    /\ known' = [known EXCEPT ![d] = @ \cup {t}]
    /\ possible' = [possible EXCEPT ![d] =
        {r \in @ : r.target # t \/ (r \in orders /\ r \notin refused[t])} \cup runs[t]]
    /\ knownDone' = [knownDone EXCEPT ![d] =
        IF cancelling[d] THEN @ ELSE @ \cup {r.task : r \in ended[t]}]
    /\ UNCHANGED <<targetLists, term, owner, runs, ended, refused, orders, done, started,
                   cancellations, lostEnd, restarted, mayRerun, job, writes, response, lives,
                   routes>>

\* The owner cancels the job on a client's request. It stops runs and starts none from then on, and
\* the store learns of the cancellation later.
Cancel(d) ==
    /\ MayCancel /\ owner[d] # 0 /\ job /\ ~cancelling[d]
    /\ cancelling' = [cancelling EXCEPT ![d] = TRUE]
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   done, knownDone, started, cancelled, dropped, lostEnd, restarted, mayRerun, job,
                   writes, response, lives, routes>>

\* The store accepts the ends and the cancellation that the owner knows of if no newer owner has
\* written its term.
Commit(d) ==
    /\ owner[d] # 0 /\ (FencedWrites => owner[d] = term)
    /\ knownDone[d] \ done # {} \/ (cancelling[d] /\ ~cancelled)
    /\ done' = done \cup knownDone[d]
    /\ cancelled' = (cancelled \/ cancelling[d])
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   knownDone, started, cancelling, dropped, lostEnd, restarted, mayRerun, job,
                   writes, response, lives, routes>>

\* The owner tells the target (LastSeen in a poll) that it knows of an end, so the target drops it.
\* The store then holds the completion of the task or the cancellation of its job.
DropEnd(d, t, r) ==
    /\ owner[d] # 0 /\ t \in alive /\ AcceptsTerm(t, owner[d]) /\ r \in ended[t]
    /\ r.task \in knownDone[d] \/ cancelling[d]
    /\ RecordsEndsFirst =>
        r.task \in done \/ (cancelling[d] /\ (ConfirmsStored => cancelled))
    /\ token' = [token EXCEPT ![t] = IF owner[d] > @ THEN owner[d] ELSE @]
    /\ ended' = [ended EXCEPT ![t] = @ \ {r}]
    /\ dropped' = dropped \cup ({r.task} \ done)
    /\ lostEnd' = (lostEnd \/ (r.task \notin done /\ ~cancelled))
    /\ UNCHANGED <<targetLists, term, owner, known, possible, runs, refused, orders, done,
                   knownDone, started, cancelling, cancelled, restarted, mayRerun, job, writes,
                   response, lives, routes>>

Start(d, t, task) ==
    /\ owner[d] # 0 /\ job /\ started[d] < MaxRuns
    /\ t \in aware[d] /\ (RecordsTargets /\ RecordsFirst => t \in confirmed[d])
    /\ serviceOf[t] \in route[d] /\ (NotesFirst => route[d] \subseteq confirmedNote[d])
    /\ KnowsAllFirst =>
        \A s \in (IF AwaitsNoted THEN route[d] \cup confirmedNote[d] ELSE route[d]) :
            AwaitedOf(d, s) \subseteq known[d]
    /\ task \notin knownDone[d] /\ ~cancelling[d]
    /\ \A r \in possible[d] : r.task # task
    /\ Cardinality({r \in possible[d] : r.target = t}) < Capacity
    /\ LET r == [target |-> t, task |-> task, number |-> owner[d] * 100 + started[d]] IN
        /\ orders' = orders \cup {r}
        /\ possible' = [possible EXCEPT ![d] = @ \cup {r}]
    /\ started' = [started EXCEPT ![d] = @ + 1]
    /\ UNCHANGED <<targetLists, term, owner, known, token, runs, ended, refused, done, knownDone,
                   cancellations, lostEnd, restarted, mayRerun, job, writes, response, lives,
                   routes>>

TermOf(r) == r.number \div 100

OrderArrives(r) ==
    /\ r \in orders
    /\ orders' = orders \ {r}
    /\ IF r.target \in alive /\ AcceptsTerm(r.target, TermOf(r)) /\ r \notin refused[r.target]
       THEN /\ runs' = [runs EXCEPT ![r.target] = @ \cup {r}]
            /\ token' = [token EXCEPT ![r.target] = IF TermOf(r) > @ THEN TermOf(r) ELSE @]
            /\ restarted' = (restarted \/ (r.task \in (done \cup dropped) \ mayRerun))
       ELSE UNCHANGED <<runs, token, restarted>>
    /\ UNCHANGED <<targetLists, term, owner, known, possible, ended, refused, done, knownDone,
                   started, cancellations, lostEnd, mayRerun, job, writes, response, lives, routes>>

\* A stop that the target responds to: the target ends the run, or will not start it. Its outcome is
\* known only from the next poll, since the run may have completed before the stop.
StopRun(d, r) ==
    /\ owner[d] # 0 /\ r \in possible[d] /\ r.target \in alive /\ AcceptsTerm(r.target, owner[d])
    /\ token' = [token EXCEPT ![r.target] = IF owner[d] > @ THEN owner[d] ELSE @]
    /\ runs' = [runs EXCEPT ![r.target] = @ \ {r}]
    /\ refused' = [refused EXCEPT ![r.target] = @ \cup {r}]
    /\ UNCHANGED <<targetLists, term, owner, known, possible, ended, orders, done, knownDone,
                   started, cancellations, lostEnd, restarted, mayRerun, job, writes, response,
                   lives, routes>>

\* Enabled only in the broken variant: a missing response is taken as a refusal.
AssumeNotStarted(d, r) ==
    /\ ~ResolvesStarts /\ owner[d] # 0 /\ r \in possible[d]
    /\ possible' = [possible EXCEPT ![d] = @ \ {r}]
    /\ UNCHANGED <<targetLists, term, owner, known, token, runs, ended, refused, orders, done,
                   knownDone, started, cancellations, lostEnd, restarted, mayRerun, job, writes,
                   response, lives, routes>>

Finish(t, r) ==
    /\ r \in runs[t]
    /\ runs' = [runs EXCEPT ![t] = @ \ {r}]
    /\ ended' = [ended EXCEPT ![t] = @ \cup {r}]
    /\ refused' = [refused EXCEPT ![t] = @ \cup {r}]
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, orders, done, knownDone,
                   started, cancellations, lostEnd, restarted, mayRerun, job, writes, response,
                   lives, routes>>

\* The lease of a target expires: its runs are killed, and orders in flight under it are refused.
LeaseExpires(t) ==
    /\ runs[t] # {} \/ \E r \in orders : r.target = t
    /\ runs' = [runs EXCEPT ![t] = {}]
    /\ orders' = {r \in orders : r.target # t}
    /\ mayRerun' = mayRerun \cup {r.task : r \in ended[t]}
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, ended, refused, done,
                   knownDone, started, cancellations, lostEnd, restarted, job, writes, response,
                   lives, routes>>

\* No lease of the given owner or an earlier one holds at a target, or it is not that owner's any more.
LeaseIsOver(d, t) ==
    \/ token[t] > owner[d]
    \/ runs[t] = {} /\ \A r \in orders : r.target # t

\* An owner that does not reach a target waits until the leases that it knows of have ended: its own,
\* or those of earlier owners if it has not polled the target. The target counts as empty then. With
\* ConfirmsTerm the owner requires that the store still held its term when the leases had ended, since a
\* newer owner renews them.
WaitOutLeases(d, t) ==
    /\ owner[d] # 0 /\ t \in aware[d]
    /\ t \in known[d] \/ \A e \in Daemons : owner[e] = 0 \/ owner[e] >= owner[d]
    /\ ConfirmsTerm => owner[d] = term
    /\ LeaseIsOver(d, t)
    /\ known' = [known EXCEPT ![d] = @ \cup {t}]
    /\ possible' = [possible EXCEPT ![d] = {r \in @ : r.target # t}]
    /\ mayRerun' = IF token[t] > owner[d] THEN mayRerun
                   ELSE mayRerun \cup {r.task : r \in ended[t]}
    /\ UNCHANGED <<targetLists, term, owner, token, runs, ended, refused, orders, done, knownDone,
                   started, cancellations, lostEnd, restarted, job, writes, response, lives,
                   routes>>

\* A target ends, for instance since maintenance of its host was ordered. Its runs end, the ends that
\* it has listed are lost, and orders for it are not executed any more, by a later incarnation either.
EndTarget(t) ==
    /\ MayEnd /\ t \in alive
    /\ alive' = alive \ {t}
    /\ over' = over \cup {t}
    /\ token' = [token EXCEPT ![t] = 0]
    /\ runs' = [runs EXCEPT ![t] = {}]
    /\ ended' = [ended EXCEPT ![t] = {}]
    /\ refused' = [refused EXCEPT ![t] = {}]
    /\ orders' = {r \in orders : r.target # t}
    /\ mayRerun' = mayRerun \cup ({r.task : r \in ended[t]} \ done)
    /\ UNCHANGED <<targetLists, term, owner, known, possible, done, knownDone, started,
                   cancellations, lostEnd, restarted, job, writes, response, gone, routes>>

\* The next target starts on the host once the last one has ended.
StartTarget(t) ==
    /\ OneHost /\ alive = {} /\ t \notin over
    /\ alive' = {t}
    /\ listed' = IF OneId THEN {t} ELSE listed \cup {t}
    /\ UNCHANGED <<term, owner, changes, recorded, aware, confirmed, awaited, known, possible,
                   token, runs, ended, refused, orders, done, knownDone, started, cancellations,
                   lostEnd, restarted, mayRerun, job, writes, response, over, gone, routes>>

\* The owner reads the platform's list of hosts. A target that it knew before and that is not shown
\* has ended; one that it did not know may not have started yet.
ReadHosts(d) ==
    /\ MayEnd /\ owner[d] # 0
    /\ LET absent == (IF ReadsHostsAfter THEN aware[d] ELSE Targets) \ alive IN
        /\ ~(absent \subseteq gone[d])
        /\ gone' = [gone EXCEPT ![d] = @ \cup absent]
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   done, knownDone, started, cancellations, lostEnd, restarted, mayRerun, job,
                   writes, response, alive, over, routes>>

\* The host list does not show the target, or the platform lists a later incarnation under its id.
ShowsEnd(d, t) ==
    \/ t \in aware[d] \cap gone[d]
    \/ OneId /\ aware[d] # {} /\ t \in (awaited[d] \cup confirmed[d]) \ aware[d]

\* The owner concludes that a target has ended, and does not wait for its lease. With ConfirmsEnded
\* it requires that the store still held its term afterwards, since a newer owner may have recorded
\* ends of that target.
LearnEnded(d, t) ==
    /\ owner[d] # 0 /\ ShowsEnd(d, t)
    /\ ConfirmsEnded => owner[d] = term
    /\ known' = [known EXCEPT ![d] = @ \cup {t}]
    /\ possible' = [possible EXCEPT ![d] = {r \in @ : r.target # t}]
    /\ UNCHANGED <<targetLists, term, owner, token, runs, ended, refused, orders, done, knownDone,
                   started, cancellations, lostEnd, restarted, mayRerun, job, writes, response,
                   lives, routes>>

\* On a submission the owner writes the job's record, which may take effect at any later time.
Submit(d) ==
    /\ owner[d] # 0 /\ ~job /\ response = "none" /\ owner[d] \notin writes
    /\ writes' = writes \cup {owner[d]}
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   done, knownDone, started, cancellations, lostEnd, restarted, mayRerun, job,
                   response, lives, routes>>

WriteArrives(n) ==
    /\ n \in writes /\ ~job
    /\ writes' = writes \ {n}
    /\ job' = (FencedWrites => n = term)
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   done, knownDone, started, cancellations, lostEnd, restarted, response, mayRerun,
                   lives, routes>>

Accept(d) ==
    /\ owner[d] # 0 /\ job /\ response = "none"
    /\ response' = "accepted"
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   done, knownDone, started, cancellations, lostEnd, restarted, mayRerun, job,
                   writes, lives, routes>>

\* Only the owner whose term is the one in the store refuses and, with ResolvesWrites, only if no
\* write of its own is in flight. It compares its term with the store first, since a refusal is not
\* a write, which a newer term would make fail.
Refuse(d) ==
    /\ owner[d] = term /\ term # 0 /\ response = "none" /\ ~job
    /\ ResolvesWrites => owner[d] \notin writes
    /\ response' = "refused"
    /\ UNCHANGED <<targetLists, term, owner, known, possible, token, runs, ended, refused, orders,
                   done, knownDone, started, cancellations, lostEnd, restarted, mayRerun, job,
                   writes, lives, routes>>

Next ==
    \/ \E d \in Daemons : TakeOver(d) \/ StepDown(d) \/ Cancel(d) \/ Commit(d)
    \/ \E d \in Daemons : Submit(d) \/ Accept(d) \/ Refuse(d)
    \/ \E t \in Targets : ChangeList(t) \/ EndTarget(t) \/ StartTarget(t)
    \/ \E d \in Daemons : NoteService(d)
    \/ \E d \in Daemons, s \in Services : ChangeRoute(d, s) \/ ForgetService(d, s)
    \/ \E d \in Daemons : ReadHosts(d) \/ \E t \in Targets : LearnEnded(d, t)
    \/ \E d \in Daemons, t \in Targets :
        FindTarget(d, t) \/ RecordTarget(d, t) \/ ForgetTarget(d, t)
    \/ \E d \in Daemons, t \in Targets : Poll(d, t) \/ WaitOutLeases(d, t)
    \/ \E d \in Daemons, t \in Targets, task \in Tasks : Start(d, t, task)
    \/ \E d \in Daemons, t \in Targets : \E r \in ended[t] : DropEnd(d, t, r)
    \/ \E d \in Daemons : \E r \in possible[d] : StopRun(d, r) \/ AssumeNotStarted(d, r)
    \/ \E r \in orders : OrderArrives(r)
    \/ \E t \in Targets : LeaseExpires(t) \/ \E r \in runs[t] : Finish(t, r)
    \/ \E n \in writes : WriteArrives(n)

Spec == Init /\ [][Next]_vars

AllRuns == UNION {runs[t] : t \in Targets}

\* TWICE, with NotAgain: no two runs of a task at the same time, and none after its end is recorded
\* or dropped.
NotTwice == \A task \in Tasks : Cardinality({r \in AllRuns : r.task = task}) <= 1

\* An end that is not recorded before the lease of its target expires counts as not having happened,
\* as documented for users; its task may run again (mayRerun).
NotAgain == ~restarted

\* LIMIT: no target runs more than its capacity.
WithinCapacity == \A t \in Targets : Cardinality(runs[t]) <= Capacity

\* LOST: an accepted job is in the store, and no end is dropped before the store holds it or the
\* cancellation of its job.
NothingLost == ~lostEnd /\ (response = "accepted" => job)

\* REFUSED: a refused job is never in the store, so it never runs.
RefusedNeverStored == response = "refused" => ~job

Symmetry ==
    Permutations(Daemons) \cup Permutations(Targets) \cup Permutations(Tasks)
        \cup Permutations(Services)
=============================================================================
