package org.cornelcrank.routing;

import java.util.Comparator;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.Urgency;

/**
 * A request that waits for a permit.
 *
 * <p>{@code startByMs} is the latest start that meets the latency objective, {@link #NO_OBJECTIVE} if there is none.
 * Waiters are ordered by urgency; among equals, those that can still meet their objective come first, so that a request
 * that is already late delays no other; then by latest start, and by deadline. Immutable, thus thread-safe.
 */
record PermitWaiter(
        AttemptId attempt,
        HostId holder,
        ServiceName service,
        Urgency urgency,
        long requestedAtMs,
        long deadlineAtMs,
        long startByMs,
        boolean late,
        boolean suspect)
        implements Comparable<PermitWaiter> {

    /** Marks a request without a latency objective, which is never late before its deadline. */
    static final long NO_OBJECTIVE = RoutingMessage.PermitRequested.NO_OBJECTIVE;

    private static final Comparator<PermitWaiter> ORDER = Comparator.comparing(PermitWaiter::urgency)
            .thenComparing(PermitWaiter::late)
            .thenComparingLong(waiter -> waiter.late ? NO_OBJECTIVE : waiter.startByMs)
            .thenComparingLong(PermitWaiter::deadlineAtMs)
            .thenComparing(waiter -> waiter.attempt().host())
            .thenComparingLong(waiter -> waiter.attempt().incarnation())
            .thenComparingLong(waiter -> waiter.attempt().number());

    /** Returns whether the request can no longer meet its objective and has not been marked as late yet. */
    boolean becameLate(long nowMs) {
        return !late && nowMs > startByMs;
    }

    PermitWaiter asLate() {
        return new PermitWaiter(
                attempt, holder, service, urgency, requestedAtMs, deadlineAtMs, startByMs, true, suspect);
    }

    @Override
    public int compareTo(PermitWaiter other) {
        return ORDER.compare(this, other);
    }
}
