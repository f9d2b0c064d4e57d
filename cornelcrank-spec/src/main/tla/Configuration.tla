---------------------------- MODULE Configuration ----------------------------
(***************************************************************************)
(* One setting: operators change it concurrently through the log, daemons   *)
(* receive changes from the log and from their peers, records expire, and   *)
(* snapshots hold the version of the setting and the offset they cover.     *)
(*                                                                          *)
(* A daemon folds the log and serves the newer of its fold and what it      *)
(* received from peers.  Records may expire at any time: a daemon may start *)
(* reading at the start of the log, if it still exists, or at any snapshot  *)
(* ever written.                                                            *)
(***************************************************************************)
EXTENDS Integers, Sequences, FiniteSets, TLC

CONSTANTS
    Daemons,
    Values,         \* one of them represents a deleted setting
    MaxLog,         \* maximum number of records in the log
    MaxRestarts,    \* maximum number of restarts of all daemons together
    CompareVersions \* a daemon never serves an older version than before

VARIABLES
    log,        \* changes and snapshots, including expired ones
    whole,      \* ghost: the fold of the complete log
    history,    \* ghost: the value of each version that took effect
    folded,     \* the version and value in each daemon's fold of the log
    held,       \* the version and value that each daemon serves
    next,       \* the next offset that each daemon reads
    ready,      \* whether each daemon has a configuration to serve
    highest,    \* ghost: the highest version that each daemon has served since its last start
    restarts,   \* number of restarts of all daemons
    messages    \* entries in transit between daemons; may arrive late, repeatedly or out of order

vars == <<log, whole, history, folded, held, next, ready, highest, restarts, messages>>

Nothing == [version |-> 0, value |-> "none"]

(* A change takes effect iff the setting has the expected version at the offset of the change. *)
Apply(s, r) ==
    IF r.kind = "change" /\ r.version = s.version
    THEN [version |-> s.version + 1, value |-> r.value]
    ELSE s

Newer(s, e) == ~CompareVersions \/ e.version > s.version

Write(r) ==
    /\ Len(log) < MaxLog
    /\ log' = Append(log, r)
    /\ whole' = Apply(whole, r)
    /\ history' = IF Apply(whole, r) # whole THEN Append(history, r.value) ELSE history

(* An operator submits a change to a version that some daemon serves, which may be outdated. *)
Change(d, v) ==
    /\ ready[d]
    /\ Write([kind |-> "change", version |-> held[d].version, value |-> v, through |-> 0])
    /\ UNCHANGED <<folded, held, next, ready, highest, restarts, messages>>

Snapshot(d) ==
    /\ folded[d].version > 0
    /\ Write([kind |-> "snapshot", version |-> folded[d].version, value |-> folded[d].value, through |-> next[d] - 1])
    /\ UNCHANGED <<folded, held, next, ready, highest, restarts, messages>>

Serve(d, entry) ==
    /\ held' = [held EXCEPT ![d] = IF Newer(@, entry) THEN entry ELSE @]
    /\ highest' = [highest EXCEPT ![d] = IF entry.version > @ THEN entry.version ELSE @]

Read(d) ==
    /\ next[d] < Len(log)
    /\ LET after == Apply(folded[d], log[next[d] + 1])
       IN /\ folded' = [folded EXCEPT ![d] = after]
          /\ IF after # folded[d] THEN Serve(d, after) ELSE UNCHANGED <<held, highest>>
    /\ next' = [next EXCEPT ![d] = @ + 1]
    /\ ready' = [ready EXCEPT ![d] = @ \/ next[d] + 1 = Len(log)]
    /\ UNCHANGED <<log, whole, history, restarts, messages>>

Tell(d) ==
    /\ ready[d]
    /\ messages' = messages \cup {held[d]}
    /\ UNCHANGED <<log, whole, history, folded, held, next, ready, highest, restarts>>

Hear(d) ==
    \E entry \in messages :
        /\ Serve(d, entry)
        /\ ready' = [ready EXCEPT ![d] = TRUE]
        /\ UNCHANGED <<log, whole, history, folded, next, restarts, messages>>

(* Restarts reading the log after a crash, or because unread records have expired. *)
ReadFrom(d, offset, entry) ==
    /\ folded' = [folded EXCEPT ![d] = entry]
    /\ next' = [next EXCEPT ![d] = offset]

Restart(d) ==
    /\ restarts < MaxRestarts
    /\ restarts' = restarts + 1
    /\ held' = [held EXCEPT ![d] = Nothing]
    /\ highest' = [highest EXCEPT ![d] = 0]
    /\ ready' = [ready EXCEPT ![d] = FALSE]
    /\ ReadFrom(d, 0, Nothing)
    /\ UNCHANGED <<log, whole, history, messages>>

AdoptSnapshot(d) ==
    \E k \in 1..Len(log) :
        LET entry == [version |-> log[k].version, value |-> log[k].value]
        IN /\ log[k].kind = "snapshot"
           /\ ReadFrom(d, log[k].through + 1, entry)
           /\ Serve(d, entry)
           /\ UNCHANGED <<log, whole, history, ready, restarts, messages>>

Init ==
    /\ log = <<>>
    /\ whole = Nothing
    /\ history = <<>>
    /\ folded = [d \in Daemons |-> Nothing]
    /\ held = [d \in Daemons |-> Nothing]
    /\ next = [d \in Daemons |-> 0]
    /\ ready = [d \in Daemons |-> TRUE]
    /\ highest = [d \in Daemons |-> 0]
    /\ restarts = 0
    /\ messages = {}

Next ==
    \E d \in Daemons :
        \/ \E v \in Values : Change(d, v)
        \/ Snapshot(d)
        \/ Read(d)
        \/ Tell(d)
        \/ Hear(d)
        \/ Restart(d)
        \/ AdoptSnapshot(d)

Spec == Init /\ [][Next]_vars

(* Invariants *)

ConfigurationNeverReverts == \A d \in Daemons : held[d].version >= highest[d]

(* The value that a daemon serves took effect under its version: of concurrent changes the same one wins everywhere. *)
HeldWasInForce ==
    \A d \in Daemons : held[d].version > 0 =>
        /\ held[d].version <= Len(history)
        /\ history[held[d].version] = held[d].value

(* A daemon that has read the log to its end serves the newest version, no matter where it started reading. *)
NewestIsInForce ==
    \A d \in Daemons : next[d] = Len(log) => folded[d] = whole /\ held[d] = whole

Symmetry == Permutations(Daemons) \cup Permutations(Values)

=============================================================================
