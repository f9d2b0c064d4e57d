------------------------- MODULE PartitionOwnership -------------------------
(***************************************************************************)
(* One partition of the platform's log: ownership by claims that name the   *)
(* epoch they supersede, an item that completes once, and a call that runs  *)
(* at most once.                                                            *)
(*                                                                          *)
(* An append that was sent may take effect at any later time, twice, or     *)
(* never, also after its writer has crashed, and no answer to an append     *)
(* carries knowledge: this covers lost answers and repeated appends.  A     *)
(* paused daemon is one that takes no step.                                 *)
(*                                                                          *)
(* Records expire at any time: a daemon may begin at the log's start, while  *)
(* it is there, or at any checkpoint ever written, and one that finds        *)
(* neither does not serve.                                                  *)
(***************************************************************************)
EXTENDS Integers, Sequences, FiniteSets, TLC

CONSTANTS
    Daemons,
    Items,
    Calls,
    MaxLog,         \* most records of the log
    MaxRestarts,    \* most restarts of all daemons together
    MaxCheckpoints, \* most checkpoints that are written
    MaxRepeats,     \* most copies that land of appends that have landed before
    ReadBack,       \* acknowledge and dispatch only after read-back
    EpochCheck,     \* records of another epoch are void
    IntentFirst     \* a call's intent is written before the call runs

VARIABLES
    log,        \* all records ever written, those that have expired included
    sent,       \* appends on their way, with the copies that took effect
    starts,     \* how often each daemon has started
    restarts,   \* how often any daemon has started again
    repeats,    \* how many copies have landed of appends that had landed before
    state,      \* each daemon's fold of what it has read
    next,       \* the offset that each daemon reads next
    sequence,   \* the last sequence that each daemon used in this start
    proposed,   \* what each daemon has proposed in its present epoch
    acked,      \* the item results that callers were told of
    runs,       \* how often each call was dispatched
    whole,      \* ghost: the fold of the whole log
    completions, \* ghost: how often a record completed each item
    stray       \* ghost: a record took effect that was not the owner's

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

(* What a daemon does *)

Owns(d) == state[d].owner = Writer(d)

Landed(d) == \A m \in sent : m.record.writer = Writer(d) => m.copies > 0

(* An append that finds the log full could never take effect, so it is not sent. *)
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

(* Proposes the intent of a call, which runs once the intent is read back. *)
IntendCall(d, c) ==
    /\ IntentFirst
    /\ Owns(d)
    /\ c \notin state[d].intents
    /\ <<"call", c>> \notin proposed[d]
    /\ Send(d, Record(d, "intent", c, EmptyState, 0))
    /\ proposed' = [proposed EXCEPT ![d] = @ \cup {<<"call", c>>}]
    /\ runs' = IF ReadBack THEN runs ELSE [runs EXCEPT ![c] = @ + 1]
    /\ UNCHANGED <<log, repeats, starts, restarts, state, next, acked, whole, completions, stray>>

(* Runs a call without an intent, and records it afterwards. *)
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

(* A daemon that crashes, or finds that it has missed records, begins at the log's start or at any complete checkpoint, *)
(* whether that checkpoint took effect or not.                                                                          *)
StartFromLog(d) == Begin(d, 0, EmptyState)

StartFromCheckpoint(d) ==
    \E k \in 1..Len(log) : log[k].kind = "checkpoint" /\ Begin(d, log[k].through + 1, log[k].fold)

(* What the log does *)

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

(* Whoever has read the whole log, from wherever it began, has the same state as the log's whole history gives. *)
ReadersAgree == \A d \in Daemons : next[d] = Len(log) => state[d] = whole

(* No reader ever serves a state from which an acknowledged result is missing. *)
AcknowledgedStaysReadable ==
    /\ \A a \in acked : whole.items[a[1]] = a[2]
    /\ \A d \in Daemons : next[d] = Len(log) => \A a \in acked : state[d].items[a[1]] = a[2]

Symmetry == Permutations(Daemons)

=============================================================================
