package org.cornelcrank.routing;

import org.cornelcrank.core.TargetReport;

/**
 * Estimates how many requests a target can run concurrently: the configured or reported number of slots, reduced while
 * the target queues requests or refuses them for lack of capacity, and raised again one by one.
 *
 * <p>Invariant: never below 1. Not thread-safe: confined to the daemon's event loop.
 */
final class SlotCapacity {

    private static final long STEP_INTERVAL_MS = 1_000;

    private final int unreportedSlots;
    private int configuredSlots;
    private int reportedSlots;
    private int reduction;
    private long steppedAtMs;

    SlotCapacity(int unreportedSlots) {
        this.unreportedSlots = unreportedSlots;
    }

    void configured(int slots) {
        configuredSlots = slots;
    }

    /**
     * Applies a report; {@code settled} indicates that no more requests were admitted recently than there are slots.
     */
    void reported(TargetReport report, boolean settled, long nowMs) {
        if (report.slots() > 0) {
            reportedSlots = report.slots();
        }
        if (report.queued() > 0 && settled) {
            reduceTo(slots(nowMs) - 1, nowMs);
        }
    }

    /** Records that the target refused a request for lack of capacity while {@code running} requests ran. */
    void overloaded(int running, long nowMs) {
        reduceTo(Math.min(slots(nowMs), running) - 1, nowMs);
    }

    int slots(long nowMs) {
        if (reduction > 0 && nowMs - steppedAtMs >= 2 * STEP_INTERVAL_MS) {
            reduction--;
            steppedAtMs = nowMs;
        }
        return Math.max(1, nominal() - reduction);
    }

    private int nominal() {
        if (configuredSlots > 0) {
            return configuredSlots;
        }
        return reportedSlots > 0 ? reportedSlots : unreportedSlots;
    }

    private void reduceTo(int slots, long nowMs) {
        if (reduction > 0 && nowMs - steppedAtMs < STEP_INTERVAL_MS) {
            return;
        }
        reduction = Math.min(nominal() - 1, Math.max(reduction, nominal() - slots));
        steppedAtMs = nowMs;
    }
}
