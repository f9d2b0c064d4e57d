package org.cornelcrank.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.core.Verdict;

/**
 * Holds the batch permits of this daemon's jobs, runs their work, and cancels it as soon as a permit is revoked.
 *
 * <p>Invariant: each permit ends exactly once, used or not. Not thread-safe: confined to the daemon's event loop.
 */
final class BatchRunner implements BatchCapacity {

    private static final long UNUSED_PERMIT_TIMEOUT_MS = 2_000;
    private static final int HTTP_GONE = 410;

    private final RoutingContext context;
    private final BatchDemandAdvertiser advertiser;
    private final Map<Long, BatchRun> runs = new TreeMap<>();
    private final Map<AttemptId, BatchRun> byPermitId = new LinkedHashMap<>();
    private final Map<AttemptId, BatchRun> byAttempt = new LinkedHashMap<>();
    private BatchCapacityListener listener;
    private long lastNumber;

    BatchRunner(RoutingContext context, BatchDemandAdvertiser advertiser) {
        this.context = context;
        this.advertiser = advertiser;
    }

    @Override
    public void subscribe(BatchCapacityListener newListener) {
        if (listener != null) {
            throw new IllegalStateException("batch capacity takes only one listener, which is already set");
        }
        listener = newListener;
    }

    @Override
    public void setDemand(BatchDemand demand, long nowMs, Effects out) {
        advertiser.setDemand(demand, nowMs, out);
    }

    /**
     * Handles a grant. One that its controller has sent before it learned of another service of the job is released. One
     * for a target that leaves is kept unused until it times out: its controller does not know yet that the target leaves,
     * and would grant the same slot again at once.
     */
    void granted(HostId from, RoutingMessage.BatchGranted granted, long nowMs, Effects out) {
        if (byPermitId.containsKey(granted.attempt())) {
            return;
        }
        Optional<TargetState> target = context.directory().find(granted.target());
        Optional<BatchDemand> demand = advertiser.demand(granted.job());
        boolean leaving = target.filter(state -> context.directory().leaving(state, nowMs))
                .isPresent();
        if (listener == null
                || target.isEmpty()
                || demand.isEmpty()
                || !target.get().offers(demand.get().service())
                || !context.paths().usable(target.get(), nowMs)
                || !leaving && !advertiser.acceptGrant(granted.job())) {
            release(from, granted.attempt(), granted.target(), RoutingMessage.Use.UNUSED, 0, out);
            return;
        }
        BatchPermit permit = new BatchPermit(
                ++lastNumber,
                granted.job(),
                granted.target(),
                demand.get().service(),
                target.get().softwareVersion());
        BatchRun run = new BatchRun(permit, granted.attempt(), demand.get(), target.get(), from, nowMs);
        runs.put(permit.number(), run);
        byPermitId.put(granted.attempt(), run);
        if (!leaving) {
            listener.permitGranted(permit, nowMs, out);
        }
    }

    @Override
    public void run(BatchPermit permit, BatchWork work, long nowMs, Effects out) {
        BatchRun run = runs.get(permit.number());
        if (run == null || run.work() != null) {
            endUnstarted(permit, work, nowMs, out);
            return;
        }
        run.assign(work);
        if (quarantined(work, nowMs)) {
            end(run, quarantined(), RoutingMessage.Use.UNUSED, nowMs, out);
        } else if (run.revoked()
                || context.directory().leaving(run.target(), nowMs)
                || !context.paths().usable(run.target(), nowMs)) {
            run.revoke();
            end(run, notStarted(), RoutingMessage.Use.UNUSED, nowMs, out);
        } else if (suspected(work, nowMs)) {
            run.markSuspect();
            RoutingMessage.PermitRequested request = new RoutingMessage.PermitRequested(
                    run.permitId(),
                    permit.target(),
                    run.service(),
                    Urgency.BATCH,
                    work.timeoutMs(),
                    RoutingMessage.PermitRequested.NO_OBJECTIVE,
                    true);
            context.peers().send(run.controller(), request, out);
        } else {
            dispatch(run, run.permitId(), nowMs, out);
        }
    }

    private boolean quarantined(BatchWork work, long nowMs) {
        return work.fingerprint().isPresent()
                && context.suspects().quarantined(work.fingerprint().getAsLong(), nowMs);
    }

    private boolean suspected(BatchWork work, long nowMs) {
        return work.fingerprint().isPresent()
                && context.suspects().suspected(work.fingerprint().getAsLong(), nowMs);
    }

