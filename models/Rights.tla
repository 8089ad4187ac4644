------------------------------- MODULE Rights -------------------------------
(* Rights of one team: transfers with cumulative totals, freeze and            *)
(* redistribution, crashes, pauses and store outages (design, section 5.1).    *)
(*                                                                             *)
(* Messages and store writes stay in a set once sent. A lost message is never  *)
(* taken from it, a doubled or late one is taken again; a store outage or a    *)
(* lost commit answer is a write that is applied late or never. A pause is a   *)
(* daemon that takes no step.                                                  *)
EXTENDS Integers, FiniteSets, TLC

CONSTANTS
    Daemons,        \* member ids
    Minted,         \* number of rights
    MaxTotal,       \* bound on each cumulative total
    MaxVersion,     \* bound on manifest versions
    AddAmounts,     \* broken: the taker adds amounts instead of keeping totals
    ReclaimByTime,  \* broken: a daemon that does not answer counts as ended
    SkipEvidence,   \* broken: a crashed daemon is cleared while its work runs
    FrozenAccepts,  \* broken: a frozen daemon accepts transfers
    NoCompare       \* broken: a redistribution commits on any version

VARIABLES
    version,    \* manifest version in the store
    bases,      \* basis of each epoch so far, a sequence
    writes,     \* redistributions sent to the store
    attempt,    \* base version of the coordinator's attempt, 0 if none
    replies,    \* freeze replies
    messages,   \* totals sent
    up,         \* whether the process exists
    held,       \* version held by each daemon
    epoch,      \* epoch known to each daemon
    sent,       \* sent[d][j]: total transferred from d to j in its epoch
    received,   \* received[d][j]: largest total received from j
    frozen,     \* whether a daemon is frozen
    checked,    \* requests between the check and the first byte
    running     \* requests that run on hosts

vars == <<version, bases, writes, attempt, replies, messages, up, held, epoch,
          sent, received, frozen, checked, running>>

RECURSIVE SumOver(_, _)
SumOver(f, set) ==
    IF set = {} THEN 0
    ELSE LET x == CHOOSE y \in set : TRUE IN f[x] + SumOver(f, set \ {x})

