package org.cornelcrank.partition;

/**
 * One partition's share of the appends that all owners together may make.
 *
 * <p>Every append takes from the hard share. An append of records that are not urgent also takes from the packed share,
 * which grows with time and with the records that wait, so that a busy partition packs many records into each append
 * while an idle one appends at once. Not thread-safe: confined to the daemon's event loop.
 */
final class AppendAllowance {

    static final double HARD_BURST = 8;
    private static final double PACKED_BURST = 4;
    private static final double MS_PER_S = 1_000;

    private final AppendSettings settings;
    private double hard = HARD_BURST;
    private double packed = PACKED_BURST;
    private int partitions = 1;
    private long updatedAtMs;

    AppendAllowance(AppendSettings settings, long nowMs) {
        this.settings = settings;
        this.updatedAtMs = nowMs;
    }

    /** Sets among how many partitions the system's budget is shared. */
    void share(int partitionsOfSystem, long nowMs) {
        refill(nowMs);
        partitions = Math.max(1, partitionsOfSystem);
    }

    void recordAdded() {
        packed = Math.min(PACKED_BURST, packed + 1.0 / settings.recordsPerPackedAppend());
    }

    /** Returns after how many ms an append is allowed, zero if it is now. */
    long waitMs(boolean packedAppend, long nowMs) {
        refill(nowMs);
        long waitMs = waitFor(hard, settings.budgetPerSecond());
        return packedAppend ? Math.max(waitMs, waitFor(packed, settings.packedPerSecond())) : waitMs;
    }

    /** Takes one append from the allowance. */
    void take(boolean packedAppend) {
        hard -= 1;
        if (packedAppend) {
            packed -= 1;
        }
    }

    private long waitFor(double available, int perSecond) {
        if (available >= 1) {
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - available) * partitions * MS_PER_S / perSecond));
    }

    private void refill(long nowMs) {
        double shareOfElapsed = Math.max(0, nowMs - updatedAtMs) / MS_PER_S / partitions;
        hard = Math.min(HARD_BURST, hard + shareOfElapsed * settings.budgetPerSecond());
        packed = Math.min(PACKED_BURST, packed + shareOfElapsed * settings.packedPerSecond());
        updatedAtMs = nowMs;
    }
}
