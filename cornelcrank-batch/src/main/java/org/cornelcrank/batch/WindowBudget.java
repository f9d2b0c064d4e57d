package org.cornelcrank.batch;

/**
 * Divides the memory for waiting and running items among the jobs that run at this daemon.
 *
 * <p>Invariant: all jobs together hold at most the maximum plus one item, except that each job may always hold one
 * item. Not thread-safe: confined to the daemon's event loop.
 */
final class WindowBudget {

    private final long maxBytes;
    private final long maxBytesPerJob;
    private long heldBytes;
    private int jobs;

    WindowBudget(long maxBytes, long maxBytesPerJob) {
        this.maxBytes = maxBytes;
        this.maxBytesPerJob = maxBytesPerJob;
    }

    void jobStarted() {
        jobs++;
    }

    void jobStopped() {
        jobs--;
    }

    void hold(long bytes) {
        heldBytes += bytes;
    }

    void release(long bytes) {
        heldBytes -= bytes;
    }

    /** Returns whether memory remains and a job's waiting items use less than its share divided by the divisor. */
    boolean hasCapacity(long waitingBytes, int divisor) {
        long share = Math.min(maxBytesPerJob, maxBytes / Math.max(1, jobs));
        return heldBytes < maxBytes && waitingBytes < share / divisor;
    }

    int jobs() {
        return jobs;
    }

    long heldBytes() {
        return heldBytes;
    }
}
