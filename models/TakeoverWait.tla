---------------------------- MODULE TakeoverWait ----------------------------
(* Models how long a new owner of the scheduling waits before it starts tasks that may run on a target
   that it cannot read (docs/platform.md, "Ownership and takeover"). Times are numbers of steps that
   are left, so the model is not bounded in time.

   An owner that reads the target renews its lease from then on. A lease ends at most TargetLease after
   the store's last confirmation of the owner, or at most FencedLease after most targets have responded
   to the owner's term, which none of them does any more once it has responded to a newer one. A daemon
   takes over when the owner's lease in the store has ended, or earlier because the owner's address
   refuses connections, which a network fault can cause while the owner is alive. An owner that has not
   read the target, or does not reach it any more, may leave a note in the store of how long runs can
   exist there. Most targets are the same ones for all owners here; the code waits for the time of owners before
   the last one, whose records may be others. JobOwnership models orders and fencing of single
   targets without time. *)
EXTENDS Naturals, TLC

CONSTANTS First, Others,
    Lease,        \* length of an owner's lease in the store
    Grace,        \* time for which an owner acts on after its lease may have ended
    TargetLease,  \* longest time after a confirmation by the store for which a lease is granted
    FencedLease,  \* longest time after most targets have responded for which a lease is granted
    MaxTerm,
    CoversLiveOwners,  \* FALSE: the wait assumes that the lease of the last owner has ended
    ChecksTerm,        \* FALSE: a renewal confirms the ownership of an owner that was replaced
    RecordsWait,       \* FALSE: an owner does not pass on how long earlier owners may act
    StopsFirst,        \* FALSE: an owner that has recorded its planned stop acts on
    DropsNoteFirst,    \* FALSE: an owner may grant a lease before its note is out of the store
    CountsFromRecord,  \* FALSE: an earlier record counts as the newest one that a daemon knows
    BoundsLeases,      \* FALSE: each lease is granted for TargetLease from the time of the grant
    FencesMost,        \* FALSE: a new owner shortens its wait after a response of any other target
    KeepsEarlierLease, \* FALSE: an owner counts only leases that it has granted to a target itself
    StopsRenewing      \* FALSE: an owner that has noted a lost target renews its lease again

Daemons == {First} \cup Others
LongestAct == Lease + Grace
Min(a, b) == IF a < b THEN a ELSE b
Max(a, b) == IF a > b THEN a ELSE b
Less(a, b) == IF a > b THEN a - b ELSE 0
LongestWait == Max(LongestAct + FencedLease, TargetLease)
NoNote == LongestWait + TargetLease + 1

VARIABLES
    term,        \* newest term, in the store
    actsFor,     \* in the record of that term: how long earlier owners act after its takeover
    live,        \* holder of the live record, in the store; "none" if there is none
    leaseLeft,   \* time left of the lease that each daemon has in the store
    own,         \* term that each daemon believes it holds; 0: none
    actLeft,     \* time for which each owner acts unless it is confirmed again
    waitLeft,    \* time for which each owner still waits
    known,       \* for how long each daemon has known the record of the newest term
    targetLeft,  \* time left of the lease of the target
    left,        \* in the record of the newest term: whether its owner has stopped as planned
    note,        \* in the store: how long an owner had to wait at its takeover, or NoNote
    waitAtStart, \* how long each owner had to wait at its takeover
    noted,       \* whether the note may be in the store as far as each owner knows
    read,        \* whether each owner has read the target and reaches it
    fencedTerm,  \* highest term to which most targets have responded
    fencedLeft,  \* time left of the leases that each owner may grant because most targets responded
    confirmedLeft, \* time left of the leases of earlier owners that the store had confirmed
    targetTerm,  \* highest term to which the target has responded
    grantedLeft  \* time left of the target's lease as far as each owner knows that has read it

