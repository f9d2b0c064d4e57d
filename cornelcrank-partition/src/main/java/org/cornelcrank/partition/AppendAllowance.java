package org.cornelcrank.partition;

/**
 * Limits the rate of one partition's appends to its share of the system's budget, with two token buckets.
 *
 * <p>Every append consumes a token of the hard bucket. An append of records that are not urgent also consumes a token
 * of the packed bucket, which refills with time and with each proposed record, so that a busy partition packs many
 * records into each append while an idle one appends at once. Not thread-safe: confined to the daemon's event loop.
 */
final class AppendAllowance {

    static final double HARD_BURST = 8;
    private static final double PACKED_BURST = 4;
    private static final double MS_PER_S = 1_000;

    private final AppendSettings settings;
    private double hardTokens = HARD_BURST;
    private double packedTokens = PACKED_BURST;
    private int partitions = 1;
    private long updatedAtMs;

    AppendAllowance(AppendSettings settings, long nowMs) {
        this.settings = settings;
        this.updatedAtMs = nowMs;
    }

    /** Sets the number of partitions that share the system's budget. */
    void setPartitionCount(int count, long nowMs) {
        refill(nowMs);
        partitions = Math.max(1, count);
    }

    void recordAdded() {
        packedTokens = Math.min(PACKED_BURST, packedTokens + 1.0 / settings.recordsPerPackedAppend());
    }

    /** Returns the time in ms until an append is allowed, zero if it is allowed now. */
    long waitMs(boolean packedAppend, long nowMs) {
        refill(nowMs);
        long waitMs = refillTimeMs(hardTokens, settings.budgetPerSecond());
        return packedAppend ? Math.max(waitMs, refillTimeMs(packedTokens, settings.packedPerSecond())) : waitMs;
    }

    void consume(boolean packedAppend) {
        hardTokens -= 1;
        if (packedAppend) {
            packedTokens -= 1;
        }
    }

    private long refillTimeMs(double available, int perSecond) {
        if (available >= 1) {
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - available) * partitions * MS_PER_S / perSecond));
    }

    private void refill(long nowMs) {
        double shareOfElapsed = Math.max(0, nowMs - updatedAtMs) / MS_PER_S / partitions;
        hardTokens = Math.min(HARD_BURST, hardTokens + shareOfElapsed * settings.budgetPerSecond());
        packedTokens = Math.min(PACKED_BURST, packedTokens + shareOfElapsed * settings.packedPerSecond());
        updatedAtMs = nowMs;
    }
}
