------------------------- MODULE TargetIncarnations -------------------------
(* Models calls that are executed by a later incarnation of a target than the one that they were
   decided for (docs/platform.md, "Ownership and takeover"). One target runs under one id and at one
   address. It can end at any time, and its next incarnation has seen no token, no run and no end of
   the former one. One task runs there or elsewhere, where calls and runs have no faults. Times are
   numbers of steps that are left.

   A call that has no response can be executed until LongestDelay after it was sent. Its lease is a
   time on the clock of the incarnation that it was decided for; at a later one, the lease lasts for
   the longest time that a target accepts. Owners act one after the other; JobOwnership models those
   that act at the same time, and TakeoverWait how long the leases of earlier owners last.

   Not covered, and excluded by the last three constants:
   - A start is settled, since the incarnation that it was decided for has confirmed a stop, has
     responded to a higher token or has been waited out, or since a later one has. It then reaches an
     incarnation that has not responded to the owner yet.
   - An incarnation executes a start, and neither the platform's list nor a response has shown it
     when the leases of the former one have ended, or its owner ends before it has noted it.
   - A poll that confirms ends of the former incarnation is executed by the next one, before that one
     has responded to the owner, but after a start that was sent later has run to its end there. *)
EXTENDS Naturals, FiniteSets

CONSTANTS MaxBorn, MaxTerm, MaxRuns, MaxContact,
    OwnerLease,   \* length of a lease that an owner grants
    LongestLease, \* longest lease that a target accepts
    LongestDelay, \* time after which a call without a response is not executed any more
    FencesContacts,       \* FALSE: all calls of an owner carry the same token
    StopsUnlistedRuns,    \* TRUE: a run that was never listed is settled by a stop, not by a report
    KeepsUnlistedRuns,    \* FALSE: all runs of an incarnation have ended once a later one is found
    SettlesOnceFenced,    \* FALSE: the response that shows an incarnation settles what can run there
    CountsInheritedLease, \* FALSE: an owner counts only leases that it has granted to an incarnation
    CountsDelays,         \* FALSE: such a lease has begun once an owner has found the incarnation
    ConfirmsOnceListed,   \* FALSE: polls confirm ends while a start at the target is not settled
    RecordsAfterReport,   \* FALSE: an owner records an incarnation before it knows what runs there
    AwaitsNextIncarnation, \* FALSE: a new owner takes the target as ended if a later one is shown
    ReadsNextIncarnation, \* FALSE: a new owner does not read which incarnation was found last
    SettledStartsArrive,  \* TRUE: a start that was settled at an incarnation reaches a later one
    UnknownMayRun,        \* TRUE: an incarnation that no owner has found executes starts
    EarlierPollsArrive    \* TRUE: a poll is executed after a later start has run to its end

VARIABLES
    born,      \* number of the newest incarnation
    alive,     \* whether it is alive
    token,     \* highest token that it has seen
    runs,      \* runs that execute there
    ends,      \* ended runs that it lists
    lastEnd,   \* number of its last end
    refused,   \* highest run that has ended or was stopped there; lower ones are refused, too
    leaseLeft, \* time left of its lease
    listed,    \* incarnation that the platform lists; 0: none
    calls,     \* starts and polls in flight
    term,      \* term of the owner, in the store
    recorded,  \* incarnation in the target's record, in the store
    inherited, \* whether the record says that its lease may be one of an earlier incarnation
    next,      \* newest incarnation that an owner has noted to have found, in the store
    done,      \* whether the store holds the completion of the task
    known,     \* incarnation that the owner believes to be alive
    contact,   \* number of the owner's contact with the target
    ready,     \* whether the target has responded to the owner since it found it or lost contact
    found,     \* whether the owner awaits the first report of the known incarnation
    settled,   \* whether the owner knows all runs that may exist at the target
    possible,  \* these runs
    seen,      \* number of the last end that the owner has read from the known incarnation
    ownLeft,   \* time left of the leases that the owner has granted or awaits
    inheritedLeft, \* time left of a lease that calls for earlier incarnations can have caused
    sentLeft,  \* time left until the calls are out of date that the owner has sent
    elsewhere, \* whether the task runs elsewhere
    lastRun,   \* number of the last run
    noted,     \* whether a target has dropped an end of the completed task
    rerun,     \* whether a run began while such an end was listed
    again      \* a run began although the task had ended, and that end was noted