vars == <<term, actsFor, live, leaseLeft, own, actLeft, waitLeft, known, targetLeft, left, note,
          waitAtStart, noted, read, fencedTerm, fencedLeft, confirmedLeft, targetTerm, grantedLeft>>

fencing == <<fencedTerm, fencedLeft, confirmedLeft, targetTerm>>

notes == <<left, note, waitAtStart, noted, read>>

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
    /\ left = FALSE
    /\ note = NoNote
    /\ waitAtStart = [d \in Daemons |-> 0]
    /\ noted = [d \in Daemons |-> FALSE]
    /\ read = [d \in Daemons |-> d = First]
    /\ fencedTerm = 0
    /\ fencedLeft = [d \in Daemons |-> 0]
    /\ confirmedLeft = [d \in Daemons |-> 0]
    /\ targetTerm = 1
    /\ grantedLeft = [d \in Daemons |-> 0]

Tick ==
    /\ leaseLeft' = [d \in Daemons |-> Less(leaseLeft[d], 1)]
    /\ actLeft' = [d \in Daemons |-> Less(actLeft[d], 1)]
    /\ waitLeft' = [d \in Daemons |-> Less(waitLeft[d], 1)]
    /\ known' = [d \in Daemons |-> Min(known[d] + 1, LongestWait)]
    /\ targetLeft' = Less(targetLeft, 1)
    /\ live' = IF live # "none" /\ leaseLeft[live] <= 1 THEN "none" ELSE live
    /\ fencedLeft' = [d \in Daemons |-> Less(fencedLeft[d], 1)]
    /\ confirmedLeft' = [d \in Daemons |-> Less(confirmedLeft[d], 1)]
    /\ grantedLeft' = [d \in Daemons |-> Less(grantedLeft[d], 1)]
    /\ UNCHANGED <<notes, term, actsFor, own, fencedTerm, targetTerm>>

Renew(d) ==
    /\ own[d] # 0 /\ leaseLeft[d] > 0
    /\ ChecksTerm => own[d] = term
    /\ leaseLeft' = [leaseLeft EXCEPT ![d] = Lease]
    /\ actLeft' = [actLeft EXCEPT ![d] = LongestAct]
    /\ UNCHANGED <<notes, fencing, term, actsFor, live, own, waitLeft, known, targetLeft, grantedLeft>>

\* Time left of the leases that an owner may grant because the store has confirmed it.
ConfirmedLeaseLeft(d) == Less(actLeft[d], LongestAct - TargetLease)

RenewTarget(d) ==
    /\ own[d] # 0 /\ actLeft[d] > 0 /\ read[d] /\ own[d] >= targetTerm
    /\ LET bound == Max(ConfirmedLeaseLeft(d), fencedLeft[d])
           lease == IF BoundsLeases THEN Min(TargetLease, bound) ELSE TargetLease
       IN /\ targetLeft' = Max(targetLeft, lease)
          /\ grantedLeft' = [grantedLeft EXCEPT ![d] = Max(@, lease)]
    /\ UNCHANGED <<notes, fencing, term, actsFor, live, leaseLeft, own, actLeft, waitLeft, known>>

\* Most targets respond to an owner, so that they respond to no earlier one from then on. A new owner
\* need not wait for leases that an earlier one would have granted because of later responses.
ReadMostTargets(d) ==
    /\ own[d] # 0 /\ actLeft[d] > 0 /\ own[d] >= fencedTerm
    /\ fencedTerm' = IF FencesMost THEN own[d] ELSE fencedTerm
    /\ fencedLeft' = [fencedLeft EXCEPT ![d] = FencedLease]
    /\ LET earlier == Max(confirmedLeft[d], FencedLease)
           wait == Min(waitLeft[d], Max(earlier, grantedLeft[d])) IN
        /\ waitLeft' = [waitLeft EXCEPT ![d] = wait]
        /\ waitAtStart' = [waitAtStart EXCEPT ![d] = @ - (waitLeft[d] - wait)]
    /\ UNCHANGED <<term, actsFor, live, leaseLeft, own, actLeft, known, targetLeft, left, note, noted,
                   read, confirmedLeft, targetTerm, grantedLeft>>

