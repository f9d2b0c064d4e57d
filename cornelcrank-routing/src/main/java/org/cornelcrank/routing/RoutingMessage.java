package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * What daemons tell each other about permits.
 *
 * <p>A permit carries the id of the one attempt that it allows, so that a late or crossed answer never reaches another
 * request. Durations stand in place of times, because clocks differ between hosts. Immutable, thus thread-safe.
 */
sealed interface RoutingMessage extends PeerMessage {

    /**
     * Asks the target's controller for a permit; repeating it changes nothing.
     *
     * <p>{@code startWithinMs} is the time within which the request must begin to meet its latency objective, below zero
     * if it no longer can, {@link #NO_OBJECTIVE} where it has none.
     */
    record PermitRequested(
            AttemptId attempt,
            TargetId target,
            ServiceName service,
            Urgency urgency,
            long remainingMs,
            long startWithinMs,
            boolean suspect)
            implements RoutingMessage {

        /** Stands for a request without a latency objective. */
        static final long NO_OBJECTIVE = Long.MAX_VALUE;

        /** Returns by when the request must begin, in ms by the clock of {@code nowMs}. */
        long startByMs(long nowMs) {
            return startWithinMs == NO_OBJECTIVE ? NO_OBJECTIVE : nowMs + startWithinMs;
        }
    }

    /** Grants a permit. */
    record PermitGranted(AttemptId attempt, TargetId target, TargetOccupancy occupancy) implements RoutingMessage {}

    /** Says that the request waits; a grant or a refusal follows. */
    record PermitQueued(AttemptId attempt, TargetId target, TargetOccupancy occupancy) implements RoutingMessage {}

    /** Refuses a permit; {@code controller} names who may grant it for {@link Reason#NOT_CONTROLLER}. */
    record PermitRefused(
            AttemptId attempt, TargetId target, Reason reason, long retryAfterMs, Optional<HostId> controller)
            implements RoutingMessage {}

    /** Says why a permit is refused. */
    enum Reason {
        /** The request cannot be answered before its deadline, or the queue is full. */
        OVERLOADED,
        /** The target leaves or is gone. */
        UNAVAILABLE,
        /** Another suspect runs on the target. */
        SUSPECT_RUNNING,
        /** The asked daemon is not the target's controller. */
        NOT_CONTROLLER
    }

    /**
     * Gives a permit back, or withdraws what waits for one.
     *
     * <p>{@code wanted} is what the permit's job could start now, zero for online requests.
     */
    record PermitReleased(AttemptId attempt, TargetId target, Use use, int runnable) implements RoutingMessage {}

    /** Says what became of a permit. */
    enum Use {
        UNUSED,
        COMPLETED,
        FAILED,
        OVERLOADED,
        CANCELLED
    }

    /** Takes a batch permit back. */
    record PermitRevoked(AttemptId attempt, TargetId target) implements RoutingMessage {}

    /** States what a job could start now, to one of so many controllers; replaces what was stated before. */
    record BatchDemandAdvertised(
            JobId job,
            TeamPath team,
            ServiceName service,
            long dueInMs,
            int share,
            int runnable,
            long remaining,
            int controllers)
            implements RoutingMessage {}

    /** Grants a permit to a job with standing demand. */
    record BatchGranted(AttemptId attempt, TargetId target, JobId job) implements RoutingMessage {}

    /** Names all permits of the sender on the target, those that wait excepted. */
    record RunningPermits(TargetId target, List<RunningPermit> permits) implements RoutingMessage {

        public RunningPermits {
            permits = List.copyOf(permits);
        }
    }

    /** One permit that is in use. */
    record RunningPermit(
            AttemptId attempt,
            ServiceName service,
            Urgency urgency,
            long ageMs,
            boolean suspect,
            Optional<BatchOwner> owner) {}

    /** The job and team of a batch permit. */
    record BatchOwner(JobId job, TeamPath team) {}
}