target == <<born, alive, token, runs, ends, lastEnd, refused, leaseLeft>>
store == <<term, recorded, inherited, next, done>>
contacts == <<known, contact, ready, found, seen>>
knownRuns == <<settled, possible>>
leases == <<ownLeft, inheritedLeft, sentLeft>>
owner == <<contacts, knownRuns, leases>>
history == <<noted, rerun, again>>
vars == <<target, listed, calls, store, owner, elsewhere, lastRun, history>>

Max(a, b) == IF a > b THEN a ELSE b
Less(a, b) == IF a > b THEN a - b ELSE 0

Init ==
    /\ born = 1
    /\ alive = TRUE
    /\ token = 0
    /\ runs = {}
    /\ ends = {}
    /\ lastEnd = 0
    /\ refused = 0
    /\ leaseLeft = 0
    /\ listed = 1
    /\ calls = {}
    /\ term = 1
    /\ recorded = 1
    /\ inherited = FALSE
    /\ next = 1
    /\ done = FALSE
    /\ known = 1
    /\ contact = 1
    /\ ready = TRUE
    /\ found = FALSE
    /\ settled = TRUE
    /\ possible = {}
    /\ seen = 0
    /\ ownLeft = 0
    /\ inheritedLeft = 0
    /\ sentLeft = 0
    /\ elsewhere = FALSE
    /\ lastRun = 0
    /\ noted = FALSE
    /\ rerun = FALSE
    /\ again = FALSE

DoneListed == \E e \in ends : e.done

Begin ==
    /\ again' = (again \/ noted \/ done)
    /\ rerun' = (rerun \/ DoneListed)
    /\ noted' = noted

\* A run ends as done, or fails so that the task runs again.
Finish(r, isDone) ==
    /\ r \in runs
    /\ runs' = runs \ {r}
    /\ lastEnd' = lastEnd + 1
    /\ ends' = ends \cup {[number |-> lastEnd + 1, run |-> r, done |-> isDone]}
    /\ refused' = Max(refused, r)
    /\ UNCHANGED <<born, alive, token, leaseLeft, listed, calls, store, owner, elsewhere, lastRun,
                   history>>

EndTarget ==
    /\ alive
    /\ alive' = FALSE
    /\ token' = 0
    /\ runs' = {}
    /\ ends' = {}
    /\ lastEnd' = 0
    /\ refused' = 0
    /\ leaseLeft' = 0
    /\ rerun' = FALSE
    /\ UNCHANGED <<born, listed, calls, store, owner, elsewhere, lastRun, noted, again>>

StartTarget ==
    /\ ~alive /\ born < MaxBorn
    /\ born' = born + 1
    /\ alive' = TRUE
    /\ UNCHANGED <<token, runs, ends, lastEnd, refused, leaseLeft, listed, calls, store, owner,
                   elsewhere, lastRun, history>>

\* The list can lack the target, or still show an earlier incarnation.
ChangeList ==
    /\ listed' \in {0, born} \ {listed}
    /\ UNCHANGED <<target, calls, store, owner, elsewhere, lastRun, history>>

\* Runs are killed when the lease ends, and the task of an end that is listed then may run again.
Tick ==
    /\ calls' = {[c EXCEPT !.age = @ + 1] : c \in {c \in calls : c.age < LongestDelay}}
    /\ leaseLeft' = Less(leaseLeft, 1)
    /\ ownLeft' = Less(ownLeft, 1)
    /\ inheritedLeft' = Less(inheritedLeft, 1)
    /\ sentLeft' = Less(sentLeft, 1)
    /\ IF leaseLeft <= 1
       THEN /\ runs' = {}
            /\ ends' = {[e EXCEPT !.done = FALSE] : e \in ends}
            /\ rerun' = FALSE
       ELSE UNCHANGED <<runs, ends, rerun>>
    /\ UNCHANGED <<born, alive, token, lastEnd, refused, listed, store, contacts, knownRuns, elsewhere,
                   lastRun, noted, again>>

Token == term * 10 + (IF FencesContacts THEN contact ELSE 0)