\* The owner has not granted the target a lease, so that its wait at its takeover covers all leases.
WriteNote(d) ==
    /\ own[d] # 0 /\ own[d] = term /\ ~read[d]
    /\ note' = waitAtStart[d]
    /\ noted' = [noted EXCEPT ![d] = TRUE]
    /\ UNCHANGED <<fencing, term, actsFor, live, leaseLeft, own, actLeft, waitLeft, known, targetLeft,
                   left, waitAtStart, read, grantedLeft>>

\* The owner does not reach the target any more and knows when the lease ends that it has granted.
NoteLostTarget(d) ==
    /\ own[d] # 0 /\ own[d] = term /\ read[d]
    /\ LET runsEnd == known[d] + grantedLeft[d] IN
        /\ note' = runsEnd
        /\ waitAtStart' = [waitAtStart EXCEPT ![d] = runsEnd]
    /\ waitLeft' = [waitLeft EXCEPT ![d] = grantedLeft[d]]
    /\ noted' = [noted EXCEPT ![d] = TRUE]
    /\ read' = IF StopsRenewing THEN [read EXCEPT ![d] = FALSE] ELSE read
    /\ UNCHANGED <<fencing, term, actsFor, live, leaseLeft, own, actLeft, known, targetLeft, left,
                   grantedLeft>>

\* The note is out of the store before the owner counts the target as read and grants it a lease.
DropNote(d) ==
    /\ own[d] # 0 /\ own[d] = term /\ noted[d]
    /\ note' = NoNote
    /\ noted' = [noted EXCEPT ![d] = FALSE]
    /\ UNCHANGED <<fencing, term, actsFor, live, leaseLeft, own, actLeft, waitLeft, known, targetLeft,
                   left, waitAtStart, read, grantedLeft>>

ReadTarget(d) ==
    /\ own[d] # 0 /\ ~read[d] /\ own[d] >= targetTerm
    /\ DropsNoteFirst => ~noted[d]
    /\ read' = [read EXCEPT ![d] = TRUE]
    /\ targetTerm' = own[d]
    \* The lease of an earlier owner can outlast the one that this owner may grant now.
    /\ grantedLeft' = [grantedLeft EXCEPT
           ![d] = IF KeepsEarlierLease THEN Max(@, Min(TargetLease, waitLeft[d])) ELSE @]
    /\ UNCHANGED <<fencedTerm, fencedLeft, confirmedLeft, term, actsFor, live, leaseLeft, own, actLeft,
                   waitLeft, known, targetLeft, left, note, waitAtStart, noted>>

\* For how long owners before the new one act after its takeover. A daemon that has known the newest
\* record for some time knows that it was written before.
EarlierOwnersAct(d) ==
    LET last == CASE left -> 0
                  [] ~left /\ live # "none" /\ CoversLiveOwners -> LongestAct
                  [] OTHER -> Grace
        earlier == IF RecordsWait THEN Less(actsFor, known[d]) ELSE 0
    IN Max(last, earlier)

