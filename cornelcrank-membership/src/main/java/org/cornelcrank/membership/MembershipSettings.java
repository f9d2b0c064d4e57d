package org.cornelcrank.membership;

/**
 * Intervals, timeouts and limits of the membership protocol.
 *
 * <p>Invariant: all values are positive, and a direct plus an indirect probe fit into one probe interval. Immutable,
 * thus thread-safe.
 */
public record MembershipSettings(
        long probeIntervalMs,
        long directTimeoutMs,
        long indirectTimeoutMs,
        int indirectProbes,
        long suspicionTimeoutMs,
        long gossipDelayMs,
        long gossipIntervalMs,
        int gossipFanout,
        int lastingBytesPerSecond,
        int shortLivedBytesPerSecond,
        long syncIntervalMs,
        long joinRetryMs,
        int relaysPerDataCentre,
        long relayIntervalMs,
        long unreachableAfterMs,
        long deadRetentionMs,
        int maxDeadMembers,
        int maxFacts) {

    public MembershipSettings {
        requirePositive("probeIntervalMs", probeIntervalMs);
        requirePositive("directTimeoutMs", directTimeoutMs);
        requirePositive("indirectTimeoutMs", indirectTimeoutMs);
        requirePositive("indirectProbes", indirectProbes);
        requirePositive("suspicionTimeoutMs", suspicionTimeoutMs);
        requirePositive("gossipDelayMs", gossipDelayMs);
        requirePositive("gossipIntervalMs", gossipIntervalMs);
        requirePositive("gossipFanout", gossipFanout);
        requirePositive("lastingBytesPerSecond", lastingBytesPerSecond);
        requirePositive("shortLivedBytesPerSecond", shortLivedBytesPerSecond);
        requirePositive("syncIntervalMs", syncIntervalMs);
        requirePositive("joinRetryMs", joinRetryMs);
        requirePositive("relaysPerDataCentre", relaysPerDataCentre);
        requirePositive("relayIntervalMs", relayIntervalMs);
        requirePositive("unreachableAfterMs", unreachableAfterMs);
        requirePositive("deadRetentionMs", deadRetentionMs);
        requirePositive("maxDeadMembers", maxDeadMembers);
        requirePositive("maxFacts", maxFacts);
        if (directTimeoutMs + indirectTimeoutMs > probeIntervalMs) {
            throw new IllegalArgumentException("directTimeoutMs and indirectTimeoutMs must fit into probeIntervalMs "
                    + probeIntervalMs + " but were " + directTimeoutMs + " and " + indirectTimeoutMs);
        }
    }

    /** Returns settings that detect a dead daemon in a data centre of 80 in about 2 s, at under 4 KB/s per daemon. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                400, 130, 250, 3, 900, 20, 100, 3, 1_200, 1_500, 10_000, 1_000, 2, 2_000, 8_000, 600_000, 1_000, 4_096);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive but was " + value);
        }
    }
}