OfThisOwner(c) == c.token \div 10 = term

\* The lease that a call causes at the target; 0: it is out of date there.
LeaseOf(c) == IF c.incarnation = born THEN Less(OwnerLease, c.age) ELSE LongestLease

\* How long a lease can last that calls for earlier incarnations cause within the given delay.
InheritedLease(delay) ==
    IF ~CountsInheritedLease THEN 0 ELSE LongestLease + (IF CountsDelays THEN delay ELSE 0)

\* The owner learns of a later incarnation. Its calls carry a higher token from then on.
Find(incarnation) ==
    /\ known' = incarnation
    /\ contact' = contact + 1
    /\ ready' = FALSE
    /\ found' = TRUE
    /\ seen' = 0
    /\ possible' = IF KeepsUnlistedRuns THEN {r \in possible : ~r.listed} ELSE {}
    /\ ownLeft' = 0
    /\ inheritedLeft' = InheritedLease(sentLeft)
    /\ UNCHANGED sentLeft

FindListed ==
    /\ listed > known
    /\ Find(listed)
    /\ UNCHANGED <<target, listed, calls, store, settled, elsewhere, lastRun, history>>

\* Whether the target may still execute the start of a run after a report to the present token.
MayArrive(r) ==
    /\ r > refused
    /\ \E c \in calls :
        /\ c.kind = "start" /\ c.run = r
        /\ StopsUnlistedRuns \/ (c.incarnation = known /\ c.token = Token)

\* The target reports its runs and ends. The lease of an incarnation that reports for the first time
\* can be one of calls that it has executed before, but of none that it executes later.
Report(left) ==
    /\ ready' = TRUE
    /\ found' = FALSE
    /\ seen' = lastEnd
    /\ settled' = TRUE
    /\ possible' = {r \in possible : r.run \notin runs /\ MayArrive(r.run)}
                   \cup {[run |-> r, listed |-> TRUE] : r \in runs}
    /\ done' = (done \/ \E e \in left : e.done)
    /\ inheritedLeft' = IF ~found THEN inheritedLeft
                        ELSE InheritedLease(IF FencesContacts THEN 0 ELSE sentLeft)
    /\ UNCHANGED sentLeft

\* The owner takes the response of a poll that was decided for an earlier incarnation as a report.
ReportAtOnce(left) ==
    /\ known' = born
    /\ contact' = contact + 1
    /\ ready' = TRUE
    /\ found' = FALSE
    /\ seen' = lastEnd
    /\ settled' = TRUE
    /\ possible' = {[run |-> r, listed |-> TRUE] : r \in runs}
    /\ done' = (done \/ \E e \in left : e.done)
    /\ ownLeft' = 0
    /\ inheritedLeft' = InheritedLease(0)
    /\ UNCHANGED sentLeft

\* The target drops the ends that the poll confirms. An owner takes nothing from the response to an
\* earlier token, and uses an incarnation only once it has noted in the store that it has found it.
ExecutePoll(c, responds) ==
    LET left == {e \in ends : e.number > c.seen}
        dropsDone == \E e \in ends \ left : e.done
        lease == IF c.renews THEN LeaseOf(c) ELSE 0
    IN
    /\ token' = c.token
    /\ ends' = left
    /\ noted' = (noted \/ dropsDone)
    /\ again' = (again \/ (dropsDone /\ rerun))
    /\ leaseLeft' = Max(leaseLeft, lease)
    /\ CASE responds /\ OfThisOwner(c) /\ born > known /\ SettlesOnceFenced ->
              Find(born) /\ UNCHANGED <<settled, done>>
         [] responds /\ OfThisOwner(c) /\ born > known /\ ~SettlesOnceFenced ->
              ReportAtOnce(left)
         [] responds /\ born = known /\ c.token = Token /\ (found => next = known) ->
              /\ Report(left)
              /\ ownLeft' = Max(ownLeft, lease)
              /\ UNCHANGED <<known, contact>>
         [] OTHER -> UNCHANGED <<owner, done>>
    /\ UNCHANGED <<born, alive, runs, lastEnd, refused, listed, term, recorded, inherited, next,
                   elsewhere, lastRun, rerun>>

MayConfirm == ready /\ (ConfirmsOnceListed => \A r \in possible : r.listed)