\* The note is read after the new term was written, and each owner drops it under its own term. So no
\* owner since the one that wrote it has granted a lease, and none of them will.
TakeOver(d) ==
    /\ term < MaxTerm /\ own[d] = 0
    /\ actsFor' = EarlierOwnersAct(d)
    \* The store confirms an owner at most until the next takeover; the owners before the last one were
    \* confirmed at most until this daemon knew its record.
    /\ LET leaseEnded == live = "none" /\ ~left
           bound == IF leaseEnded THEN Less(TargetLease, Min(Lease, known[d])) ELSE TargetLease
       IN confirmedLeft' = [confirmedLeft EXCEPT ![d] = bound]
    /\ LET wait == IF note # NoNote THEN Less(note, known[d])
                   ELSE Max(actsFor' + FencedLease, confirmedLeft'[d]) IN
        /\ waitLeft' = [waitLeft EXCEPT ![d] = wait]
        /\ waitAtStart' = [waitAtStart EXCEPT ![d] = wait]
    /\ term' = term + 1
    /\ live' = d
    /\ left' = FALSE
    /\ leaseLeft' = [leaseLeft EXCEPT ![d] = Lease]
    /\ own' = [own EXCEPT ![d] = term + 1]
    /\ actLeft' = [actLeft EXCEPT ![d] = LongestAct]
    /\ noted' = [noted EXCEPT ![d] = note # NoNote]
    /\ read' = [read EXCEPT ![d] = FALSE]
    \* A daemon that reads the new record later knows it for a shorter time and waits longer.
    /\ known' = IF CountsFromRecord THEN [e \in Daemons |-> 0] ELSE known
    /\ fencedLeft' = [fencedLeft EXCEPT ![d] = 0]
    /\ grantedLeft' = [grantedLeft EXCEPT ![d] = 0]
    /\ UNCHANGED <<targetLeft, note, fencedTerm, targetTerm>>

\* An owner that is not the owner any more uses nothing of what it knew. It is reset, so that such
\* states are equal.
Forget(d) ==
    /\ own' = [own EXCEPT ![d] = 0]
    /\ actLeft' = [actLeft EXCEPT ![d] = 0]
    /\ waitLeft' = [waitLeft EXCEPT ![d] = 0]
    /\ waitAtStart' = [waitAtStart EXCEPT ![d] = 0]
    /\ noted' = [noted EXCEPT ![d] = FALSE]
    /\ read' = [read EXCEPT ![d] = FALSE]
    /\ fencedLeft' = [fencedLeft EXCEPT ![d] = 0]
    /\ confirmedLeft' = [confirmedLeft EXCEPT ![d] = 0]
    /\ grantedLeft' = [grantedLeft EXCEPT ![d] = 0]

\* A planned stop ends the lease of the owner. The store accepts its record only under its term.
Leave(d) ==
    /\ own[d] # 0
    /\ IF StopsFirst THEN Forget(d)
       ELSE UNCHANGED <<own, actLeft, waitLeft, waitAtStart, noted, read, fencedLeft, confirmedLeft,
                      grantedLeft>>
    /\ left' = (left \/ own[d] = term)
    /\ live' = IF live = d THEN "none" ELSE live
    /\ leaseLeft' = [leaseLeft EXCEPT ![d] = 0]
    /\ UNCHANGED <<term, actsFor, known, targetLeft, note, fencedTerm, targetTerm>>

\* The process of a daemon is killed and starts again: it knows the record only from now on.
Restart(d) ==
    /\ Forget(d)
    /\ known' = [known EXCEPT ![d] = 0]
    /\ UNCHANGED <<term, actsFor, live, leaseLeft, targetLeft, left, note, fencedTerm, targetTerm>>

Next ==
    \/ Tick
    \/ \E d \in Daemons : RenewTarget(d) \/ WriteNote(d) \/ DropNote(d) \/ ReadTarget(d)
    \/ \E d \in Daemons : ReadMostTargets(d) \/ NoteLostTarget(d)
    \/ \E d \in Daemons : Renew(d) \/ Leave(d) \/ Restart(d)
    \/ \E d \in Others : TakeOver(d)

Spec == Init /\ [][Next]_vars

\* TWICE: once the newest owner has waited, no run of an earlier owner is left at a target that it has
\* not read.
NoRunAfterTheWait ==
    \A d \in Others : own[d] = term /\ ~read[d] /\ waitLeft[d] = 0 => targetLeft = 0

\* TWICE: the newest owner counts the lease of a target that it has read as over only once it is.
LeaseEndIsKnown ==
    \A d \in Daemons : own[d] = term /\ read[d] => grantedLeft[d] >= targetLeft

Symmetry == Permutations(Others)
=============================================================================
