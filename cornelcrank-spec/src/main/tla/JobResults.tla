----------------------------- MODULE JobResults -----------------------------
(* The results of one partition of jobs in a store that fences producers by epoch. Any daemon may raise the epoch at any  *)
(* time, since leases are only a hint. Messages may arrive at any later time, several times or never. A paused daemon is  *)
(* one that takes no step. A reader reads results from an owner or from the store.                                        *)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Daemons,
    Items,
    MaxEpoch,        \* maximum number of times that the epoch is raised
    MaxCrashes,      \* maximum number of crashes, in which a daemon loses its state
    EpochCheck,      \* the store rejects an older epoch
    AckAfterStore,   \* a result is listed only after the store has acknowledged it
    KeepPosition     \* an append without a response is repeated and never replaced

VARIABLES
    stored,      \* the store: position -> item
    storeEpoch,  \* the highest epoch that the store has seen
    storeNext,   \* the sequence number that the store expects next under that epoch
    sent,        \* messages that were sent; each may arrive at any time, any number of times
    lastEpoch,   \* the last epoch drawn, so that no two epochs are equal
    state,       \* daemon -> "idle", "raising", "loading", "open"
    epoch,       \* daemon -> its epoch
    next,        \* daemon -> the sequence number of its next append
    known,       \* daemon -> the results it has read or that were acknowledged: position -> item
    pending,     \* daemon -> the append that waits for its response, or None
    listed,      \* the results that readers have received: pairs of position and item
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

(* A daemon assumes that it owns the partition and sends an empty append under a new epoch. *)
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

(* Without the epoch check the store accepts every producer. *)
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

(* An item has completed; its result is assigned the next position. *)
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

(* The owner receives the response of the store, possibly to a repeated append. *)
Acknowledged(d) ==
    /\ state[d] = "open" /\ pending[d] # None
    /\ AckAfterStore => Landed(pending[d])
    /\ known' = [known EXCEPT ![d] = With(known[d], pending[d].pos, pending[d].item)]
    /\ listed' = listed \cup {<<pending[d].pos, pending[d].item>>}
    /\ next' = [next EXCEPT ![d] = next[d] + 1]
    /\ pending' = [pending EXCEPT ![d] = None]
    /\ UNCHANGED <<stored, storeEpoch, storeNext, sent, lastEpoch, state, epoch, crashes>>

(* An owner without the rule KeepPosition drops an append without a response and reuses its position for another result. *)
GiveUp(d) ==
    /\ ~KeepPosition /\ state[d] = "open" /\ pending[d] # None
    /\ next' = [next EXCEPT ![d] = next[d] + 1]
    /\ pending' = [pending EXCEPT ![d] = None]
    /\ UNCHANGED <<stored, storeEpoch, storeNext, sent, lastEpoch, state, epoch, known, listed, crashes>>

(* The store rejects the epoch of the owner. *)
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

(* A reader reads a result from the store. *)
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
