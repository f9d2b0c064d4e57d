package org.cornelcrank.batch;

/** State of a job. */
public enum JobState {
    /** Items are waiting or running. */
    IN_PROGRESS,
    /** Every item has ended, with a recorded result or failure. */
    COMPLETED,
    /** The job was cancelled; results of items that ended before remain readable. */
    CANCELLED
}
