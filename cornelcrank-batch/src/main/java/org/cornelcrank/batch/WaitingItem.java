package org.cornelcrank.batch;

import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ResumePoint;

/**
 * An item that is waiting for a permit or running under one.
 *
 * <p>{@code attempts} counts failed attempts that may have run, {@code refusals} those that no target started.
 * Immutable, thus thread-safe.
 */
record WaitingItem(int number, ItemLine line, int attempts, int refusals) {

    private static final int OVERHEAD_BYTES = 256;

    /** Returns the approximate memory use of the item in bytes. */
    int bytes() {
        return OVERHEAD_BYTES + line.body().size() + line.customId().length();
    }

    /**
     * Returns the generation that a run of the item starts, or resumes if the target still has it.
     *
     * <p>The resume point is the first token, because the result must contain the complete response: a target that
     * still has the generation repeats the tokens generated so far and continues. The generation of a failed attempt is
     * not resumed.
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
