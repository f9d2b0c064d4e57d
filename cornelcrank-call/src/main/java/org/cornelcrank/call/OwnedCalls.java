package org.cornelcrank.call;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.routing.RequestOptions;
import org.cornelcrank.routing.RequestRouter;
import org.cornelcrank.routing.RouteOutcome;
import org.cornelcrank.routing.RoutedRequest;

/**
 * The calls of one partition while this daemon owns it.
 *
 * <p>Invariants: a call is routed only after its intent was read back as the first of its key, and once; whoever asks
 * again joins the running call or gets what the log says of it. A call that was routed is carried to its end also if the
 * partition goes to another daemon, which does not run what was intended here. Not thread-safe: confined to the daemon's event loop.
 */
final class OwnedCalls {

    private static final String UNKNOWN_CONTENT_TYPE = "application/octet-stream";

    private final CallContext context;
    private final PartitionId partition;
    private final CallPartitionState state;
    private final ResponseReplay replay;
    private final SortedMap<CallKey, RunningCall> running = new TreeMap<>();
    private final SortedMap<Long, RunningCall> proposals = new TreeMap<>();
    private boolean expiring;
    private boolean lost;

    OwnedCalls(CallContext context, PartitionId partition, CallPartitionState state) {
        this.context = context;
        this.partition = partition;
        this.state = state;
        this.replay = new ResponseReplay(context, partition);
    }

    /** Takes over the calls that this daemon routed when it owned the partition before, and that still run. */
    void adoptRouted() {
        for (RoutedCalls.Routed routed : context.routed().all()) {
            RunningCall call = routed.call();
            if (namesRun(call)) {
                running.put(call.key(), call);
                context.routed().add(call, this);
            }
        }
    }

    void handle(
            HostId origin, ForwardedCommand command, RequestRouter.RouteListener listener, long nowMs, Effects out) {
        CallRequest call = (CallRequest) command.command();
        CallKey key = new CallKey(call.workload().team(), call.idempotencyKey().orElseThrow());
        ByteString digest = CallDigest.of(call);
        RunningCall found = running.get(key);
        Optional<CallGuard> guard = state.guard(key);
        if (found != null) {
            join(found, origin, command, digest, nowMs, out);
        } else if (guard.isPresent()) {
            answerFromGuard(key, guard.get(), origin, command, digest, nowMs, out);
        } else {
            begin(key, origin, command, digest, nowMs, out);
        }
    }

    void proposalApplied(long proposal, RequestRouter.RouteListener listener, long nowMs, Effects out) {
        RunningCall call = proposals.remove(proposal);
        if (call == null) {
            expiring = false;
            return;
        }
        switch (call.phase()) {
            case INTENDING -> intentApplied(call, listener, nowMs, out);
            case RECORDING -> recorded(call, nowMs, out);
            default -> lifted(call, listener, nowMs, out);
        }
    }

    void routeEnded(RunningCall call, RouteOutcome outcome, long nowMs, Effects out) {
        if (outcome instanceof RouteOutcome.Answered answered) {
            if (answered.outcome() instanceof AttemptOutcome.Succeeded succeeded) {
                answered(
                        call,
                        new ServiceResponse(succeeded.status(), succeeded.contentType(), succeeded.body()),
                        nowMs,
                        out);
            } else if (answered.outcome() instanceof AttemptOutcome.Failed failed) {
                failed(call, failed, nowMs, out);
            }
        } else if (outcome instanceof RouteOutcome.GivenUp givenUp) {
            refused(call, givenUp.refusal(), nowMs, out);
        }
    }

    void bodiesRead(long readNumber, Optional<ByteString> payload, long nowMs, Effects out) {
        replay.bodyRead(readNumber, payload, nowMs, out);
    }

    void bodiesUnavailable(long readNumber, long nowMs, Effects out) {
        replay.bodyUnavailable(readNumber, nowMs, out);
    }

    /** Gives answers that wait too long for the log, and refuses those for whom it is too late to run the call. */
    void check(long nowMs, Effects out) {
        for (RunningCall call : List.copyOf(running.values())) {
            switch (call.phase()) {
                case INTENDING -> {
                    call.refuseLate(CallRefusals.tooLate(), context.replies(), nowMs, out);
                    if (call.waiting() == 0) {
                        call.abandon();
                    }
                }
                case RECORDING -> {
                    long waitedMs = nowMs - call.phaseSinceMs();
                    if (waitedMs >= context.limits().recordPatienceMs()
                            || !context.writer().logAnswers(nowMs)) {
                        call.replyAnswer(context.replies(), nowMs, out);
                    }
                }
                case LIFTING -> call.refuseLate(CallRefusals.tooLate(), context.replies(), nowMs, out);
                default -> {
                    // The router keeps the deadline of a routed call.
                }
            }
        }
    }

