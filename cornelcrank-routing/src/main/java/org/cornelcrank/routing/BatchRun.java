package org.cornelcrank.routing;

import java.util.Optional;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * A batch permit that this daemon holds, with the work that runs under it.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class BatchRun {

    private final BatchPermit permit;
    private final AttemptId permitId;
    private final ServiceName service;
    private final TeamPath team;
    private final TargetState target;
    private final long grantedAtMs;
    private HostId controller;
    private BatchWork work;
    private AttemptId attempt;
    private Optional<ResumePoint> resume = Optional.empty();
    private Optional<HostId> relay = Optional.empty();
    private long dispatchedAtMs;
    private boolean revoked;
    private boolean suspect;

    BatchRun(
            BatchPermit permit,
            AttemptId permitId,
            BatchDemand demand,
            TargetState target,
            HostId controller,
            long nowMs) {
        this.permit = permit;
        this.permitId = permitId;
        this.service = demand.service();
        this.team = demand.team();
        this.target = target;
        this.controller = controller;
        this.grantedAtMs = nowMs;
    }

    BatchPermit permit() {
        return permit;
    }

    AttemptId permitId() {
        return permitId;
    }

    ServiceName service() {
        return service;
    }

    TargetState target() {
        return target;
    }

    HostId controller() {
        return controller;
    }

    void controlledBy(HostId newController) {
        controller = newController;
    }

    long grantedAtMs() {
        return grantedAtMs;
    }

    BatchWork work() {
        return work;
    }

    void assign(BatchWork newWork) {
        work = newWork;
        resume = newWork.resume();
    }

    AttemptId attempt() {
        return attempt;
    }

    void started(AttemptId newAttempt, Optional<HostId> newRelay, long nowMs) {
        attempt = newAttempt;
        relay = newRelay;
        dispatchedAtMs = nowMs;
    }

    long dispatchedAtMs() {
        return dispatchedAtMs;
    }

    /** Returns the daemon that relays the attempt, empty if this daemon is connected to the target itself. */
    Optional<HostId> relay() {
        return relay;
    }

    boolean dispatched() {
        return attempt != null;
    }

    Optional<ResumePoint> resume() {
        return resume;
    }

    /** Restarts the generation from its first token under the same key, as the target no longer has it. */
    void restartGeneration() {
        resume = resume.map(point -> new ResumePoint(point.key(), 0));
    }

    /** Returns the point at which the generation can resume after the failure, if the target has kept it. */
    Optional<ResumePoint> resumeAfter(AttemptOutcome.Failed failure) {
        return resume.filter(point -> point.fromToken() + failure.tokens() > 0)
                .map(point -> new ResumePoint(point.key(), point.fromToken() + failure.tokens()));
    }

    boolean revoked() {
        return revoked;
    }

    void revoke() {
        revoked = true;
    }

    boolean suspect() {
        return suspect;
    }

    void markSuspect() {
        suspect = true;
    }

    RoutingMessage.RunningPermit runningPermit(long nowMs) {
        return new RoutingMessage.RunningPermit(
                permitId,
                service,
                Urgency.BATCH,
                nowMs - grantedAtMs,
                suspect,
                Optional.of(new RoutingMessage.BatchOwner(permit.job(), team)));
    }
}