NewPoll == [kind |-> "poll", run |-> 0, seen |-> IF MayConfirm THEN seen ELSE 0, renews |-> ready,
            token |-> Token, incarnation |-> known, age |-> 0]

NewStart(r) == [kind |-> "start", run |-> r, seen |-> 0, renews |-> TRUE, token |-> Token,
                incarnation |-> known, age |-> 0]

\* Calls that can be executed after a poll with a response. Starts that its token has settled reach no
\* later incarnation.
Unsettled(c, others) ==
    IF SettledStartsArrive \/ known # born \/ c.token # Token THEN others
    ELSE {o \in others : o.kind = "poll" \/ o.token >= c.token}

\* A poll that is executed at once.
Poll ==
    /\ alive /\ Token >= token
    /\ ExecutePoll(NewPoll, TRUE)
    /\ calls' = Unsettled(NewPoll, calls)

\* A poll that is executed later; one at a time.
SendPoll ==
    /\ ready /\ \A c \in calls : c.kind # "poll"
    /\ calls' = calls \cup {NewPoll}
    /\ ownLeft' = Max(ownLeft, OwnerLease)
    /\ sentLeft' = LongestDelay
    /\ UNCHANGED <<target, listed, store, contacts, knownRuns, inheritedLeft, elsewhere, lastRun,
                   history>>

PollArrives(c, responds) ==
    /\ c.kind = "poll" /\ alive /\ c.token >= token
    /\ \/ EarlierPollsArrive
       \/ c.seen = 0 \/ c.incarnation = born \/ (known = born /\ ~found) \/ ~DoneListed
    /\ ExecutePoll(c, responds)
    /\ calls' = IF responds THEN Unsettled(c, calls \ {c}) ELSE calls \ {c}

\* The owner starts the task at the target once that has reported and has a record.
Start ==
    /\ ready /\ settled /\ possible = {} /\ ~done /\ ~elsewhere /\ lastRun < MaxRuns
    /\ recorded = known
    /\ lastRun' = lastRun + 1
    /\ calls' = calls \cup {NewStart(lastRun + 1)}
    /\ possible' = {[run |-> lastRun + 1, listed |-> FALSE]}
    /\ ownLeft' = Max(ownLeft, OwnerLease)
    /\ sentLeft' = LongestDelay
    /\ UNCHANGED <<target, listed, store, contacts, settled, inheritedLeft, elsewhere, history>>

