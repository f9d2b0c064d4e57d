package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * A message about permits between daemons.
 *
 * <p>A permit carries the id of the only attempt that it allows, so that a late or reordered reply never applies to
 * another request. Messages carry durations instead of points in time, because clocks differ between hosts. Immutable,
 * thus thread-safe.
 */
sealed interface RoutingMessage extends PeerMessage {

    /**
     * Requests a permit from the target's controller. Idempotent for an attempt.
     *
     * <p>{@code startWithinMs} is the time within which the request must start to meet its latency objective: negative
     * if it no longer can, {@link #NO_OBJECTIVE} if it has none.
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

        /** Marks a request without a latency objective. */
        static final long NO_OBJECTIVE = Long.MAX_VALUE;

        /** Returns the latest start that meets the objective, in ms by the clock of {@code nowMs}. */
        long startByMs(long nowMs) {
            return startWithinMs == NO_OBJECTIVE ? NO_OBJECTIVE : nowMs + startWithinMs;
        }
    }

    record PermitGranted(AttemptId attempt, TargetId target, TargetOccupancy occupancy) implements RoutingMessage {}

    /** Confirms that the request waits in the queue; a grant or a refusal follows. */
    record PermitQueued(AttemptId attempt, TargetId target, TargetOccupancy occupancy) implements RoutingMessage {}

    /**
     * Refuses a permit; {@code controller} is the daemon that may grant it if the reason is
     * {@link Reason#NOT_CONTROLLER}.
     */
    record PermitRefused(
            AttemptId attempt, TargetId target, Reason reason, long retryAfterMs, Optional<HostId> controller)
            implements RoutingMessage {}

    /** The reason why a permit is refused. */
    enum Reason {
        /** The request cannot complete before its deadline, or the queue is full. */
        OVERLOADED,
        /** The target is leaving or gone. */
        UNAVAILABLE,
        /** Another suspect runs on the target. */
        SUSPECT_RUNNING,
        /** The receiver of the request is not the target's controller. */
        NOT_CONTROLLER
    }

    /**
     * Releases a permit, or withdraws the request for one.
     *
     * <p>{@code runnable} is the number of items that the permit's job could start now, zero for online requests.
     */
    record PermitReleased(AttemptId attempt, TargetId target, Use use, int runnable) implements RoutingMessage {}

    /** The use that was made of a permit. */
    enum Use {
        UNUSED,
        COMPLETED,
        FAILED,
        OVERLOADED,
        CANCELLED
    }

    /** Revokes a batch permit. */
    record PermitRevoked(AttemptId attempt, TargetId target) implements RoutingMessage {}

    /**
     * Advertises the number of items that a job could start now to one of {@code controllers} controllers; replaces its
     * earlier demand.
     */
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

    /** Advertises all permits of the sender on the target except those that wait. */
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

    /** States the version of the software of the target that a stream's next events come from. */
    record StreamBegun(long key, SoftwareVersion version, long lifetimeMs) implements RoutingMessage {}

    /**
     * Requests the version that began a stream of a service.
     *
     * <p>{@code confirm} requests a read of the directory, as the sender itself cannot read it.
     */
    record StreamVersionRequested(long key, ServiceName service, boolean confirm) implements RoutingMessage {}

    /**
     * States the version that began a stream, empty if the sender has no record of it.
     *
     * <p>{@code mixed} indicates that the sender has listed several versions of the service within the lifetime of a
     * stream. {@code confirmed} indicates that a read of the directory which began after the request has found that it has
     * listed only {@code sole}; {@code confirmRequested} that the request asked for one. Earlier releases state {@code sole} without that, and take it for a proof.
     */
    record StreamVersionReply(
            long key,
            Optional<SoftwareVersion> version,
            Optional<SoftwareVersion> sole,
            boolean mixed,
            boolean confirmRequested,
            boolean confirmed)
            implements RoutingMessage {}

    /** Requests that the receiver checks whether it can connect to a target; {@code number} identifies the request. */
    record ReachabilityRequested(long number, TargetId target) implements RoutingMessage {}

    /** States whether the sender can connect to a target. */
    record ReachabilityReply(long number, TargetId target, Reachability reachability) implements RoutingMessage {}

    /** Whether a daemon can connect to a target. */
    enum Reachability {
        /** The daemon cannot tell a target that is down from a network failure of its own. */
        UNSURE,
        REACHABLE,
        UNREACHABLE
    }

    /** The job and team that hold a batch permit. */
    record BatchOwner(JobId job, TeamPath team) {}
}