    /** Proposes to drop the guards that are past their retention. */
    void expire(long nowMs, Effects out) {
        long beforeMs = nowMs - context.limits().guardRetentionMs();
        if (expiring || !context.writer().logAnswers(nowMs) || !state.hasIntendedBefore(beforeMs)) {
            return;
        }
        expiring = true;
        context.writer().propose(partition, CallRecords.expired(beforeMs), false, nowMs, out);
    }

    /** Ends this daemon's part but for calls that were routed, which go on to their ends. */
    void ownershipLost(long nowMs, Effects out) {
        lost = true;
        proposals.clear();
        List<RunningCall> calls = List.copyOf(running.values());
        running.clear();
        for (RunningCall call : calls) {
            switch (call.phase()) {
                case INTENDING -> call.declineAll(false, context.replies(), nowMs, out);
                case RECORDING -> call.replyAnswer(context.replies(), nowMs, out);
                case LIFTING -> call.declineAll(true, context.replies(), nowMs, out);
                default -> call.holdAll(context.replies(), out);
            }
        }
        replay.ownershipLost(nowMs, out);
    }

    CallPartitionState state() {
        return state;
    }

    int runningCount() {
        return running.size();
    }

    private void join(
            RunningCall call, HostId origin, ForwardedCommand command, ByteString digest, long nowMs, Effects out) {
        if (!call.digest().equals(digest)) {
            context.replies().answer(origin, command, CallRefusals.otherBody(), nowMs, out);
            return;
        }
        context.count("resends-joined");
        call.join(origin, command);
    }

    private void answerFromGuard(
            CallKey key,
            CallGuard guard,
            HostId origin,
            ForwardedCommand command,
            ByteString digest,
            long nowMs,
            Effects out) {
        if (!guard.digest().equals(digest)) {
            context.replies().answer(origin, command, CallRefusals.otherBody(), nowMs, out);
        } else if (guard.finished()) {
            context.count("answers-replayed");
            replay.begin(key, guard, origin, command, nowMs, out);
        } else {
            context.count("may-have-run");
            String reason = "the run " + guard.run() + " was intended and its answer never kept";
            out.explain(Subject.Kind.CALL, command.request(), nowMs, "refused as may have run", reason);
            context.replies().answer(origin, command, CallRefusals.ownerLost(key), nowMs, out);
        }
    }

    private void begin(
            CallKey key, HostId origin, ForwardedCommand command, ByteString digest, long nowMs, Effects out) {
        Optional<Refusal> refusal = refuseNew((CallRequest) command.command(), nowMs);
        if (refusal.isPresent()) {
            context.replies().answer(origin, command, refusal.get(), nowMs, out);
            return;
        }
        String run = command.request() + "@" + context.writer().epoch(partition).orElseThrow();
        RunningCall call = new RunningCall(key, digest, run, command, nowMs);
        call.join(origin, command);
        running.put(key, call);
        propose(call, CallRecords.intended(key, run, digest), nowMs, out);
    }

    private Optional<Refusal> refuseNew(CallRequest call, long nowMs) {
        if (nowMs >= call.deadlineAtMs()) {
            return Optional.of(CallRefusals.tooLate());
        }
        if (!context.writer().logAnswers(nowMs)) {
            context.count("refused-without-log");
            return Optional.of(CallRefusals.logSilent());
        }
        if (!context.writer().hasCapacity(partition, context.limits().maxKeptAnswerBytes())) {
            return Optional.of(CallRefusals.overloaded());
        }
        return Optional.empty();
    }

    private void intentApplied(RunningCall call, RequestRouter.RouteListener listener, long nowMs, Effects out) {
        if (!namesRun(call)) {
            running.remove(call.key());
            call.takeWaiters().forEach(waiter -> handle(waiter.origin(), waiter.command(), listener, nowMs, out));
            return;
        }
        if (call.abandoned()) {
            lift(call, nowMs, out);
            return;
        }
        call.enter(RunningCall.Phase.ROUTING, nowMs);
        context.count("calls-routed");
        out.explain(Subject.Kind.CALL, call.request(), nowMs, "routed", "its intent was read back as the first");
        context.routed().add(call, this);
        context.router().route(routedRequest(call, nowMs), listener, nowMs, out);
    }

