----------------------------- MODULE FencedRole -----------------------------
(* Models a role that is held through a lease. Its holder moves hosts between pools by commits that
   take effect only on the version that they were computed from (docs/design.md, 4.2 and 8).

   A paused holder takes no step while its lease expires. When it resumes, it still believes that it
   holds the role, and its commit may arrive at any time. Each pool is a set of hosts, so that a
   move that is applied to another state than the one it was computed from can put a host into two
   pools or into none. *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS Daemons, Hosts, Pools, MaxVersion, None,
    Fenced           \* FALSE: a commit does not compare the version

VARIABLES
    version, pools,  \* committed state
    leaseHolder,     \* daemon whose lease holds the role
    believers,       \* daemons that believe that they hold the role
    lastRead,        \* state that each daemon has read last
    inFlight,        \* commit of each daemon that is in flight and may still arrive
    staleApplied     \* a commit took effect on another version than it was computed from

vars == <<version, pools, leaseHolder, believers, lastRead, inFlight, staleApplied>>

Init ==
    /\ version = 1
    /\ \E p \in Pools : pools = [q \in Pools |-> IF q = p THEN Hosts ELSE {}]
    /\ leaseHolder = None
    /\ believers = {}
    /\ lastRead = [d \in Daemons |-> None]
    /\ inFlight = [d \in Daemons |-> None]
    /\ staleApplied = FALSE

Acquire(d) ==
    /\ leaseHolder = None
    /\ leaseHolder' = d
    /\ believers' = believers \cup {d}
    /\ UNCHANGED <<version, pools, lastRead, inFlight, staleApplied>>

\* The lease can expire at any time, which stands for a paused or disconnected holder.
Expire ==
    /\ leaseHolder # None
    /\ leaseHolder' = None
    /\ UNCHANGED <<version, pools, believers, lastRead, inFlight, staleApplied>>

NoticeLoss(d) ==
    /\ d \in believers /\ leaseHolder # d
    /\ believers' = believers \ {d}
    /\ UNCHANGED <<version, pools, leaseHolder, lastRead, inFlight, staleApplied>>

Read(d) ==
    /\ d \in believers
    /\ lastRead' = [lastRead EXCEPT ![d] = [version |-> version, pools |-> pools]]
    /\ UNCHANGED <<version, pools, leaseHolder, believers, inFlight, staleApplied>>

Decide(d, host, from, to) ==
    /\ d \in believers /\ lastRead[d] # None /\ from # to
    /\ host \in lastRead[d].pools[from]
    /\ inFlight' =
        [inFlight EXCEPT
            ![d] = [base |-> lastRead[d].version, host |-> host, from |-> from, to |-> to]]
    /\ UNCHANGED <<version, pools, leaseHolder, believers, lastRead, staleApplied>>

Move(host, from, to) ==
    /\ version < MaxVersion
    /\ version' = version + 1
    /\ pools' = [pools EXCEPT ![from] = @ \ {host}, ![to] = @ \cup {host}]

\* The commit stays in inFlight, since its response may be lost and its author then repeats it.
CommitArrives(d) ==
    /\ inFlight[d] # None
    /\ Fenced => inFlight[d].base = version
    /\ Move(inFlight[d].host, inFlight[d].from, inFlight[d].to)
    /\ staleApplied' = (staleApplied \/ inFlight[d].base # version)
    /\ UNCHANGED <<leaseHolder, believers, lastRead, inFlight>>

Abandon(d) ==
    /\ inFlight[d] # None
    /\ inFlight' = [inFlight EXCEPT ![d] = None]
    /\ UNCHANGED <<version, pools, leaseHolder, believers, lastRead, staleApplied>>

\* A change by an operator is validated against the version that it is committed on.
MoveByOperator(host, from, to) ==
    /\ host \in pools[from] /\ from # to
    /\ Move(host, from, to)
    /\ UNCHANGED <<leaseHolder, believers, lastRead, inFlight, staleApplied>>

Next ==
    \/ Expire
    \/ \E d \in Daemons : Acquire(d) \/ NoticeLoss(d) \/ Read(d) \/ CommitArrives(d) \/ Abandon(d)
    \/ \E d \in Daemons, host \in Hosts, from, to \in Pools : Decide(d, host, from, to)
    \/ \E host \in Hosts, from, to \in Pools : MoveByOperator(host, from, to)

Spec == Init /\ [][Next]_vars

OnePool == \A host \in Hosts : Cardinality({p \in Pools : host \in pools[p]}) = 1

NoStaleDecision == ~staleApplied

Symmetry == Permutations(Daemons) \cup Permutations(Hosts) \cup Permutations(Pools)
=============================================================================
