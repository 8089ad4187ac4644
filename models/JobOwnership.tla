---------------------------- MODULE JobOwnership ----------------------------
(* Owners of the scheduling that follow each other, their orders to targets, ends of tasks, writes
   to the store (docs/platform.md, "Ownership and takeover" and "Life of a job and of a task").

   Orders and hand-in writes stay in flight until they are carried out: they can be lost, or arrive
   after newer ones. An owner that is paused takes no step and still believes that it is the owner.
   Time is not modelled. The wait for the longest lease is the action WaitOut, enabled once all old
   owners have stopped and nothing of theirs can run at the target or arrive there. *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS Daemons, Targets, Tasks, MaxTerm, MaxRuns, Capacity,
    Reads,            \* FALSE: an owner starts tasks before it has read all targets
    Fences,           \* FALSE: targets ignore the token
    NotesFirst,       \* FALSE: ends are forgotten before the store holds them
    SettlesStarts,    \* FALSE: a start without an answer counts as not carried out
    FencedWrites,     \* FALSE: writes do not have the term as a condition
    SettlesWrites     \* FALSE: a hand-in is refused though its write was not answered

VARIABLES
    term,       \* in the store
    owner,      \* term that each daemon believes to hold; 0 for none
    read,       \* targets whose runs each owner knows
    may,        \* runs that may exist, for each owner
    token,      \* highest token that each target has seen
    runs,       \* what runs at each target
    ended,      \* ends as done that each target lists
    refused,    \* runs that each target will not start
    orders,     \* starts in flight
    done,       \* tasks whose end the store holds
    seenDone,   \* tasks that each owner knows as done
    started,    \* number of runs that each daemon has started in its term
    lost,       \* an end was forgotten that the store does not hold
    again,      \* a task was started whose end the store holds
    excused,    \* tasks with an end at a target whose lease ended before it was noted
    job,        \* whether the job's record is in the store
    writes,     \* terms of hand-in writes in flight
    told        \* answer to the client: "none", "accepted" or "refused"

vars == <<term, owner, read, may, token, runs, ended, refused, orders, done, seenDone, started,
          lost, again, excused, job, writes, told>>

Run == [target : Targets, task : Tasks, number : Nat]

Init ==
    /\ term = 0
    /\ owner = [d \in Daemons |-> 0]
    /\ read = [d \in Daemons |-> {}]
    /\ may = [d \in Daemons |-> {}]
    /\ token = [t \in Targets |-> 0]
    /\ runs = [t \in Targets |-> {}]
    /\ ended = [t \in Targets |-> {}]
    /\ refused = [t \in Targets |-> {}]
    /\ orders = {}
    /\ done = {}
    /\ seenDone = [d \in Daemons |-> {}]
    /\ started = [d \in Daemons |-> 0]
    /\ lost = FALSE
    /\ again = FALSE
    /\ excused = {}
    /\ job = FALSE
    /\ writes = {}
    /\ told = "none"

\* The lease of the last owner has ended, which that owner may not know.
TakeOver(d) ==
    /\ term < MaxTerm
    /\ owner[d] = 0
    /\ term' = term + 1
    /\ owner' = [owner EXCEPT ![d] = term + 1]
    /\ read' = [read EXCEPT ![d] = {}]
    /\ may' = [may EXCEPT ![d] = {}]
    /\ seenDone' = [seenDone EXCEPT ![d] = done]
    /\ started' = [started EXCEPT ![d] = 0]
    /\ UNCHANGED <<token, runs, ended, refused, orders, done, lost, again, excused, job, writes,
                   told>>

Stop(d) ==
    /\ owner[d] # 0 /\ owner[d] < term
    /\ owner' = [owner EXCEPT ![d] = 0]
    /\ UNCHANGED <<term, read, may, token, runs, ended, refused, orders, done, seenDone,
                   started, lost, again, excused, job, writes, told>>

Obeys(t, n) == Fences => n >= token[t]

\* A look: the token rises, and the list shows what runs and has ended. A run that is listed nowhere
\* is settled only if its order can no longer arrive.
Look(d, t) ==
    /\ owner[d] # 0 /\ Obeys(t, owner[d])
    /\ token' = [token EXCEPT ![t] = IF owner[d] > @ THEN owner[d] ELSE @]
    /\ read' = [read EXCEPT ![d] = @ \cup {t}]
    /\ may' = [may EXCEPT ![d] =
        {r \in @ : r.target # t \/ (r \in orders /\ r \notin refused[t])} \cup runs[t]]
    /\ seenDone' = [seenDone EXCEPT ![d] = @ \cup {r.task : r \in ended[t]}]
    /\ UNCHANGED <<term, owner, runs, ended, refused, orders, done, started, lost, again,
                   excused, job, writes, told>>

\* The store takes what the owner knows, if no newer owner has written its term.
Commit(d) ==
    /\ owner[d] # 0 /\ (FencedWrites => owner[d] = term)
    /\ seenDone[d] \ done # {}
    /\ done' = done \cup seenDone[d]
    /\ UNCHANGED <<term, owner, read, may, token, runs, ended, refused, orders, seenDone,
                   started, lost, again, excused, job, writes, told>>

\* LastSeen moves past an end.
Forget(d, t, r) ==
    /\ owner[d] # 0 /\ Obeys(t, owner[d]) /\ r \in ended[t] /\ r.task \in seenDone[d]
    /\ NotesFirst => r.task \in done
    /\ token' = [token EXCEPT ![t] = IF owner[d] > @ THEN owner[d] ELSE @]
    /\ ended' = [ended EXCEPT ![t] = @ \ {r}]
    /\ lost' = (lost \/ r.task \notin done)
    /\ UNCHANGED <<term, owner, read, may, runs, refused, orders, done, seenDone, started,
                   again, excused, job, writes, told>>

Start(d, t, task) ==
    /\ owner[d] # 0 /\ job /\ started[d] < MaxRuns
    /\ Reads => read[d] = Targets
    /\ task \notin seenDone[d]
    /\ \A r \in may[d] : r.task # task
    /\ Cardinality({r \in may[d] : r.target = t}) < Capacity
    /\ LET r == [target |-> t, task |-> task, number |-> owner[d] * 100 + started[d]] IN
        /\ orders' = orders \cup {r}
        /\ may' = [may EXCEPT ![d] = @ \cup {r}]
    /\ started' = [started EXCEPT ![d] = @ + 1]
    /\ UNCHANGED <<term, owner, read, token, runs, ended, refused, done, seenDone, lost, again,
                   excused, job, writes, told>>

TermOf(r) == r.number \div 100

Arrive(r) ==
    /\ r \in orders
    /\ orders' = orders \ {r}
    /\ IF Obeys(r.target, TermOf(r)) /\ r \notin refused[r.target]
       THEN /\ runs' = [runs EXCEPT ![r.target] = @ \cup {r}]
            /\ token' = [token EXCEPT ![r.target] = IF TermOf(r) > @ THEN TermOf(r) ELSE @]
            /\ again' = (again \/ (r.task \in done /\ r.task \notin excused))
       ELSE UNCHANGED <<runs, token, again>>
    /\ UNCHANGED <<term, owner, read, may, ended, refused, done, seenDone, started, lost,
                   excused, job, writes, told>>

\* An answered stop: the target ends the run, or will not start it. What became of it is known from
\* the next look only, since it may have ended as done before.
StopRun(d, r) ==
    /\ owner[d] # 0 /\ r \in may[d] /\ Obeys(r.target, owner[d])
    /\ token' = [token EXCEPT ![r.target] = IF owner[d] > @ THEN owner[d] ELSE @]
    /\ runs' = [runs EXCEPT ![r.target] = @ \ {r}]
    /\ refused' = [refused EXCEPT ![r.target] = @ \cup {r}]
    /\ UNCHANGED <<term, owner, read, may, ended, orders, done, seenDone, started, lost, again,
                   excused, job, writes, told>>

\* The broken variant: a missing answer is taken as a refusal.
GiveUp(d, r) ==
    /\ ~SettlesStarts /\ owner[d] # 0 /\ r \in may[d]
    /\ may' = [may EXCEPT ![d] = @ \ {r}]
    /\ UNCHANGED <<term, owner, read, token, runs, ended, refused, orders, done, seenDone,
                   started, lost, again, excused, job, writes, told>>

Finish(t, r) ==
    /\ r \in runs[t]
    /\ runs' = [runs EXCEPT ![t] = @ \ {r}]
    /\ ended' = [ended EXCEPT ![t] = @ \cup {r}]
    /\ refused' = [refused EXCEPT ![t] = @ \cup {r}]
    /\ UNCHANGED <<term, owner, read, may, token, orders, done, seenDone, started, lost, again,
                   excused, job, writes, told>>

\* A lease ends: all runs are killed, and orders in flight under it are refused as late.
LeaseEnds(t) ==
    /\ runs[t] # {} \/ \E r \in orders : r.target = t
    /\ runs' = [runs EXCEPT ![t] = {}]
    /\ orders' = {r \in orders : r.target # t}
    /\ excused' = excused \cup {r.task : r \in ended[t]}
    /\ UNCHANGED <<term, owner, read, may, token, ended, refused, done, seenDone, started, lost,
                   again, job, writes, told>>

\* An unread target counts as empty once no lease of an earlier owner can last.
WaitOut(d, t) ==
    /\ owner[d] # 0 /\ t \notin read[d]
    /\ \A e \in Daemons : owner[e] = 0 \/ owner[e] >= owner[d]
    /\ runs[t] = {} /\ \A r \in orders : r.target # t
    /\ read' = [read EXCEPT ![d] = @ \cup {t}]
    /\ excused' = excused \cup {r.task : r \in ended[t]}
    /\ UNCHANGED <<term, owner, may, token, runs, ended, refused, orders, done, seenDone,
                   started, lost, again, job, writes, told>>

\* Hand-in: the owner writes the job's record; the write may be carried out at any later time.
HandIn(d) ==
    /\ owner[d] # 0 /\ ~job /\ told = "none" /\ owner[d] \notin writes
    /\ writes' = writes \cup {owner[d]}
    /\ UNCHANGED <<term, owner, read, may, token, runs, ended, refused, orders, done, seenDone,
                   started, lost, again, excused, job, told>>

WriteArrives(n) ==
    /\ n \in writes /\ ~job
    /\ writes' = writes \ {n}
    /\ job' = (FencedWrites => n = term)
    /\ UNCHANGED <<term, owner, read, may, token, runs, ended, refused, orders, done, seenDone,
                   started, lost, again, told, excused>>

Accept(d) ==
    /\ owner[d] # 0 /\ job /\ told = "none"
    /\ told' = "accepted"
    /\ UNCHANGED <<term, owner, read, may, token, runs, ended, refused, orders, done, seenDone,
                   started, lost, again, excused, job, writes>>

\* The owner in the store's eyes refuses what it has not sent a write for. Its own view is checked
\* against the store, since a refusal under an old term would not be fenced.
Refuse(d) ==
    /\ owner[d] = term /\ term # 0 /\ told = "none" /\ ~job
    /\ SettlesWrites => owner[d] \notin writes
    /\ told' = "refused"
    /\ UNCHANGED <<term, owner, read, may, token, runs, ended, refused, orders, done, seenDone,
                   started, lost, again, excused, job, writes>>

Next ==
    \/ \E d \in Daemons : TakeOver(d) \/ Stop(d) \/ Commit(d) \/ HandIn(d) \/ Accept(d) \/ Refuse(d)
    \/ \E d \in Daemons, t \in Targets : Look(d, t) \/ WaitOut(d, t)
    \/ \E d \in Daemons, t \in Targets, task \in Tasks : Start(d, t, task)
    \/ \E d \in Daemons, t \in Targets : \E r \in ended[t] : Forget(d, t, r)
    \/ \E d \in Daemons : \E r \in may[d] : StopRun(d, r) \/ GiveUp(d, r)
    \/ \E r \in orders : Arrive(r)
    \/ \E t \in Targets : LeaseEnds(t) \/ \E r \in runs[t] : Finish(t, r)
    \/ \E n \in writes : WriteArrives(n)

Spec == Init /\ [][Next]_vars

AllRuns == UNION {runs[t] : t \in Targets}

\* TWICE: no two runs of a task at the same time, and none after its end was noted.
NotTwice == \A task \in Tasks : Cardinality({r \in AllRuns : r.task = task}) <= 1

\* The end of a target's lease before the note makes the end void, as the users' rules say.
NotAgain == ~again

\* LIMIT: no target runs more than it has room for.
WithinCapacity == \A t \in Targets : Cardinality(runs[t]) <= Capacity

\* LOST: an accepted job is in the store, and no end is forgotten before the store holds it.
NothingLost == ~lost /\ (told = "accepted" => job)

\* REFUSED: a refused job never runs.
RefusedNeverStored == told = "refused" => ~job

Symmetry == Permutations(Daemons) \cup Permutations(Targets) \cup Permutations(Tasks)
=============================================================================
