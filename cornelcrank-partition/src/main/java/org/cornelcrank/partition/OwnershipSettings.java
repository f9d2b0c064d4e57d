package org.cornelcrank.partition;

/**
 * Settings for claiming partitions and handing them over.
 *
 * <p>{@code settleMs} is how long a daemon observes the membership before it claims partitions, after its start and
 * after its process was paused. {@code rebalanceAfterMs} is how long rendezvous hashing must have assigned a partition
 * to another member before the owner hands it over. {@code cutOffAfterMs} is how long the log must not have responded
 * to an owner before the owner asks another daemon to claim its partitions. {@code foreignClaimAfterMs} is how long a
 * home region must have had no member before members of other regions claim its partitions; zero means never.
 * Immutable, thus thread-safe.
 */
public record OwnershipSettings(
        long tickMs,
        long settleMs,
        long rebalanceAfterMs,
        long handOverTimeoutMs,
        long cutOffAfterMs,
        long hintRenewalMs,
        long foreignClaimAfterMs) {

    public OwnershipSettings {
        Settings.requireWithin("tickMs", tickMs, 10, 60_000);
        Settings.requireWithin("settleMs", settleMs, 0, 600_000);
        Settings.requireWithin("rebalanceAfterMs", rebalanceAfterMs, 1, Long.MAX_VALUE);
        Settings.requireWithin("handOverTimeoutMs", handOverTimeoutMs, 1, 600_000);
        Settings.requireWithin("cutOffAfterMs", cutOffAfterMs, 1, Long.MAX_VALUE);
        Settings.requireWithin("hintRenewalMs", hintRenewalMs, 1, Long.MAX_VALUE);
        Settings.requireWithin("foreignClaimAfterMs", foreignClaimAfterMs, 0, Long.MAX_VALUE);
    }

    public static OwnershipSettings defaults() {
        return new OwnershipSettings(1_000, 3_000, 60_000, 2_000, 10_000, 20_000, 0);
    }
}
