package org.cornelcrank.batch;

/**
 * Divides the memory for items that wait or run among the running jobs of this daemon.
 *
 * <p>Invariant: all jobs together hold at most the whole and one item more, but that each job may hold one item. Not thread-safe: confined
 * to the daemon's event loop.
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

    /** Returns whether a job may fill up what waits to the given part of its share, one being the whole of it. */
    boolean hasCapacity(long waitingBytes, int parts) {
        long share = Math.min(maxBytesPerJob, maxBytes / Math.max(1, jobs));
        return heldBytes < maxBytes && waitingBytes < share / parts;
    }

    int jobs() {
        return jobs;
    }

    long heldBytes() {
        return heldBytes;
    }
}
