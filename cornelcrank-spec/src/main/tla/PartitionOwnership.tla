------------------------- MODULE PartitionOwnership -------------------------
(***************************************************************************)
(* One partition of the platform's log: ownership by claims that name the   *)
(* epoch they supersede, an item that completes once, and a call that runs  *)
(* at most once.                                                            *)
(*                                                                          *)
(* An append that was sent may take effect at any later time, twice, or     *)
(* never, even after its writer has crashed, and writers learn nothing from *)
(* responses to appends: this covers lost responses and repeated appends.   *)
(* A paused daemon is one that takes no step.                               *)
(*                                                                          *)
(* Records may expire at any time: a daemon may start reading at the start  *)
(* of the log, if it still exists, or at any checkpoint ever written; a     *)
(* daemon that finds neither does not serve.                                *)
(***************************************************************************)
EXTENDS Integers, Sequences, FiniteSets, TLC

CONSTANTS
    Daemons,
    Items,
    Calls,
    MaxLog,         \* maximum number of records in the log
    MaxRestarts,    \* maximum number of restarts of all daemons together
    MaxCheckpoints, \* maximum number of checkpoints
    MaxRepeats,     \* maximum number of repeated copies of appends
    ReadBack,       \* acknowledge and dispatch only after read-back
    EpochCheck,     \* records of another epoch have no effect
    IntentFirst     \* a call's intent is written before the call runs

VARIABLES
    log,        \* all records ever written, including expired ones
    sent,       \* appends that were sent, with the number of their copies in the log
    starts,     \* number of starts of each daemon
    restarts,   \* number of restarts of all daemons
    repeats,    \* number of repeated copies of appends in the log
    state,      \* each daemon's fold of what it has read
    next,       \* the next offset that each daemon reads
    sequence,   \* the last sequence number that each daemon has used since its start
    proposed,   \* what each daemon has proposed in its current epoch
    acked,      \* the item results that were acknowledged to callers
    runs,       \* number of times that each call was dispatched
    whole,      \* ghost: the fold of the complete log
    completions, \* ghost: number of records that completed each item
    stray       \* ghost: whether a record of a daemon other than the owner took effect

vars == <<log, sent, repeats, starts, restarts, state, next, sequence, proposed, acked, runs, whole, completions, stray>>

NoEpoch == -1
NoWriter == <<"none", 0>>
EmptyState == [epoch |-> NoEpoch, owner |-> NoWriter, last |-> 0,
               items |-> [i \in Items |-> NoWriter], intents |-> {}]

Writer(d) == <<d, starts[d]>>

Record(d, kind, what, fold, through) ==
    [kind |-> kind, writer |-> Writer(d), seq |-> sequence[d] + 1, epoch |-> state[d].epoch,
     what |-> what, fold |-> fold, through |-> through]

(* The fold *)

ClaimTakesEffect(s, r) == EpochCheck => r.epoch = s.epoch

OwnRecordTakesEffect(s, r) ==
    IF EpochCheck
    THEN r.epoch = s.epoch /\ r.writer = s.owner /\ r.seq > s.last
    ELSE ~(r.writer = s.owner /\ r.seq <= s.last)

TakesEffect(s, r) == IF r.kind = "claim" THEN ClaimTakesEffect(s, r) ELSE OwnRecordTakesEffect(s, r)

Apply(s, r, offset) ==
    IF ~TakesEffect(s, r) THEN s
    ELSE CASE r.kind = "claim" -> [s EXCEPT !.epoch = offset, !.owner = r.writer, !.last = 0]
           [] r.kind = "finish" -> [s EXCEPT !.last = r.seq, !.items[r.what] = r.writer]
           [] r.kind = "intent" -> [s EXCEPT !.last = r.seq, !.intents = @ \cup {r.what}]
           [] OTHER -> [s EXCEPT !.last = r.seq]

(* Steps of a daemon *)

Owns(d) == state[d].owner = Writer(d)

Landed(d) == \A m \in sent : m.record.writer = Writer(d) => m.copies > 0

(* An append is not sent if the log is full, since it could never take effect. *)
Send(d, r) ==
    /\ Len(log) < MaxLog
    /\ Landed(d)
    /\ sent' = sent \cup {[record |-> r, copies |-> 0]}
    /\ sequence' = [sequence EXCEPT ![d] = @ + 1]

Claim(d) ==
    /\ ~Owns(d)
    /\ <<"claim", "none">> \notin proposed[d]
    /\ Send(d, Record(d, "claim", "none", EmptyState, 0))
    /\ proposed' = [proposed EXCEPT ![d] = @ \cup {<<"claim", "none">>}]
    /\ UNCHANGED <<log, repeats, starts, restarts, state, next, acked, runs, whole, completions, stray>>

FinishItem(d, i) ==
    /\ Owns(d)
    /\ state[d].items[i] = NoWriter
    /\ <<"finish", i>> \notin proposed[d]
    /\ Send(d, Record(d, "finish", i, EmptyState, 0))
    /\ proposed' = [proposed EXCEPT ![d] = @ \cup {<<"finish", i>>}]
    /\ acked' = IF ReadBack THEN acked ELSE acked \cup {<<i, Writer(d)>>}
    /\ UNCHANGED <<log, repeats, starts, restarts, state, next, runs, whole, completions, stray>>

(* Proposes the intent record of a call; the call runs once the intent is read back. *)
IntendCall(d, c) ==
    /\ IntentFirst
    /\ Owns(d)
    /\ c \notin state[d].intents
    /\ <<"call", c>> \notin proposed[d]
    /\ Send(d, Record(d, "intent", c, EmptyState, 0))
    /\ proposed' = [proposed EXCEPT ![d] = @ \cup {<<"call", c>>}]
    /\ runs' = IF ReadBack THEN runs ELSE [runs EXCEPT ![c] = @ + 1]
    /\ UNCHANGED <<log, repeats, starts, restarts, state, next, acked, whole, completions, stray>>

(* Runs a call without an intent record and records it afterwards. *)
RunCall(d, c) ==
    /\ ~IntentFirst
    /\ Owns(d)
    /\ c \notin state[d].intents
    /\ <<"call", c>> \notin proposed[d]
    /\ proposed' = [proposed EXCEPT ![d] = @ \cup {<<"call", c>>}]
    /\ runs' = [runs EXCEPT ![c] = @ + 1]
    /\ UNCHANGED <<log, sent, repeats, starts, restarts, state, next, sequence, acked, whole, completions, stray>>

RecordCall(d, c) ==
    /\ ~IntentFirst
    /\ Owns(d)
    /\ <<"call", c>> \in proposed[d]
    /\ <<"record", c>> \notin proposed[d]
    /\ Send(d, Record(d, "intent", c, EmptyState, 0))
    /\ proposed' = [proposed EXCEPT ![d] = @ \cup {<<"record", c>>}]
    /\ UNCHANGED <<log, repeats, starts, restarts, state, next, acked, runs, whole, completions, stray>>

WriteCheckpoint(d) ==
    /\ Owns(d)
    /\ Cardinality({m \in sent : m.record.kind = "checkpoint"}) < MaxCheckpoints
    /\ <<"checkpoint", "none">> \notin proposed[d]
    /\ Send(d, Record(d, "checkpoint", "none", state[d], next[d] - 1))
    /\ proposed' = [proposed EXCEPT ![d] = @ \cup {<<"checkpoint", "none">>}]
    /\ UNCHANGED <<log, repeats, starts, restarts, state, next, acked, runs, whole, completions, stray>>

Read(d) ==
    /\ next[d] < Len(log)
    /\ LET r == log[next[d] + 1]
           after == Apply(state[d], r, next[d])
           mine == r.writer = Writer(d) /\ TakesEffect(state[d], r)
       IN /\ state' = [state EXCEPT ![d] = after]
          /\ proposed' = [proposed EXCEPT ![d] = IF after.epoch = state[d].epoch THEN @ ELSE {}]
          /\ acked' = IF mine /\ r.kind = "finish" /\ ReadBack
                      THEN acked \cup {<<r.what, r.writer>>} ELSE acked
          /\ runs' = IF mine /\ r.kind = "intent" /\ ReadBack /\ IntentFirst
                     THEN [runs EXCEPT ![r.what] = @ + 1] ELSE runs
    /\ next' = [next EXCEPT ![d] = @ + 1]
    /\ UNCHANGED <<log, sent, repeats, starts, restarts, sequence, whole, completions, stray>>

Begin(d, from, fold) ==
    /\ restarts < MaxRestarts
    /\ restarts' = restarts + 1
    /\ starts' = [starts EXCEPT ![d] = @ + 1]
    /\ state' = [state EXCEPT ![d] = fold]
    /\ next' = [next EXCEPT ![d] = from]
    /\ sequence' = [sequence EXCEPT ![d] = 0]
    /\ proposed' = [proposed EXCEPT ![d] = {}]
    /\ UNCHANGED <<log, sent, repeats, acked, runs, whole, completions, stray>>

(* A daemon that has crashed or missed records starts reading at the start of the log or at any complete checkpoint,    *)
(* whether or not that checkpoint took effect.                                                                          *)
StartFromLog(d) == Begin(d, 0, EmptyState)

StartFromCheckpoint(d) ==
    \E k \in 1..Len(log) : log[k].kind = "checkpoint" /\ Begin(d, log[k].through + 1, log[k].fold)

(* Steps of the log *)

Land ==
    \E m \in sent :
        /\ m.copies > 0 => repeats < MaxRepeats
        /\ repeats' = IF m.copies > 0 THEN repeats + 1 ELSE repeats
        /\ Len(log) < MaxLog
        /\ log' = Append(log, m.record)
        /\ sent' = (sent \ {m}) \cup {[m EXCEPT !.copies = @ + 1]}
        /\ whole' = Apply(whole, m.record, Len(log))
        /\ completions' = IF m.record.kind = "finish" /\ TakesEffect(whole, m.record)
                          THEN [completions EXCEPT ![m.record.what] = @ + 1] ELSE completions
        /\ stray' = (stray \/ (/\ m.record.kind # "claim"
                               /\ TakesEffect(whole, m.record)
                               /\ m.record.writer # whole.owner))
        /\ UNCHANGED <<starts, restarts, state, next, sequence, proposed, acked, runs>>

Init ==
    /\ log = <<>>
    /\ sent = {}
    /\ starts = [d \in Daemons |-> 1]
    /\ restarts = 0
    /\ repeats = 0
    /\ state = [d \in Daemons |-> EmptyState]
    /\ next = [d \in Daemons |-> 0]
    /\ sequence = [d \in Daemons |-> 0]
    /\ proposed = [d \in Daemons |-> {}]
    /\ acked = {}
    /\ runs = [c \in Calls |-> 0]
    /\ whole = EmptyState
    /\ completions = [i \in Items |-> 0]
    /\ stray = FALSE

Next ==
    \/ Land
    \/ \E d \in Daemons :
        \/ Claim(d)
        \/ \E i \in Items : FinishItem(d, i)
        \/ \E c \in Calls : IntendCall(d, c) \/ RunCall(d, c) \/ RecordCall(d, c)
        \/ WriteCheckpoint(d)
        \/ Read(d)
        \/ StartFromLog(d)
        \/ StartFromCheckpoint(d)

Spec == Init /\ [][Next]_vars

(* Invariants *)

ItemCompletesOnce == \A i \in Items : completions[i] <= 1

CallRunsAtMostOnce == \A c \in Calls : runs[c] <= 1

OneEffectiveOwnerPerOffset == ~stray

(* A daemon that has read the log to its end has the state given by the complete history, no matter where it started. *)
ReadersAgree == \A d \in Daemons : next[d] = Len(log) => state[d] = whole

(* No reader ever serves a state from which an acknowledged result is missing. *)
AcknowledgedStaysReadable ==
    /\ \A a \in acked : whole.items[a[1]] = a[2]
    /\ \A d \in Daemons : next[d] = Len(log) => \A a \in acked : state[d].items[a[1]] = a[2]

Symmetry == Permutations(Daemons)

=============================================================================