\* A start that is refused for its run number renews the lease, too. A response that it was executed
\* tells nothing, since it does not name the incarnation.
StartArrives(c, responds) ==
    /\ c.kind = "start" /\ alive
    /\ calls' = calls \ {c}
    /\ LET accepted == c.token >= token /\ LeaseOf(c) > 0
           begins == accepted /\ c.run > refused
       IN /\ IF accepted
             THEN token' = c.token /\ leaseLeft' = Max(leaseLeft, LeaseOf(c))
             ELSE UNCHANGED <<token, leaseLeft>>
          /\ IF begins THEN runs' = runs \cup {c.run} /\ Begin ELSE UNCHANGED <<runs, history>>
          /\ possible' = IF responds /\ ~begins /\ OfThisOwner(c)
                         THEN {r \in possible : r.run # c.run} ELSE possible
    /\ UNCHANGED <<born, alive, ends, lastEnd, refused, listed, store, contacts, settled, leases,
                   elsewhere, lastRun>>

\* A stop with a response. A run that has not begun will not begin at this incarnation.
Stop(r) ==
    /\ r \in possible /\ alive /\ known = born /\ Token >= token
    /\ token' = Token
    /\ refused' = Max(refused, r.run)
    /\ IF r.run \in runs
       THEN /\ runs' = runs \ {r.run}
            /\ lastEnd' = lastEnd + 1
            /\ ends' = ends \cup {[number |-> lastEnd + 1, run |-> r.run, done |-> FALSE]}
            /\ UNCHANGED <<possible, calls>>
       ELSE /\ possible' = IF \E e \in ends : e.run = r.run THEN possible ELSE possible \ {r}
            /\ calls' = IF SettledStartsArrive THEN calls ELSE {c \in calls : c.run # r.run}
            /\ UNCHANGED <<runs, lastEnd, ends>>
    /\ UNCHANGED <<born, alive, leaseLeft, listed, store, contacts, settled, leases, elsewhere,
                   lastRun, history>>

\* A call has no response. The token rises, and polls renew and confirm nothing until the next response.
LoseContact ==
    /\ ready /\ contact < MaxContact
    /\ ready' = FALSE
    /\ contact' = contact + 1
    /\ UNCHANGED <<target, listed, calls, store, known, found, seen, knownRuns, leases, elsewhere,
                   lastRun, history>>

\* The owner notes that it has found an incarnation; the record of the former one stays.
NoteNext ==
    /\ found /\ next < known
    /\ next' = known
    /\ UNCHANGED <<target, listed, calls, term, recorded, inherited, done, owner, elsewhere, lastRun,
                   history>>

RecordTarget ==
    /\ recorded < known
    /\ RecordsAfterReport => ready /\ ~found
    /\ recorded' = known
    /\ inherited' = (inheritedLeft > 0)
    /\ UNCHANGED <<target, listed, calls, term, next, done, owner, elsewhere, lastRun, history>>

ClearInherited ==
    /\ inherited /\ recorded = known /\ ~found /\ inheritedLeft = 0
    /\ inherited' = FALSE
    /\ UNCHANGED <<target, listed, calls, term, recorded, next, done, owner, elsewhere, lastRun,
                   history>>

\* All leases have ended that the owner counts, so that nothing runs at the target as far as it knows.
WaitOut ==
    /\ ~settled \/ possible # {}
    /\ ownLeft = 0 /\ inheritedLeft = 0
    /\ UnknownMayRun \/ next >= born \/ (runs = {} /\ ~DoneListed)
    /\ settled' = TRUE
    /\ possible' = {}
    /\ calls' = IF SettledStartsArrive THEN calls
                ELSE {c \in calls : c.kind = "poll" \/ c.incarnation # known}
    /\ UNCHANGED <<target, listed, store, contacts, leases, elsewhere, lastRun, history>>

\* The last owner acts no more. The next one awaits the incarnation that it knows of.
TakeOver ==
    /\ term < MaxTerm
    /\ term' = term + 1
    /\ LET shown == Max(listed, IF ReadsNextIncarnation THEN next ELSE 0)
           later == shown > recorded IN
        /\ known' = IF later THEN shown ELSE recorded
        /\ found' = later
        /\ settled' = (later /\ ~AwaitsNextIncarnation)
        /\ ownLeft' = IF later THEN 0 ELSE OwnerLease
        /\ inheritedLeft' = IF later THEN InheritedLease(LongestDelay)
                            ELSE IF inherited THEN LongestLease ELSE 0
    /\ sentLeft' = LongestDelay
    /\ contact' = 1
    /\ ready' = FALSE
    /\ seen' = 0
    /\ possible' = {}
    /\ UNCHANGED <<target, listed, calls, recorded, inherited, next, done, elsewhere, lastRun, history>>

StartElsewhere ==
    /\ settled /\ possible = {} /\ ~done /\ ~elsewhere /\ lastRun < MaxRuns
    /\ lastRun' = lastRun + 1
    /\ elsewhere' = TRUE
    /\ Begin
    /\ UNCHANGED <<target, listed, calls, store, owner>>

Next ==
    \/ Tick \/ EndTarget \/ StartTarget \/ ChangeList
    \/ \E r \in runs, isDone \in BOOLEAN : Finish(r, isDone)
    \/ \E c \in calls, responds \in BOOLEAN : PollArrives(c, responds) \/ StartArrives(c, responds)
    \/ FindListed \/ NoteNext \/ RecordTarget \/ ClearInherited
    \/ Poll \/ SendPoll \/ LoseContact \/ WaitOut
    \/ Start \/ StartElsewhere \/ TakeOver
    \/ \E r \in possible : Stop(r)

Spec == Init /\ [][Next]_vars

\* TWICE, with NotAgain: no two runs of the task at the same time, and none after an end as done that
\* the store holds or the target has dropped. An end that is listed when the lease ends does not count.
NotTwice == Cardinality(runs) + (IF elsewhere THEN 1 ELSE 0) <= 1

NotAgain == ~again
=============================================================================
