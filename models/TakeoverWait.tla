---------------------------- MODULE TakeoverWait ----------------------------
(* Models how long a new owner of the scheduling waits before it starts tasks that may run on a target
   that it cannot read (docs/platform.md, "Ownership and takeover"). Times are numbers of steps that
   are left, so the model is not bounded in time.

   One daemon, the first owner, reaches the target and renews its lease; the others do not. A daemon
   takes over when the owner's lease in the store has ended, or earlier because the owner's address
   refuses connections, which a network fault can cause while the owner is alive. JobOwnership models
   orders and fencing without time. *)
EXTENDS Naturals, TLC

CONSTANTS First, Others,
    Lease,        \* length of an owner's lease in the store
    Grace,        \* time for which an owner acts on after its lease may have ended
    TargetLease,  \* length of a lease that an owner grants to the target
    MaxTerm,
    CoversLiveOwners,  \* FALSE: the wait assumes that the lease of the last owner has ended
    ChecksTerm,        \* FALSE: a renewal confirms the ownership of an owner that was replaced
    RecordsWait        \* FALSE: an owner does not pass on how long earlier owners may act

Daemons == {First} \cup Others
LongestAct == Lease + Grace
Min(a, b) == IF a < b THEN a ELSE b
Max(a, b) == IF a > b THEN a ELSE b
Less(a, b) == IF a > b THEN a - b ELSE 0

VARIABLES
    term,        \* newest term, in the store
    actsFor,     \* in the record of that term: how long earlier owners act after its takeover
    live,        \* holder of the live record, in the store; "none" if there is none
    leaseLeft,   \* time left of the lease that each daemon has in the store
    own,         \* term that each daemon believes it holds; 0: none
    actLeft,     \* time for which each owner acts unless it is confirmed again
    waitLeft,    \* time for which each owner still waits
    known,       \* for how long each daemon has known the record of the newest term
    targetLeft   \* time left of the lease of the target

vars == <<term, actsFor, live, leaseLeft, own, actLeft, waitLeft, known, targetLeft>>

Init ==
    /\ term = 1
    /\ actsFor = Grace
    /\ live = First
    /\ leaseLeft = [d \in Daemons |-> IF d = First THEN Lease ELSE 0]
    /\ own = [d \in Daemons |-> IF d = First THEN 1 ELSE 0]
    /\ actLeft = [d \in Daemons |-> IF d = First THEN LongestAct ELSE 0]
    /\ waitLeft = [d \in Daemons |-> 0]
    /\ known = [d \in Daemons |-> 0]
    /\ targetLeft = 0

Tick ==
    /\ leaseLeft' = [d \in Daemons |-> Less(leaseLeft[d], 1)]
    /\ actLeft' = [d \in Daemons |-> Less(actLeft[d], 1)]
    /\ waitLeft' = [d \in Daemons |-> Less(waitLeft[d], 1)]
    /\ known' = [d \in Daemons |-> Min(known[d] + 1, LongestAct)]
    /\ targetLeft' = Less(targetLeft, 1)
    /\ live' = IF live # "none" /\ leaseLeft[live] <= 1 THEN "none" ELSE live
    /\ UNCHANGED <<term, actsFor, own>>

Renew(d) ==
    /\ own[d] # 0 /\ leaseLeft[d] > 0
    /\ ChecksTerm => own[d] = term
    /\ leaseLeft' = [leaseLeft EXCEPT ![d] = Lease]
    /\ actLeft' = [actLeft EXCEPT ![d] = LongestAct]
    /\ UNCHANGED <<term, actsFor, live, own, waitLeft, known, targetLeft>>

RenewTarget ==
    /\ own[First] = 1 /\ actLeft[First] > 0
    /\ targetLeft' = TargetLease
    /\ UNCHANGED <<term, actsFor, live, leaseLeft, own, actLeft, waitLeft, known>>

\* A daemon that has known the newest record for some time knows that it was written before.
TakeOver(d) ==
    /\ term < MaxTerm /\ own[d] = 0
    /\ LET last == IF live # "none" /\ CoversLiveOwners THEN LongestAct ELSE Grace
           earlier == IF RecordsWait THEN Less(actsFor, known[d]) ELSE 0
       IN actsFor' = Max(last, earlier)
    /\ term' = term + 1
    /\ live' = d
    /\ leaseLeft' = [leaseLeft EXCEPT ![d] = Lease]
    /\ own' = [own EXCEPT ![d] = term + 1]
    /\ actLeft' = [actLeft EXCEPT ![d] = LongestAct]
    /\ waitLeft' = [waitLeft EXCEPT ![d] = actsFor' + TargetLease]
    \* A daemon that reads the new record later knows it for a shorter time and waits longer.
    /\ known' = [e \in Daemons |-> 0]
    /\ UNCHANGED targetLeft

\* A planned stop ends the lease of the owner.
Leave(d) ==
    /\ own[d] # 0
    /\ own' = [own EXCEPT ![d] = 0]
    /\ live' = IF live = d THEN "none" ELSE live
    /\ leaseLeft' = [leaseLeft EXCEPT ![d] = 0]
    /\ actLeft' = [actLeft EXCEPT ![d] = 0]
    /\ waitLeft' = [waitLeft EXCEPT ![d] = 0]
    /\ UNCHANGED <<term, actsFor, known, targetLeft>>

\* The process of a daemon is killed and starts again: it knows the record only from now on.
Restart(d) ==
    /\ own' = [own EXCEPT ![d] = 0]
    /\ actLeft' = [actLeft EXCEPT ![d] = 0]
    /\ waitLeft' = [waitLeft EXCEPT ![d] = 0]
    /\ known' = [known EXCEPT ![d] = 0]
    /\ UNCHANGED <<term, actsFor, live, leaseLeft, targetLeft>>

Next ==
    \/ Tick \/ RenewTarget
    \/ \E d \in Daemons : Renew(d) \/ Leave(d) \/ Restart(d)
    \/ \E d \in Others : TakeOver(d)

Spec == Init /\ [][Next]_vars

\* TWICE: once the newest owner has waited, no run of an earlier owner is left at the target.
NoRunAfterTheWait ==
    \A d \in Others : own[d] = term /\ waitLeft[d] = 0 => targetLeft = 0

Symmetry == Permutations(Others)
=============================================================================
