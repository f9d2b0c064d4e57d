----------------------------- MODULE JobResults -----------------------------
(* The results of one partition of jobs in a store that fences its producer by epoch. Any daemon may raise the epoch at  *)
(* any time, since leases are only a hint; messages land at any later time, several times or never; a daemon that takes   *)
(* no step is one that is paused; a reader takes results from an owner or from the store.                                 *)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Daemons,
    Items,
    MaxEpoch,        \* bounds how often the epoch is raised
    MaxCrashes,      \* bounds how often a daemon forgets everything
    EpochCheck,      \* the store refuses an older epoch
    AckAfterStore,   \* a result is listed only after the store has answered
    KeepPosition     \* an append without an answer is repeated and never replaced

VARIABLES
    stored,      \* the store: position -> item
    storeEpoch,  \* the highest epoch that the store has seen
    storeNext,   \* the sequence that the store expects under that epoch
    sent,        \* messages that were sent; each may land at any time, again and again
    lastEpoch,   \* epochs are drawn so that no two are alike
    state,       \* daemon -> "idle", "raising", "loading", "open"
    epoch,       \* daemon -> its epoch
    next,        \* daemon -> the sequence of its next append
    known,       \* daemon -> what it has read or has had acknowledged: position -> item
    pending,     \* daemon -> the append that waits for its answer, or None
    listed,      \* what readers have been told: pairs of position and item
    crashes

vars == <<stored, storeEpoch, storeNext, sent, lastEpoch, state, epoch, next, known, pending, listed, crashes>>

None == [none |-> TRUE]
Empty == [p \in {} |-> CHOOSE i \in Items : TRUE]
Count(f) == Cardinality(DOMAIN f)
With(f, p, i) == [q \in DOMAIN f \cup {p} |-> IF q = p THEN i ELSE f[q]]

Init ==
    /\ stored = Empty /\ storeEpoch = 0 /\ storeNext = 0 /\ sent = {} /\ lastEpoch = 0
    /\ state = [d \in Daemons |-> "idle"]
    /\ epoch = [d \in Daemons |-> 0]
    /\ next = [d \in Daemons |-> 0]
    /\ known = [d \in Daemons |-> Empty]
    /\ pending = [d \in Daemons |-> None]
    /\ listed = {} /\ crashes = 0

(* A daemon believes that it holds the partition and sends an empty append under an epoch of its own. *)
Raise(d) ==
    /\ state[d] = "idle" /\ lastEpoch < MaxEpoch
    /\ lastEpoch' = lastEpoch + 1
    /\ epoch' = [epoch EXCEPT ![d] = lastEpoch + 1]
    /\ state' = [state EXCEPT ![d] = "raising"]
    /\ sent' = sent \cup {[kind |-> "raise", epoch |-> lastEpoch + 1]}
    /\ UNCHANGED <<stored, storeEpoch, storeNext, next, known, pending, listed, crashes>>

RaiseLands(m) ==
    /\ m.kind = "raise" /\ m.epoch > storeEpoch
    /\ storeEpoch' = m.epoch /\ storeNext' = 0
    /\ UNCHANGED <<stored, sent, lastEpoch, state, epoch, next, known, pending, listed, crashes>>

(* Without the check by epoch the store answers everybody. *)
Accepted(e) == IF EpochCheck THEN storeEpoch = e ELSE storeEpoch >= e

RaiseAnswered(d) ==
    /\ state[d] = "raising" /\ Accepted(epoch[d])
    /\ state' = [state EXCEPT ![d] = "loading"]
    /\ UNCHANGED <<stored, storeEpoch, storeNext, sent, lastEpoch, epoch, next, known, pending, listed, crashes>>

Load(d) ==
    /\ state[d] = "loading"
    /\ state' = [state EXCEPT ![d] = "open"]
    /\ known' = [known EXCEPT ![d] = stored]
    /\ next' = [next EXCEPT ![d] = 0]
    /\ UNCHANGED <<stored, storeEpoch, storeNext, sent, lastEpoch, epoch, pending, listed, crashes>>

