package org.cornelcrank.routing;

import java.util.Comparator;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.Urgency;

/**
 * A request that waits for a permit.
 *
 * <p>Ordered by urgency, then deadline. Immutable, thus thread-safe.
 */
record PermitWaiter(
        AttemptId attempt,
        HostId holder,
        ServiceName service,
        Urgency urgency,
        long askedAtMs,
        long deadlineAtMs,
        boolean suspect)
        implements Comparable<PermitWaiter> {

    private static final Comparator<PermitWaiter> ORDER = Comparator.comparing(PermitWaiter::urgency)
            .thenComparingLong(PermitWaiter::deadlineAtMs)
            .thenComparing(waiter -> waiter.attempt().host())
            .thenComparingLong(waiter -> waiter.attempt().incarnation())
            .thenComparingLong(waiter -> waiter.attempt().number());

    @Override
    public int compareTo(PermitWaiter other) {
        return ORDER.compare(this, other);
    }
}
