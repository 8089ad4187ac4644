------------------------------- MODULE Rights -------------------------------
(* Models the rights of one team, each of which permits one running request:   *)
(* transfers with cumulative totals, freeze and redistribution, crashes,       *)
(* pauses and store outages (docs/design.md, 5.1).                             *)
(*                                                                             *)
(* Messages stay in a set once sent: a lost one is never received, a duplicate *)
(* or late one is received again or later. After a store outage or a lost      *)
(* commit response, a write is applied late or never. A paused daemon takes no *)
(* step.                                                                       *)
EXTENDS Integers, FiniteSets, TLC

CONSTANTS
    Daemons,        \* member ids
    Minted,         \* number of rights
    MaxTotal,       \* bound on each cumulative total
    MaxVersion,     \* bound on manifest versions
    AddAmounts,     \* broken: the recipient adds amounts instead of keeping totals
    ReclaimByTime,  \* broken: a daemon that does not reply counts as ended
    SkipEvidence,   \* broken: a crashed daemon's rights return while its requests run
    FrozenAccepts,  \* broken: a frozen daemon accepts transfers
    NoCompare       \* broken: a redistribution commits without comparing the version

VARIABLES
    version,   \* manifest version in the store
    bases,     \* rights of each daemon at the start of each epoch; Zero: no epoch yet
    writes,    \* redistributions sent to the store
    attempt,   \* version that the coordinator's attempt builds on, 0 if none
    replies,   \* freeze replies
    messages,  \* transfer messages sent, each with a total
    up,        \* whether the process exists
    held,      \* manifest version held by each daemon
    epoch,     \* epoch known to each daemon
    sent,      \* sent[d][j]: total transferred from d to j in its epoch
    received,  \* received[d][j]: largest total received from j
    frozen,    \* whether each daemon is frozen: transfers and accepts no rights
    admitted,  \* requests that were admitted but not yet sent to a host
    running    \* requests that run on hosts

vars == <<version, bases, writes, attempt, replies, messages, up, held, epoch, sent, received,
          frozen, admitted, running>>

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
Used(d) == admitted[d] + running[d]

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
    /\ admitted = Zero /\ running = Zero

Admit(d) ==
    /\ up[d] /\ Used(d) < Holding(d)
    /\ admitted' = [admitted EXCEPT ![d] = @ + 1]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, held, epoch, sent,
                   received, frozen, running>>

SendRequest(d) ==
    /\ up[d] /\ admitted[d] > 0
    /\ admitted' = [admitted EXCEPT ![d] = @ - 1]
    /\ running' = [running EXCEPT ![d] = @ + 1]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, held, epoch, sent,
                   received, frozen>>

Finish(d) ==
    /\ running[d] > 0
    /\ running' = [running EXCEPT ![d] = @ - 1]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, held, epoch, sent,
                   received, frozen, admitted>>

Crash(d) ==
    /\ up[d] /\ Cardinality({x \in Daemons : up[x]}) > 1
    /\ up' = [up EXCEPT ![d] = FALSE]
    /\ admitted' = [admitted EXCEPT ![d] = 0]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, held, epoch, sent, received,
                   frozen, running>>

Transfer(d, j) ==
    /\ up[d] /\ d # j /\ ~frozen[d]
    /\ Used(d) < Holding(d) /\ sent[d][j] < MaxTotal
    /\ sent' = [sent EXCEPT ![d][j] = @ + 1]
    /\ messages' = messages \cup
        {[from |-> d, to |-> j, epoch |-> epoch[d], total |-> sent[d][j] + 1]}
    /\ UNCHANGED <<version, bases, writes, attempt, replies, up, held, epoch, received, frozen,
                   admitted, running>>

Receive(m) ==
    /\ up[m.to] /\ epoch[m.to] = m.epoch
    /\ FrozenAccepts \/ ~frozen[m.to]
    /\ LET before == received[m.to][m.from]
           after == IF AddAmounts THEN before + 1 ELSE Max(before, m.total)
       IN /\ after # before /\ after <= MaxTotal + 1
          /\ received' = [received EXCEPT ![m.to][m.from] = after]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, held, epoch, sent,
                   frozen, admitted, running>>

