------------------------- MODULE SettingsPropagation -------------------------
(* Models how daemons confirm and accept settings versions while the member set changes
   (docs/design.md, 4.3).

   A message is one step, taken when its recipient handles it. Lost messages, partitions, store
   outages and paused daemons are steps that are not taken while time passes; when a paused daemon
   resumes, its confirmation has aged. Ages count ticks and stop at Validity, so time needs no
   bound. The age of a reply counts from when the reply is produced; if it counted from the request,
   the reply would only expire sooner. The model uses the version that a member holds instead of
   the one that others know it to hold, since that knowledge can only lag behind. A lost
   acknowledgement is an acceptance step that is not taken.

   There are at most three daemons, so a majority needs at most one reply of another daemon, and
   it is enough to keep one reply for each daemon. *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Daemons,
    MaxSettingsChanges,
    MaxMemberChanges,
    Validity,        \* ticks after which a confirmation expires
    Wait,            \* ticks between a majority and acceptance
    StoreCompares,   \* FALSE: a confirmation through the store uses a read that may be stale
    MajorityHolds,   \* FALSE: the member set changes before a majority holds the latest version
    RemovalGuard     \* FALSE: acceptance by all members does not wait after a removal

VARIABLES
    latest,          \* committed version
    members,         \* member set of each committed version
    removals,        \* versions that removed a member
    held,            \* version that each daemon holds
    ended,           \* daemons whose process has ended
    age,             \* age of each daemon's confirmation
    reply,           \* last reply that each daemon received: its sender, version and age
    majorityAge,     \* ticks since a majority was seen to hold a version; Wait + 1: not seen
    accepted         \* newest accepted version

vars == <<latest, members, removals, held, ended, age, reply, majorityAge, accepted>>

MaxVersion == 1 + MaxSettingsChanges + MaxMemberChanges
Versions == 1..MaxVersion
NotSeen == Wait + 1
NoReply == [age |-> Validity, version |-> 0, from |-> {}]
IsMajority(part, set) == 2 * Cardinality(part \cap set) > Cardinality(set)
Min(a, b) == IF a < b THEN a ELSE b

HoldsOrEnded(version) == {d \in Daemons : held[d] >= version} \cup ended

MayServe(d) == d \notin ended /\ d \in members[held[d]] /\ age[d] < Validity

Init ==
    /\ latest = 1
    /\ \E set \in SUBSET Daemons \ {{}} :
        members = [v \in Versions |-> IF v = 1 THEN set ELSE {}]
    /\ removals = {}
    /\ held = [d \in Daemons |-> 1]
    /\ ended = {}
    /\ age = [d \in Daemons |-> Validity]
    /\ reply = [d \in Daemons |-> NoReply]
    /\ majorityAge = [v \in Versions |-> NotSeen]
    /\ accepted = 1

MemberChanges == Cardinality({v \in 2..latest : members[v] # members[v - 1]})
SettingsChanges == latest - 1 - MemberChanges

Commit(set) ==
    /\ latest' = latest + 1
    /\ members' = [members EXCEPT ![latest + 1] = set]
    /\ UNCHANGED <<held, ended, age, reply, majorityAge, accepted>>

ChangeSettings ==
    /\ SettingsChanges < MaxSettingsChanges
    /\ Commit(members[latest])
    /\ UNCHANGED removals

MayChangeMembers ==
    /\ MemberChanges < MaxMemberChanges
    /\ MajorityHolds => IsMajority(HoldsOrEnded(latest), members[latest])

Join(d) ==
    /\ MayChangeMembers
    /\ d \notin ended
    /\ \A v \in 1..latest : d \notin members[v]
    /\ Commit(members[latest] \cup {d})
    /\ UNCHANGED removals

\* A daemon may be removed although its process has not ended: the evidence may be wrong.
Remove(d) ==
    /\ MayChangeMembers
    /\ d \in members[latest]
    /\ Commit(members[latest] \ {d})
    /\ removals' = removals \cup {latest + 1}

End(d) ==
    /\ d \notin ended
    /\ ended' = ended \cup {d}
    \* The variables of an ended daemon have no effect; fixed values keep the state space small.
    /\ held' = [held EXCEPT ![d] = 1]
    /\ age' = [age EXCEPT ![d] = Validity]
    /\ reply' = [reply EXCEPT ![d] = NoReply]
    /\ UNCHANGED <<latest, members, removals, majorityAge, accepted>>

\* A daemon adopts a version from the store, which may be an old one, or from a peer.
Adopt(d, v) ==
    /\ d \notin ended
    /\ held[d] < v /\ v <= latest
    \* What a daemon holds while it is not a member has no effect.
    /\ d \in members[held[d]] \cup members[v]
    /\ held' = [held EXCEPT ![d] = v]
    /\ UNCHANGED <<latest, members, removals, ended, age, reply, majorityAge, accepted>>

ConfirmByStore(d) ==
    /\ d \notin ended /\ d \in members[held[d]]
    /\ StoreCompares => held[d] = latest
    /\ age' = [age EXCEPT ![d] = 0]
    /\ UNCHANGED <<latest, members, removals, held, ended, reply, majorityAge, accepted>>

ReceiveReply(d, p) ==
    /\ d # p /\ {d, p} \cap ended = {}
    /\ d \in members[held[d]]
    /\ reply' = [reply EXCEPT ![d] = [age |-> 0, version |-> held[p], from |-> {p}]]
    /\ UNCHANGED <<latest, members, removals, held, ended, age, majorityAge, accepted>>

\* The implementation does not confirm while it knows of a newer version; safety needs no such rule.
ConfirmByPeers(d) ==
    /\ d \notin ended /\ d \in members[held[d]]
    /\ \/ IsMajority({d}, members[held[d]]) /\ age' = [age EXCEPT ![d] = 0]
       \/ /\ reply[d].age < age[d] /\ reply[d].version <= held[d]
          /\ IsMajority({d} \cup reply[d].from, members[held[d]])
          /\ age' = [age EXCEPT ![d] = reply[d].age]
    /\ UNCHANGED <<latest, members, removals, held, ended, reply, majorityAge, accepted>>

\* SeeMajority, AllHold, Accept: u is the version held by the daemon that is to accept version v.
SeeMajority(v, u) ==
    /\ v <= u /\ u <= latest /\ majorityAge[v] = NotSeen
    /\ v > accepted \/ v \in removals
    /\ IsMajority(HoldsOrEnded(v), members[u])
    /\ majorityAge' = [majorityAge EXCEPT ![v] = 0]
    /\ UNCHANGED <<latest, members, removals, held, ended, age, reply, accepted>>

WaitIsOver(v) == majorityAge[v] = Wait

\* A daemon that is not a member at version u never was one, or was removed at a version up to u;
\* waiting for these removals therefore covers all daemons outside members[u].
AllHold(v, u) ==
    /\ members[u] # {} /\ members[u] \subseteq HoldsOrEnded(v)
    /\ RemovalGuard => \A r \in removals : r <= u => WaitIsOver(r)

Accept(v, u) ==
    /\ accepted < v /\ v <= u /\ u <= latest
    /\ WaitIsOver(v) \/ AllHold(v, u)
    /\ accepted' = v
    /\ UNCHANGED <<latest, members, removals, held, ended, age, reply, majorityAge>>

Aged(r) == IF r.age + 1 >= Validity THEN NoReply ELSE [r EXCEPT !.age = @ + 1]

Tick ==
    /\ age' = [d \in Daemons |-> Min(Validity, age[d] + 1)]
    /\ reply' = [d \in Daemons |-> Aged(reply[d])]
    /\ majorityAge' =
        [v \in Versions |->
            IF majorityAge[v] = NotSeen THEN NotSeen ELSE Min(Wait, majorityAge[v] + 1)]
    /\ UNCHANGED <<latest, members, removals, held, ended, accepted>>

Next ==
    \/ Tick
    \/ ChangeSettings
    \/ \E d \in Daemons :
        \/ Join(d) \/ Remove(d) \/ End(d) \/ ConfirmByStore(d) \/ ConfirmByPeers(d)
        \/ \E v \in Versions : Adopt(d, v)
        \/ \E p \in Daemons : ReceiveReply(d, p)
    \/ \E v, u \in Versions : SeeMajority(v, u) \/ Accept(v, u)

Spec == Init /\ [][Next]_vars

\* Once a version is accepted, no daemon starts requests under an older one.
NoOlderVersionServes == \A d \in Daemons : MayServe(d) => held[d] >= accepted

\* Daemons are interchangeable.
Symmetry == Permutations(Daemons)
=============================================================================
