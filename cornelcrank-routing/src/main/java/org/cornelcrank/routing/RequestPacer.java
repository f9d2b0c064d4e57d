package org.cornelcrank.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * Paces the requests to one target to the rate that it accepts from all daemons together.
 *
 * <p>Invariant: in any time span, at most the rate times the span and one second's worth of requests are acquired, or
 * one more than the rate times the span if the rate is below one per second. A target with a limit of zero gets a
 * request now and then, since only a response can tell that its limit has ended. Not thread-safe: confined to the
 * daemon's event loop.
 */
final class RequestPacer {

    private static final double MIN_RATE_PER_SECOND = 0.2;
    private static final long BURST_MS = 1_000;
    private static final long TIMELY_WINDOW_MS = 2_000;
    private static final double MS_PER_SECOND = 1_000;

    private final Deque<Long> timelyAtMs = new ArrayDeque<>();
    private double ratePerSecond;
    private TokenBucket bucket;

    /** Applies the target's limit; a new one starts with an empty bucket. */
    void limit(OptionalDouble maxRequestsPerSecond, long nowMs) {
        if (maxRequestsPerSecond.isEmpty()) {
            bucket = null;
            timelyAtMs.clear();
            return;
        }
        if (bucket == null) {
            bucket = new TokenBucket(0, nowMs);
        } else {
            // Fills the bucket at the former rate.
            available(nowMs);
        }
        ratePerSecond = Math.max(MIN_RATE_PER_SECOND, maxRequestsPerSecond.getAsDouble());
    }

    boolean limited() {
        return bucket != null;
    }

    /** Returns whether a request may be sent now. */
    boolean allows(long nowMs) {
        return bucket == null || available(nowMs) >= 1;
    }

    /** Returns whether an item may be sent now: only if requests have left a whole burst unused. */
    boolean allowsBatch(long nowMs) {
        return bucket == null || available(nowMs) >= depth();
    }

    /** Counts a request; {@code timely} indicates that it can still meet its latency objective. */
    void acquire(boolean timely, long nowMs) {
        if (bucket == null) {
            return;
        }
        bucket.take(1);
        dropOldTimely(nowMs);
        if (timely) {
            timelyAtMs.add(nowMs);
        }
    }

    /** Uncounts a request that was not sent. */
    void release() {
        if (bucket != null) {
            bucket.giveBack(1);
        }
    }

    /** Returns how long the last of a number of requests waits, in ms. */
    long waitMs(int requests, long nowMs) {
        return waitMs(requests, ratePerSecond, nowMs);
    }

    /**
     * Returns how long the last of a number of late requests waits, in ms, if timely ones keep preceding them as before;
     * {@link Long#MAX_VALUE} if these use the whole rate.
     */
    long lateWaitMs(int requests, long nowMs) {
        dropOldTimely(nowMs);
        return waitMs(requests, ratePerSecond - timelyAtMs.size() * MS_PER_SECOND / TIMELY_WINDOW_MS, nowMs);
    }

    private long waitMs(int requests, double perSecond, long nowMs) {
        if (bucket == null) {
            return 0;
        }
        double missing = requests - available(nowMs);
        if (missing <= 0) {
            return 0;
        }
        return perSecond <= 0 ? Long.MAX_VALUE : (long) Math.ceil(missing * MS_PER_SECOND / perSecond);
    }

    private void dropOldTimely(long nowMs) {
        while (!timelyAtMs.isEmpty() && timelyAtMs.peek() <= nowMs - TIMELY_WINDOW_MS) {
            timelyAtMs.remove();
        }
    }

    /** Returns how many recent timely requests are remembered. */
    int remembered() {
        return timelyAtMs.size();
    }

    private double available(long nowMs) {
        return bucket.level(ratePerSecond, depth(), nowMs);
    }

    private double depth() {
        return Math.max(1, ratePerSecond * BURST_MS / MS_PER_SECOND);
    }
}