Sum(f) == SumOver(f, Daemons)
Max(a, b) == IF a > b THEN a ELSE b
Zero == [d \in Daemons |-> 0]
Zeros == [d \in Daemons |-> Zero]
Epochs == 1 .. MaxVersion
Current == Cardinality({e \in Epochs : bases[e] # Zero})

Holding(d) == bases[epoch[d]][d] + Sum(received[d]) - Sum(sent[d])
Used(d) == checked[d] + running[d]

EqualBasis(extra) == [d \in Daemons |->
    Minted \div Cardinality(Daemons)
        + IF d = extra THEN Minted % Cardinality(Daemons) ELSE 0]

Init ==
    /\ version = 1
    /\ \E d \in Daemons : bases = [e \in Epochs |-> IF e = 1 THEN EqualBasis(d) ELSE Zero]
    /\ writes = {} /\ attempt = 0 /\ replies = {} /\ messages = {}
    /\ up = [d \in Daemons |-> TRUE]
    /\ held = [d \in Daemons |-> 1]
    /\ epoch = [d \in Daemons |-> 1]
    /\ sent = Zeros /\ received = Zeros
    /\ frozen = [d \in Daemons |-> FALSE]
    /\ checked = Zero /\ running = Zero

Check(d) ==
    /\ up[d] /\ Used(d) < Holding(d)
    /\ checked' = [checked EXCEPT ![d] = @ + 1]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, held, epoch,
                   sent, received, frozen, running>>

Send(d) ==
    /\ up[d] /\ checked[d] > 0
    /\ checked' = [checked EXCEPT ![d] = @ - 1]
    /\ running' = [running EXCEPT ![d] = @ + 1]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, held, epoch,
                   sent, received, frozen>>

Finish(d) ==
    /\ running[d] > 0
    /\ running' = [running EXCEPT ![d] = @ - 1]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, held, epoch,
                   sent, received, frozen, checked>>

Crash(d) ==
    /\ up[d] /\ Cardinality({x \in Daemons : up[x]}) > 1
    /\ up' = [up EXCEPT ![d] = FALSE]
    /\ checked' = [checked EXCEPT ![d] = 0]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, held, epoch,
                   sent, received, frozen, running>>

Give(d, j) ==
    /\ up[d] /\ d # j /\ ~frozen[d]
    /\ Used(d) < Holding(d) /\ sent[d][j] < MaxTotal
    /\ sent' = [sent EXCEPT ![d][j] = @ + 1]
    /\ messages' = messages \cup
        {[from |-> d, to |-> j, epoch |-> epoch[d], total |-> sent[d][j] + 1]}
    /\ UNCHANGED <<version, bases, writes, attempt, replies, up, held, epoch,
                   received, frozen, checked, running>>

Receive(m) ==
    /\ up[m.to] /\ epoch[m.to] = m.epoch
    /\ FrozenAccepts \/ ~frozen[m.to]
    /\ LET before == received[m.to][m.from]
           after == IF AddAmounts THEN before + 1 ELSE Max(before, m.total)
       IN /\ after # before /\ after <= MaxTotal + 1
          /\ received' = [received EXCEPT ![m.to][m.from] = after]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, held, epoch,
                   sent, frozen, checked, running>>

Adopt(d) ==
    /\ up[d] /\ held[d] < version
    /\ held' = [held EXCEPT ![d] = version]
    /\ frozen' = [frozen EXCEPT ![d] = FALSE]
    /\ epoch' = [epoch EXCEPT ![d] = Current]
    /\ IF epoch[d] = Current
       THEN UNCHANGED <<sent, received>>
       ELSE /\ sent' = [sent EXCEPT ![d] = Zero]
            /\ received' = [received EXCEPT ![d] = Zero]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, checked, running>>

Begin ==
    /\ attempt < version
    /\ attempt' = version
    /\ UNCHANGED <<version, bases, writes, replies, messages, up, held, epoch,
                   sent, received, frozen, checked, running>>

Freeze(d) ==
    /\ up[d] /\ attempt # 0 /\ held[d] = attempt
    /\ frozen' = [frozen EXCEPT ![d] = TRUE]
    /\ ~ \E r \in replies : r.base = attempt /\ r.daemon = d
    /\ replies' = replies \cup
        {[base |-> attempt, daemon |-> d, epoch |-> epoch[d],
          sent |-> sent[d], received |-> received[d]]}
    /\ UNCHANGED <<version, bases, writes, attempt, messages, up, held, epoch,
                   sent, received, checked, running>>

(* Evidence: the process has ended, and no host reports work of it. *)
Clear(d) == ~up[d] /\ (SkipEvidence \/ running[d] = 0)

Propose ==
    LET answers == {r \in replies : r.base = attempt}
        answered == {r.daemon : r \in answers}
        Answer(d) == CHOOSE r \in answers : r.daemon = d
        From(i, j) == IF i \in answered
                      THEN Max(Answer(j).received[i], Answer(i).sent[j])
                      ELSE Answer(j).received[i]
        Kept(j) == bases[Answer(j).epoch][j] - Sum(Answer(j).sent)
                       + Sum([i \in Daemons |-> From(i, j)])
        kept == [d \in Daemons |-> IF d \in answered THEN Kept(d) ELSE 0]
        rest == Minted - Sum(kept)
    IN /\ attempt # 0 /\ answered # {}
       /\ \A d \in Daemons : d \in answered \/ Clear(d) \/ ReclaimByTime
       /\ \E taker \in answered :
            writes' = writes \cup
                {[base |-> attempt, basis |-> [kept EXCEPT ![taker] = @ + rest]]}
       /\ attempt' = 0
       /\ UNCHANGED <<version, bases, replies, messages, up, held, epoch,
                      sent, received, frozen, checked, running>>

Apply(w) ==
    /\ version < MaxVersion /\ (NoCompare \/ w.base = version)
    /\ version' = version + 1
    /\ bases' = [bases EXCEPT ![Current + 1] = w.basis]
    /\ writes' = writes \ {w}
    /\ UNCHANGED <<attempt, replies, messages, up, held, epoch,
                   sent, received, frozen, checked, running>>

(* Any other change of the settings, or the one of a coordinator that gives up. *)
OtherChange ==
    /\ version < MaxVersion
    /\ version' = version + 1
    /\ UNCHANGED <<bases, writes, attempt, replies, messages, up, held, epoch,
                   sent, received, frozen, checked, running>>

Next ==
    \/ \E d \in Daemons : Check(d) \/ Send(d) \/ Finish(d) \/ Crash(d) \/ Adopt(d) \/ Freeze(d)
    \/ \E d, j \in Daemons : Give(d, j)
    \/ \E m \in messages : Receive(m)
    \/ \E w \in writes : Apply(w)
    \/ Begin \/ Propose \/ OtherChange

Spec == Init /\ [][Next]_vars

(* Work that runs or may start without any further message. *)
Potential(d) == IF up[d] THEN Max(Holding(d), Used(d)) ELSE running[d]

LimitHolds == Sum([d \in Daemons |-> Used(d)]) <= Minted
HoldingsWithinMinted == Sum([d \in Daemons |-> Potential(d)]) <= Minted
NeverNegative == \A d \in Daemons : Holding(d) >= 0 /\ Used(d) <= Holding(d)

(* Bounds the state space; faults need few messages at a time. *)
Few == Cardinality(messages) <= 2 /\ Cardinality(writes) <= 1

Symmetry == Permutations(Daemons)
=============================================================================
