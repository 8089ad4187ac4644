----------------------------- MODULE FencedRole -----------------------------
(* A role held through a lease, whose holder moves hosts between pools by commits that compare the
   version (docs/design.md, 4.2 and 8).

   A paused holder is one that takes no step while its lease ends; it still believes that it holds
   the role when it wakes, and its commit may arrive at any time. Pools are sets so that a move that
   is applied to a state it was not made for shows as a host in two pools or in none. *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS Daemons, Hosts, Pools, MaxVersion, None,
    Fenced           \* FALSE: a commit does not compare the version

VARIABLES
    version, pools,  \* committed state
    holder,          \* daemon whose lease holds the role
    believes,        \* daemons that believe they hold it
    seen,            \* state that each daemon has read
    sent,            \* commit of each daemon that may still arrive
    staleApplied     \* a commit took effect on a version that its author had not read

vars == <<version, pools, holder, believes, seen, sent, staleApplied>>

Init ==
    /\ version = 1
    /\ \E p \in Pools : pools = [q \in Pools |-> IF q = p THEN Hosts ELSE {}]
    /\ holder = None
    /\ believes = {}
    /\ seen = [d \in Daemons |-> None]
    /\ sent = [d \in Daemons |-> None]
    /\ staleApplied = FALSE

Acquire(d) ==
    /\ holder = None
    /\ holder' = d
    /\ believes' = believes \cup {d}
    /\ UNCHANGED <<version, pools, seen, sent, staleApplied>>

\* The lease ends, while its holder is paused or cut off.
Expire ==
    /\ holder # None
    /\ holder' = None
    /\ UNCHANGED <<version, pools, believes, seen, sent, staleApplied>>

NoticeLoss(d) ==
    /\ d \in believes /\ holder # d
    /\ believes' = believes \ {d}
    /\ UNCHANGED <<version, pools, holder, seen, sent, staleApplied>>

Read(d) ==
    /\ d \in believes
    /\ seen' = [seen EXCEPT ![d] = [version |-> version, pools |-> pools]]
    /\ UNCHANGED <<version, pools, holder, believes, sent, staleApplied>>

Decide(d, host, from, to) ==
    /\ d \in believes /\ seen[d] # None /\ from # to
    /\ host \in seen[d].pools[from]
    /\ sent' =
        [sent EXCEPT
            ![d] = [base |-> seen[d].version, host |-> host, from |-> from, to |-> to]]
    /\ UNCHANGED <<version, pools, holder, believes, seen, staleApplied>>

Move(host, from, to) ==
    /\ version < MaxVersion
    /\ version' = version + 1
    /\ pools' = [pools EXCEPT ![from] = @ \ {host}, ![to] = @ \cup {host}]

\* The commit stays in sent: its reply may be lost, and it is repeated.
Arrive(d) ==
    /\ sent[d] # None
    /\ Fenced => sent[d].base = version
    /\ Move(sent[d].host, sent[d].from, sent[d].to)
    /\ staleApplied' = (staleApplied \/ sent[d].base # version)
    /\ UNCHANGED <<holder, believes, seen, sent>>

Forget(d) ==
    /\ sent[d] # None
    /\ sent' = [sent EXCEPT ![d] = None]
    /\ UNCHANGED <<version, pools, holder, believes, seen, staleApplied>>

\* An operator's change, which is validated against the version it is committed on.
OperatorMoves(host, from, to) ==
    /\ host \in pools[from] /\ from # to
    /\ Move(host, from, to)
    /\ UNCHANGED <<holder, believes, seen, sent, staleApplied>>

Next ==
    \/ Expire
    \/ \E d \in Daemons : Acquire(d) \/ NoticeLoss(d) \/ Read(d) \/ Arrive(d) \/ Forget(d)
    \/ \E d \in Daemons, host \in Hosts, from, to \in Pools : Decide(d, host, from, to)
    \/ \E host \in Hosts, from, to \in Pools : OperatorMoves(host, from, to)

Spec == Init /\ [][Next]_vars

OnePool == \A host \in Hosts : Cardinality({p \in Pools : host \in pools[p]}) = 1

NoStaleDecision == ~staleApplied

Symmetry == Permutations(Daemons) \cup Permutations(Hosts) \cup Permutations(Pools)
=============================================================================