(* An item has finished; its result gets the next position. *)
Append(d, i) ==
    /\ state[d] = "open" /\ pending[d] = None
    /\ \A p \in DOMAIN known[d] : known[d][p] # i
    /\ LET m == [kind |-> "result", epoch |-> epoch[d], seq |-> next[d], pos |-> Count(known[d]), item |-> i]
       IN /\ pending' = [pending EXCEPT ![d] = m]
          /\ sent' = sent \cup {m}
    /\ UNCHANGED <<stored, storeEpoch, storeNext, lastEpoch, state, epoch, next, known, listed, crashes>>

ResultLands(m) ==
    /\ m.kind = "result"
    /\ IF EpochCheck
       THEN m.epoch = storeEpoch /\ m.seq = storeNext /\ storeNext' = storeNext + 1
       ELSE storeNext' = storeNext
    /\ stored' = With(stored, m.pos, m.item)
    /\ UNCHANGED <<storeEpoch, sent, lastEpoch, state, epoch, next, known, pending, listed, crashes>>

Landed(m) ==
    IF EpochCheck
    THEN storeEpoch = m.epoch /\ storeNext > m.seq
    ELSE m.pos \in DOMAIN stored /\ stored[m.pos] = m.item

(* The store's answer reaches the owner, also that to a repeated append. *)
Acknowledged(d) ==
    /\ state[d] = "open" /\ pending[d] # None
    /\ AckAfterStore => Landed(pending[d])
    /\ known' = [known EXCEPT ![d] = With(known[d], pending[d].pos, pending[d].item)]
    /\ listed' = listed \cup {<<pending[d].pos, pending[d].item>>}
    /\ next' = [next EXCEPT ![d] = next[d] + 1]
    /\ pending' = [pending EXCEPT ![d] = None]
    /\ UNCHANGED <<stored, storeEpoch, storeNext, sent, lastEpoch, state, epoch, crashes>>

(* A weakened owner drops an append that got no answer and gives its position to another result. *)
GiveUp(d) ==
    /\ ~KeepPosition /\ state[d] = "open" /\ pending[d] # None
    /\ next' = [next EXCEPT ![d] = next[d] + 1]
    /\ pending' = [pending EXCEPT ![d] = None]
    /\ UNCHANGED <<stored, storeEpoch, storeNext, sent, lastEpoch, state, epoch, known, listed, crashes>>

(* The store refuses the owner's epoch. *)
Fenced(d) ==
    /\ EpochCheck /\ state[d] \in {"raising", "open"} /\ storeEpoch > epoch[d]
    /\ state' = [state EXCEPT ![d] = "idle"]
    /\ pending' = [pending EXCEPT ![d] = None]
    /\ UNCHANGED <<stored, storeEpoch, storeNext, sent, lastEpoch, epoch, next, known, listed, crashes>>

Crash(d) ==
    /\ crashes < MaxCrashes /\ state[d] # "idle"
    /\ crashes' = crashes + 1
    /\ state' = [state EXCEPT ![d] = "idle"]
    /\ pending' = [pending EXCEPT ![d] = None]
    /\ known' = [known EXCEPT ![d] = Empty]
    /\ UNCHANGED <<stored, storeEpoch, storeNext, sent, lastEpoch, epoch, next, listed>>

(* A reader takes a result from the store. *)
ReadStore ==
    /\ \E p \in DOMAIN stored : listed' = listed \cup {<<p, stored[p]>>}
    /\ UNCHANGED <<stored, storeEpoch, storeNext, sent, lastEpoch, state, epoch, next, known, pending, crashes>>

Next ==
    \/ \E d \in Daemons :
        \/ Raise(d) \/ RaiseAnswered(d) \/ Load(d) \/ Acknowledged(d) \/ GiveUp(d) \/ Fenced(d) \/ Crash(d)
        \/ \E i \in Items : Append(d, i)
    \/ \E m \in sent : RaiseLands(m) \/ ResultLands(m)
    \/ ReadStore

Spec == Init /\ [][Next]_vars

PositionKeepsItsResult == \A a, b \in listed : a[1] = b[1] => a[2] = b[2]
ItemListedOnce == \A a, b \in listed : a[2] = b[2] => a[1] = b[1]
ListedIsStored == \A a \in listed : a[1] \in DOMAIN stored /\ stored[a[1]] = a[2]
=============================================================================
