package org.cornelcrank.gateway;

/**
 * Decides which requests a stopping daemon still accepts, when it ends those that are open, and when it may end.
 *
 * <p>A stop has three phases. Until load balancers have noticed that the daemon is not ready, requests are accepted if
 * they end before the time limit of the stop however long they take. From then on all are refused as not run. Without
 * the second phase a daemon whose callers keep their connections would never be idle, and its end would interrupt
 * whatever runs at that moment. The third begins at the time limit: open requests are ended, and their callers'
 * connections stay open until the responses are written.
 *
 * <p>Invariants: a stop that was requested is never withdrawn; a request that is accepted during a stop ends before its
 * time limit; open requests are ended before the daemon ends, which is {@link #RESPONSE_TIMEOUT_MS} later at the latest.
 * Thread-safe.
 */
public final class Drain {

    /** How long the response of a request that has ended may take to be written, in ms. */
    public static final long RESPONSE_TIMEOUT_MS = 200;

    private static final long NEVER = -1;

    private final long acceptMs;
    private final long timeoutMs;
    private volatile long requestedAtMs = NEVER;
    private volatile long requestsEndedAtMs = NEVER;

    /**
     * Creates the drain of a daemon that is not stopping yet.
     *
     * @param acceptMs how long requests are still accepted, in ms
     * @param timeoutMs how long the daemon waits after that for requests to end, in ms
     * @throws IllegalArgumentException if a duration is negative
     */
    public Drain(long acceptMs, long timeoutMs) {
        if (acceptMs < 0 || timeoutMs < 0) {
            throw new IllegalArgumentException(
                    "acceptMs and timeoutMs must not be negative but were " + acceptMs + " and " + timeoutMs);
        }
        this.acceptMs = acceptMs;
        this.timeoutMs = timeoutMs;
    }

    /**
     * Requests the stop.
     *
     * @return whether this call was the first to do so
     */
    public synchronized boolean request(long nowMs) {
        if (requested()) {
            return false;
        }
        requestedAtMs = nowMs;
        return true;
    }

    /** Returns whether a stop was requested, so that the daemon must not look ready. */
    public boolean requested() {
        return requestedAtMs != NEVER;
    }

    /** Returns whether any request that arrives at {@code nowMs} is accepted. */
    public boolean accepts(long nowMs) {
        return !requested() || nowMs - requestedAtMs < acceptMs;
    }

    /**
     * Returns whether a request that has arrived at {@code nowMs} is accepted; all others are to be refused as not run.
     *
     * @param endsAtMs the time at which the request ends at the latest, in ms
     */
    public boolean accepts(long nowMs, long endsAtMs) {
        return accepts(nowMs)
                && (!requested() || endsAtMs - requestedAtMs <= acceptMs + timeoutMs - RESPONSE_TIMEOUT_MS);
    }

    /**
     * Ends the open requests if the time limit has passed.
     *
     * @return whether this call was the first to do so, so that each open request is to get its final response now
     */
    public synchronized boolean endRequests(long nowMs) {
        if (!timedOut(nowMs) || requestsEndedAtMs != NEVER) {
            return false;
        }
        requestsEndedAtMs = nowMs;
        return true;
    }

    /**
     * Returns whether the daemon ends at {@code nowMs}: once it accepts no more requests and is idle. After the time
     * limit it no longer waits for other work, and only for a bounded time for responses.
     *
     * @param idle whether no work other than that of requests is in progress
     * @param openRequests the number of requests whose response has not been written
     */
    public boolean ends(long nowMs, boolean idle, int openRequests) {
        if (accepts(nowMs)) {
            return false;
        }
        if (openRequests == 0) {
            return idle || timedOut(nowMs);
        }
        return requestsEndedAtMs != NEVER && nowMs - requestsEndedAtMs >= RESPONSE_TIMEOUT_MS;
    }

    /** Returns whether the time limit of the stop has passed. */
    public boolean timedOut(long nowMs) {
        return requested() && nowMs - requestedAtMs >= acceptMs + timeoutMs;
    }
}