    /** Ends work whose permit is gone as if it had been preempted before it started. */
    private void endUnstarted(BatchPermit permit, BatchWork work, long nowMs, Effects out) {
        listener.workEnded(permit, work, notStarted(), true, work.resume(), nowMs, out);
    }

    private static AttemptOutcome.Failed notStarted() {
        return notRun(FailureKind.CANCELLED, 0, "the permit was revoked");
    }

    /**
     * Reports an overload rather than a cancellation: a cancelled item would be retried at once, and refused at once,
     * for as long as the other suspect runs.
     */
    private static AttemptOutcome.Failed suspectMustWait() {
        return notRun(FailureKind.OVERLOADED, 0, "another request suspected of crashing targets is running there");
    }

    private static AttemptOutcome.Failed quarantined() {
        return notRun(
                FailureKind.REJECTED, RefusalCode.QUARANTINED.httpStatus(), "the request has crashed targets before");
    }

    private static AttemptOutcome.Failed notRun(FailureKind kind, int status, String detail) {
        return new AttemptOutcome.Failed(Verdict.NOT_RUN, kind, status, 0, false, 0, ByteString.EMPTY, detail);
    }

    private void dispatch(BatchRun run, AttemptId attempt, long nowMs, Effects out) {
        run.started(attempt, context.paths().relayFor(run.target(), nowMs), nowMs);
        byAttempt.put(attempt, run);
        out.add(new Effect.Dispatch(
                attempt,
                run.target().id(),
                run.target().address(),
                run.relay(),
                run.work().source(),
                run.resume(),
                run.work().timeoutMs()));
    }

    /** Handles the controller's permission to run a suspect; returns whether the permit belongs to this runner. */
    boolean suspectAllowed(AttemptId permitId, long nowMs, Effects out) {
        BatchRun run = byPermitId.get(permitId);
        if (run != null && run.suspect() && !run.dispatched()) {
            if (context.directory().leaving(run.target(), nowMs)) {
                run.revoke();
                end(run, notStarted(), RoutingMessage.Use.UNUSED, nowMs, out);
            } else {
                dispatch(run, permitId, nowMs, out);
            }
        }
        return run != null;
    }

    /** Handles the controller's refusal to run a suspect now; returns whether the permit belongs to this runner. */
    boolean suspectRefused(AttemptId permitId, long nowMs, Effects out) {
        BatchRun run = byPermitId.get(permitId);
        if (run != null && run.work() != null && !run.dispatched()) {
            end(run, suspectMustWait(), RoutingMessage.Use.UNUSED, nowMs, out);
        }
        return run != null;
    }

    void revoked(RoutingMessage.PermitRevoked revoked, long nowMs, Effects out) {
        BatchRun run = byPermitId.get(revoked.attempt());
        if (run == null || run.revoked()) {
            return;
        }
        run.revoke();
        context.count("batch-preempted");
        if (run.dispatched()) {
            out.add(new Effect.CancelAttempt(run.attempt()));
        } else if (run.work() != null) {
            end(run, notStarted(), RoutingMessage.Use.UNUSED, nowMs, out);
        }
    }

    @Override
    public void releaseUnused(BatchPermit permit, long nowMs, Effects out) {
        BatchRun run = runs.get(permit.number());
        if (run != null && run.work() == null) {
            remove(run);
            release(run, RoutingMessage.Use.UNUSED, out);
        }
    }

    @Override
    public void cancel(BatchPermit permit, long nowMs, Effects out) {
        BatchRun run = runs.get(permit.number());
        if (run == null) {
            return;
        }
        if (run.dispatched()) {
            out.add(new Effect.CancelAttempt(run.attempt()));
        } else if (run.work() != null) {
            end(run, notStarted(), RoutingMessage.Use.UNUSED, nowMs, out);
        } else {
            releaseUnused(permit, nowMs, out);
        }
    }

    void attemptStarted(AttemptId attempt, long nowMs) {
        BatchRun run = byAttempt.get(attempt);
        if (run != null) {
            recordContact(run, nowMs);
        }
    }

    private void recordContact(BatchRun run, long nowMs) {
        if (run.relay().isEmpty()) {
            context.paths().contact(run.target(), nowMs);
        }
        run.target().health().responded();
    }

    void attemptSilent(AttemptId attempt, long nowMs, Effects out) {
        BatchRun run = byAttempt.get(attempt);
        if (run != null) {
            context.paths().attemptSilent(attempt, run.target(), run.relay(), nowMs, out);
        }
    }

