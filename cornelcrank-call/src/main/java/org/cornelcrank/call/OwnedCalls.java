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
 * Runs and replays the calls of one partition while this daemon owns it.
 *
 * <p>Invariants: a call is routed once, and only after its intent record was read back as the first one for its key; a
 * repeated request joins the running call or gets the outcome that the log holds. A call that was routed is completed
 * here even if another daemon becomes the partition's owner; that daemon does not run calls that were intended here.
 * Not thread-safe: confined to the daemon's event loop.
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

    /** Adopts the running calls that this daemon routed during an earlier ownership of the partition. */
    void adoptRouted() {
        for (RoutedCalls.Routed routed : context.routed().all()) {
            RunningCall call = routed.call();
            if (holdsGuard(call)) {
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
            replyFromGuard(key, guard.get(), origin, command, digest, nowMs, out);
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
            case WRITING_INTENT -> intentApplied(call, listener, nowMs, out);
            case WRITING_RESPONSE -> recorded(call, nowMs, out);
            default -> guardRemoved(call, listener, nowMs, out);
        }
    }

    void routeEnded(RunningCall call, RouteOutcome outcome, long nowMs, Effects out) {
        if (outcome instanceof RouteOutcome.TargetResponded responded) {
            if (responded.outcome() instanceof AttemptOutcome.Succeeded succeeded) {
                responseReceived(
                        call,
                        new ServiceResponse(succeeded.status(), succeeded.contentType(), succeeded.body()),
                        nowMs,
                        out);
            } else if (responded.outcome() instanceof AttemptOutcome.Failed failed) {
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

    /** Sends responses that have waited too long for the log, and refuses requests whose deadlines have passed. */
    void check(long nowMs, Effects out) {
        for (RunningCall call : List.copyOf(running.values())) {
            switch (call.phase()) {
                case WRITING_INTENT -> {
                    call.refuseLate(CallRefusals.deadlineExceeded(), context.replies(), nowMs, out);
                    if (call.waiterCount() == 0) {
                        call.abandon();
                    }
                }
                case WRITING_RESPONSE -> {
                    long waitedMs = nowMs - call.phaseSinceMs();
                    if (waitedMs >= context.limits().recordPatienceMs()
                            || !context.writer().logAvailable(nowMs)) {
                        call.replyResponse(context.replies(), nowMs, out);
                    }
                }
                case REMOVING_GUARD -> call.refuseLate(CallRefusals.deadlineExceeded(), context.replies(), nowMs, out);
                default -> {
                    // The router enforces the deadline of a routed call.
                }
            }
        }
    }

    /** Proposes to remove the guards that are past their retention. */
    void expire(long nowMs, Effects out) {
        long beforeMs = nowMs - context.limits().guardRetentionMs();
        if (expiring || !context.writer().logAvailable(nowMs) || !state.hasIntendedBefore(beforeMs)) {
            return;
        }
        expiring = true;
        context.writer().propose(partition, CallRecords.expired(beforeMs), false, nowMs, out);
    }

    /** Stops all work except calls that were already routed, which are completed. */
    void ownershipLost(long nowMs, Effects out) {
        lost = true;
        proposals.clear();
        List<RunningCall> calls = List.copyOf(running.values());
        running.clear();
        for (RunningCall call : calls) {
            switch (call.phase()) {
                case WRITING_INTENT -> call.declineAll(false, context.replies(), nowMs, out);
                case WRITING_RESPONSE -> call.replyResponse(context.replies(), nowMs, out);
                case REMOVING_GUARD -> call.declineAll(true, context.replies(), nowMs, out);
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
            context.replies().reply(origin, command, CallRefusals.keyReused(), nowMs, out);
            return;
        }
        context.count("resends-joined");
        call.join(origin, command);
    }

    private void replyFromGuard(
            CallKey key,
            CallGuard guard,
            HostId origin,
            ForwardedCommand command,
            ByteString digest,
            long nowMs,
            Effects out) {
        if (!guard.digest().equals(digest)) {
            context.replies().reply(origin, command, CallRefusals.keyReused(), nowMs, out);
        } else if (guard.finished()) {
            context.count("answers-replayed");
            replay.begin(key, guard, origin, command, nowMs, out);
        } else {
            context.count("may-have-run");
            String reason = "run " + guard.run() + " was intended but its response was never stored";
            out.explain(Subject.Kind.CALL, command.request(), nowMs, "refused because it may have run", reason);
            context.replies().reply(origin, command, CallRefusals.ownerLost(key), nowMs, out);
        }
    }

    private void begin(
            CallKey key, HostId origin, ForwardedCommand command, ByteString digest, long nowMs, Effects out) {
        Optional<Refusal> refusal = checkNewCall((CallRequest) command.command(), nowMs);
        if (refusal.isPresent()) {
            context.replies().reply(origin, command, refusal.get(), nowMs, out);
            return;
        }
        String run = command.request() + "@" + context.writer().epoch(partition).orElseThrow();
        RunningCall call = new RunningCall(key, digest, run, command, nowMs);
        call.join(origin, command);
        running.put(key, call);
        propose(call, CallRecords.intended(key, run, digest), nowMs, out);
    }

    private Optional<Refusal> checkNewCall(CallRequest call, long nowMs) {
        if (nowMs >= call.deadlineAtMs()) {
            return Optional.of(CallRefusals.deadlineExceeded());
        }
        if (!context.writer().logAvailable(nowMs)) {
            context.count("refused-without-log");
            return Optional.of(CallRefusals.logUnavailable());
        }
        if (!context.writer().hasCapacity(partition, context.limits().maxKeptAnswerBytes())) {
            return Optional.of(CallRefusals.overloaded());
        }
        return Optional.empty();
    }

    private void intentApplied(RunningCall call, RequestRouter.RouteListener listener, long nowMs, Effects out) {
        if (!holdsGuard(call)) {
            running.remove(call.key());
            call.removeWaiters().forEach(waiter -> handle(waiter.origin(), waiter.command(), listener, nowMs, out));
            return;
        }
        if (call.abandoned()) {
            proposeGuardRemoval(call, nowMs, out);
            return;
        }
        call.enter(RunningCall.Phase.ROUTING, nowMs);
        context.count("calls-routed");
        out.explain(
                Subject.Kind.CALL,
                call.request(),
                nowMs,
                "routed",
                "its intent was read back as the first one for its key");
        context.routed().add(call, this);
        context.router().route(routedRequest(call, nowMs), listener, nowMs, out);
    }

    private boolean holdsGuard(RunningCall call) {
        return state.guard(call.key())
                .filter(guard -> guard.run().equals(call.run()))
                .isPresent();
    }

    private RoutedRequest routedRequest(RunningCall call, long nowMs) {
        CallRequest original = call.call();
        long deadlineAtMs =
                Math.min(call.latestDeadlineAtMs(), nowMs + context.limits().maxCallMs());
        return new RoutedRequest(
                call.request(),
                original.workload(),
                original.service(),
                original.urgency(),
                deadlineAtMs,
                false,
                false,
                List.of(),
                List.of(),
                StableHash.of(call.digest().toByteArray()),
                new DispatchSource.Inline(original.method(), original.path(), original.contentType(), original.body()),
                RequestOptions.DEFAULTS);
    }

    private void responseReceived(RunningCall call, ServiceResponse response, long nowMs, Effects out) {
        context.count("calls-answered");
        String storageText = lost ? "not stored, as the partition was handed over" : "stored for repeated requests";
        out.explain(
                Subject.Kind.CALL, call.request(), nowMs, "responded with status " + response.status(), storageText);
        call.responseReceived(response, nowMs);
        if (lost) {
            call.replyResponse(context.replies(), nowMs, out);
            return;
        }
        int maxBodyBytes = context.limits().maxKeptAnswerBytes();
        propose(call, CallRecords.finished(call.key(), call.run(), response, maxBodyBytes), nowMs, out);
        if (!context.writer().logAvailable(nowMs)) {
            call.replyResponse(context.replies(), nowMs, out);
        }
    }

    /** Forwards an error response of the service; refuses other failures, which do not show whether the call ran. */
    private void failed(RunningCall call, AttemptOutcome.Failed failed, long nowMs, Effects out) {
        boolean notRun = failed.verdict() instanceof Verdict.NotRun;
        boolean sentByService = failed.status() > 0 && (failed.kind() == FailureKind.REJECTED || !notRun);
        if (sentByService) {
            responseReceived(
                    call, new ServiceResponse(failed.status(), UNKNOWN_CONTENT_TYPE, failed.body()), nowMs, out);
            return;
        }
        RefusalCode code = failed.kind() == FailureKind.OVERLOADED ? RefusalCode.OVERLOADED : RefusalCode.TARGET_FAILED;
        refused(call, new Refusal(failed.verdict(), code, failed.detail(), failed.retryAfterMs()), nowMs, out);
    }

    private void refused(RunningCall call, Refusal refusal, long nowMs, Effects out) {
        String message = refusal.message() + " (idempotency key " + call.key().key() + ")";
        Refusal refusalWithKey = new Refusal(refusal.verdict(), refusal.code(), message, refusal.retryAfterMs());
        call.replyAll(refusalWithKey, context.replies(), nowMs, out);
        String verdict = refusal.verdict().headerValue();
        out.explain(
                Subject.Kind.CALL, call.request(), nowMs, "ended without a response, " + verdict, refusal.message());
        if (refusal.verdict() instanceof Verdict.NotRun) {
            context.count("calls-not-run");
            proposeGuardRemoval(call, nowMs, out);
        } else {
            context.count("may-have-run");
            running.remove(call.key(), call);
        }
    }

    private void proposeGuardRemoval(RunningCall call, long nowMs, Effects out) {
        if (!lost) {
            call.enter(RunningCall.Phase.REMOVING_GUARD, nowMs);
            propose(call, CallRecords.notRun(call.key(), call.run()), nowMs, out);
        }
    }

    private void recorded(RunningCall call, long nowMs, Effects out) {
        running.remove(call.key());
        call.replyResponse(context.replies(), nowMs, out);
    }

    private void guardRemoved(RunningCall call, RequestRouter.RouteListener listener, long nowMs, Effects out) {
        running.remove(call.key());
        call.removeWaiters().forEach(waiter -> handle(waiter.origin(), waiter.command(), listener, nowMs, out));
    }

    private void propose(RunningCall call, DurableRecord record, long nowMs, Effects out) {
        proposals.put(context.writer().propose(partition, record, true, nowMs, out), call);
    }
}
