package org.cornelcrank.batch;

/**
 * Names the states of a job.
 */
public enum JobState {
    /** Items are waiting or running. */
    IN_PROGRESS,
    /** Every item has ended, with a result or a recorded failure. */
    COMPLETED,
    /** The job was cancelled; results of items that had ended before stay readable. */
    CANCELLED
}