    private boolean namesRun(RunningCall call) {
        return state.guard(call.key())
                .filter(guard -> guard.run().equals(call.run()))
                .isPresent();
    }

    private RoutedRequest routedRequest(RunningCall call, long nowMs) {
        CallRequest asked = call.call();
        long deadlineAtMs =
                Math.min(call.latestDeadlineAtMs(), nowMs + context.limits().maxCallMs());
        return new RoutedRequest(
                call.request(),
                asked.workload(),
                asked.service(),
                asked.urgency(),
                deadlineAtMs,
                false,
                false,
                List.of(),
                StableHash.of(call.digest().toByteArray()),
                new DispatchSource.Inline(asked.method(), asked.path(), asked.contentType(), asked.body()),
                RequestOptions.DEFAULTS);
    }

    private void answered(RunningCall call, ServiceResponse answer, long nowMs, Effects out) {
        context.count("calls-answered");
        String keeping = lost ? "not kept, as the partition was handed over" : "kept for resends";
        out.explain(Subject.Kind.CALL, call.request(), nowMs, "answered with status " + answer.status(), keeping);
        call.answered(answer, nowMs);
        if (lost) {
            call.replyAnswer(context.replies(), nowMs, out);
            return;
        }
        int maxBodyBytes = context.limits().maxKeptAnswerBytes();
        propose(call, CallRecords.finished(call.key(), call.run(), answer, maxBodyBytes), nowMs, out);
        if (!context.writer().logAnswers(nowMs)) {
            call.replyAnswer(context.replies(), nowMs, out);
        }
    }

    /** Passes on what the service itself said; what says nothing of the call's effect is refused. */
    private void failed(RunningCall call, AttemptOutcome.Failed failed, long nowMs, Effects out) {
        boolean notRun = failed.verdict() instanceof Verdict.NotRun;
        boolean saidByService = failed.status() > 0 && (failed.kind() == FailureKind.REJECTED || !notRun);
        if (saidByService) {
            answered(call, new ServiceResponse(failed.status(), UNKNOWN_CONTENT_TYPE, failed.body()), nowMs, out);
            return;
        }
        RefusalCode code = failed.kind() == FailureKind.OVERLOADED ? RefusalCode.OVERLOADED : RefusalCode.TARGET_FAILED;
        refused(call, new Refusal(failed.verdict(), code, failed.detail(), failed.retryAfterMs()), nowMs, out);
    }

    private void refused(RunningCall call, Refusal refusal, long nowMs, Effects out) {
        String message = refusal.message() + " (idempotency key " + call.key().key() + ")";
        Refusal named = new Refusal(refusal.verdict(), refusal.code(), message, refusal.retryAfterMs());
        call.replyAll(named, context.replies(), nowMs, out);
        String verdict = refusal.verdict().headerValue();
        out.explain(Subject.Kind.CALL, call.request(), nowMs, "ended without an answer, " + verdict, refusal.message());
        if (refusal.verdict() instanceof Verdict.NotRun) {
            context.count("calls-not-run");
            lift(call, nowMs, out);
        } else {
            context.count("may-have-run");
            running.remove(call.key(), call);
        }
    }

    private void lift(RunningCall call, long nowMs, Effects out) {
        if (!lost) {
            call.enter(RunningCall.Phase.LIFTING, nowMs);
            propose(call, CallRecords.notRun(call.key(), call.run()), nowMs, out);
        }
    }

    private void recorded(RunningCall call, long nowMs, Effects out) {
        running.remove(call.key());
        call.replyAnswer(context.replies(), nowMs, out);
    }

    private void lifted(RunningCall call, RequestRouter.RouteListener listener, long nowMs, Effects out) {
        running.remove(call.key());
        call.takeWaiters().forEach(waiter -> handle(waiter.origin(), waiter.command(), listener, nowMs, out));
    }

    private void propose(RunningCall call, DurableRecord record, long nowMs, Effects out) {
        proposals.put(context.writer().propose(partition, record, true, nowMs, out), call);
    }
}