    /** Handles the end of an attempt; returns whether the attempt belongs to this runner. */
    boolean attemptEnded(AttemptId attempt, AttemptOutcome outcome, long nowMs, Effects out) {
        BatchRun run = byAttempt.remove(attempt);
        if (run == null) {
            return false;
        }
        context.paths().attemptEnded(attempt);
        if (outcome instanceof AttemptOutcome.Failed failure) {
            boolean generationGone = failure.status() == HTTP_GONE
                    && run.resume().filter(point -> point.fromToken() > 0).isPresent();
            if (generationGone && !run.revoked()) {
                run.restartGeneration();
                dispatch(run, context.attempts().next(), nowMs, out);
                return true;
            }
            SuspectRun suspectRun = new SuspectRun(run.work().fingerprint(), run.service(), List.of(), run.suspect());
            TargetFailures.FailedAttempt failed = new TargetFailures.FailedAttempt(
                    run.target(), run.relay(), run.dispatchedAtMs(), failure, suspectRun);
            TargetFailures.apply(context, failed, nowMs, out);
        } else {
            run.target().health().attemptSucceeded();
            recordContact(run, nowMs);
            if (suspected(run.work(), nowMs)) {
                context.suspects().clear(run.work().fingerprint().getAsLong(), nowMs, out);
            }
        }
        end(run, outcome, FailureMapping.permitUse(outcome), nowMs, out);
        return true;
    }

    private void end(BatchRun run, AttemptOutcome outcome, RoutingMessage.Use use, long nowMs, Effects out) {
        remove(run);
        boolean preempted = run.revoked()
                && outcome instanceof AttemptOutcome.Failed failed
                && failed.kind() == FailureKind.CANCELLED;
        Optional<ResumePoint> resume = run.dispatched() ? Optional.empty() : run.resume();
        if (run.dispatched() && outcome instanceof AttemptOutcome.Failed failed) {
            resume = run.resumeAfter(failed);
            countPreempted(run, failed, preempted, resume, nowMs, out);
        }
        listener.workEnded(run.permit(), run.work(), outcome, preempted, resume, nowMs, out);
        release(run, use, out);
    }

    private void countPreempted(
            BatchRun run,
            AttemptOutcome.Failed failed,
            boolean preempted,
            Optional<ResumePoint> resume,
            long nowMs,
            Effects out) {
        if (!preempted) {
            return;
        }
        context.count("batch-tokens-preempted", failed.tokens());
        out.explain(
                Subject.Kind.ITEM,
                run.work().itemId(),
                nowMs,
                "preempted on " + run.target().id() + " after " + failed.tokens() + " tokens",
                resume.isPresent() ? "the target keeps the generation" : "the generated tokens are lost");
    }

    private void remove(BatchRun run) {
        runs.remove(run.permit().number());
        byPermitId.remove(run.permitId());
        if (run.dispatched()) {
            byAttempt.remove(run.attempt());
        }
    }

    private void release(BatchRun run, RoutingMessage.Use use, Effects out) {
        int runnable = advertiser.runnable(run.permit().job());
        release(run.controller(), run.permitId(), run.target().id(), use, runnable, out);
    }

    private void release(
            HostId controller, AttemptId permitId, TargetId target, RoutingMessage.Use use, int runnable, Effects out) {
        context.peers().send(controller, new RoutingMessage.PermitReleased(permitId, target, use, runnable), out);
    }

    /**
     * Releases permits that the jobs have not used in time, and advertises demand again if {@code readvertise} is set.
     */
    void refresh(boolean readvertise, long nowMs, Effects out) {
        for (BatchRun run : List.copyOf(runs.values())) {
            if (run.work() == null && nowMs - run.grantedAtMs() > UNUSED_PERMIT_TIMEOUT_MS) {
                releaseUnused(run.permit(), nowMs, out);
            }
        }
        if (readvertise) {
            advertiser.refresh(nowMs, out);
        }
    }

    /** Sends later releases to the new controllers after a change of the membership. */
    void controllersChanged() {
        for (BatchRun run : runs.values()) {
            context.controllers().controllerOf(run.target()).ifPresent(run::controlledBy);
        }
    }

    Collection<BatchRun> running() {
        return runs.values();
    }

    List<BatchDemand> demands() {
        return advertiser.demands();
    }
}
