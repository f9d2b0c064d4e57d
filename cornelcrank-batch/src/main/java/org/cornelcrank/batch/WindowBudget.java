package org.cornelcrank.batch;

/**
 * Divides the memory for lines that wait or run among the running jobs of this daemon.
 *
 * <p>Invariant: the shares of all jobs together never exceed the whole, but that each job may hold one item. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class WindowBudget {

    private final long maxBytes;
    private final long maxBytesPerJob;
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

    int jobs() {
        return jobs;
    }

    long bytesPerJob() {
        return Math.min(maxBytesPerJob, maxBytes / Math.max(1, jobs));
    }
}