Adopt(d) ==
    /\ up[d] /\ held[d] < version
    /\ held' = [held EXCEPT ![d] = version]
    /\ frozen' = [frozen EXCEPT ![d] = FALSE]
    /\ epoch' = [epoch EXCEPT ![d] = Current]
    /\ IF epoch[d] = Current
       THEN UNCHANGED <<sent, received>>
       ELSE /\ sent' = [sent EXCEPT ![d] = Zero]
            /\ received' = [received EXCEPT ![d] = Zero]
    /\ UNCHANGED <<version, bases, writes, attempt, replies, messages, up, admitted, running>>

BeginAttempt ==
    /\ attempt < version
    /\ attempt' = version
    /\ UNCHANGED <<version, bases, writes, replies, messages, up, held, epoch, sent, received,
                   frozen, admitted, running>>

Freeze(d) ==
    /\ up[d] /\ attempt # 0 /\ held[d] = attempt
    /\ frozen' = [frozen EXCEPT ![d] = TRUE]
    /\ ~ \E r \in replies : r.base = attempt /\ r.daemon = d
    /\ replies' = replies \cup
        {[base |-> attempt, daemon |-> d, epoch |-> epoch[d],
          sent |-> sent[d], received |-> received[d]]}
    /\ UNCHANGED <<version, bases, writes, attempt, messages, up, held, epoch, sent, received,
                   admitted, running>>

(* The process has ended, and no host reports that a request of it runs. *)
EndedWithoutRequests(d) == ~up[d] /\ (SkipEvidence \/ running[d] = 0)

Propose ==
    LET attemptReplies == {r \in replies : r.base = attempt}
        replied == {r.daemon : r \in attemptReplies}
        ReplyOf(d) == CHOOSE r \in attemptReplies : r.daemon = d
        From(i, j) == IF i \in replied
                      THEN Max(ReplyOf(j).received[i], ReplyOf(i).sent[j])
                      ELSE ReplyOf(j).received[i]
        Kept(j) == bases[ReplyOf(j).epoch][j] - Sum(ReplyOf(j).sent)
                       + Sum([i \in Daemons |-> From(i, j)])
        kept == [d \in Daemons |-> IF d \in replied THEN Kept(d) ELSE 0]
        rest == Minted - Sum(kept)
    IN /\ attempt # 0 /\ replied # {}
       /\ \A d \in Daemons : d \in replied \/ EndedWithoutRequests(d) \/ ReclaimByTime
       /\ \E recipient \in replied :
            writes' = writes \cup
                {[base |-> attempt, basis |-> [kept EXCEPT ![recipient] = @ + rest]]}
       /\ attempt' = 0
       /\ UNCHANGED <<version, bases, replies, messages, up, held, epoch, sent, received, frozen,
                      admitted, running>>

Apply(w) ==
    /\ version < MaxVersion /\ (NoCompare \/ w.base = version)
    /\ version' = version + 1
    /\ bases' = [bases EXCEPT ![Current + 1] = w.basis]
    /\ writes' = writes \ {w}
    /\ UNCHANGED <<attempt, replies, messages, up, held, epoch, sent, received, frozen, admitted,
                   running>>

(* Any other change of the settings. A coordinator that gives up its attempt makes one as well: the
   attempt can then no longer be applied, since it is based on an older version. *)
OtherChange ==
    /\ version < MaxVersion
    /\ version' = version + 1
    /\ UNCHANGED <<bases, writes, attempt, replies, messages, up, held, epoch, sent, received,
                   frozen, admitted, running>>

Next ==
    \/ \E d \in Daemons : Admit(d) \/ SendRequest(d) \/ Finish(d) \/ Crash(d)
    \/ \E d \in Daemons : Adopt(d) \/ Freeze(d)
    \/ \E d, j \in Daemons : Transfer(d, j)
    \/ \E m \in messages : Receive(m)
    \/ \E w \in writes : Apply(w)
    \/ BeginAttempt \/ Propose \/ OtherChange

Spec == Init /\ [][Next]_vars

(* Requests that run or may start without any further message. *)
Potential(d) == IF up[d] THEN Max(Holding(d), Used(d)) ELSE running[d]

LimitHolds == Sum([d \in Daemons |-> Used(d)]) <= Minted
HoldingsWithinMinted == Sum([d \in Daemons |-> Potential(d)]) <= Minted
NeverNegative == \A d \in Daemons : Holding(d) >= 0 /\ Used(d) <= Holding(d)

(* Bounds the state space; the faults show with few messages at a time. *)
FewMessages == Cardinality(messages) <= 2 /\ Cardinality(writes) <= 1

Symmetry == Permutations(Daemons)
=============================================================================
