package org.cornelcrank.batch;

import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ResumePoint;

/**
 * An item that waits for a permit, or runs under one.
 *
 * <p>{@code attempts} counts failed attempts that may have run; {@code refusals} those that no target began. Immutable,
 * thus thread-safe.
 */
record WaitingItem(int number, ItemLine line, int attempts, int refusals) {

    private static final int OVERHEAD_BYTES = 256;

    /** Returns about how much memory the item takes. */
    int bytes() {
        return OVERHEAD_BYTES + line.body().size() + line.customId().length();
    }

    /**
     * Returns the generation that a run of the item begins or, where the target still keeps it, takes up.
     *
     * <p>It starts from the first token, because the whole answer is wanted: a target that keeps the generation repeats
     * what it has generated and goes on from there. A failed attempt's generation is not taken up.
     */
    ResumePoint generation(JobId job) {
        return new ResumePoint(job + "." + number + "." + attempts, 0);
    }

    WaitingItem afterFailure() {
        return new WaitingItem(number, line, attempts + 1, refusals);
    }

    WaitingItem afterRefusal() {
        return new WaitingItem(number, line, attempts, refusals + 1);
    }
}
