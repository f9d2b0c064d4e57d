package org.cornelcrank.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * Paces the requests to one target to the rate that it accepts from all daemons together.
 *
 * <p>Invariant: in any time span, at most the rate times the span and one second's worth of requests are taken, or one
 * more than the rate times the span if the rate is below one per second. A target with a limit of zero gets a request
 * now and then, since only a response can tell that its limit has ended. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class RequestPacer {

    private static final double MIN_RATE_PER_SECOND = 0.2;
    private static final long BURST_MS = 1_000;
    private static final long TIMELY_WINDOW_MS = 2_000;
    private static final double MS_PER_SECOND = 1_000;

    private final Deque<Long> timelyTakenAtMs = new ArrayDeque<>();
    private double ratePerSecond;
    private double available;
    private long filledAtMs;
    private boolean limited;

    /** Applies the target's limit; the first request under a new limit waits for its turn. */
    void limit(OptionalDouble maxRequestsPerSecond, long nowMs) {
        if (maxRequestsPerSecond.isEmpty()) {
            limited = false;
            return;
        }
        if (limited) {
            fill(nowMs);
        } else {
            limited = true;
            available = 0;
            filledAtMs = nowMs;
        }
        ratePerSecond = Math.max(MIN_RATE_PER_SECOND, maxRequestsPerSecond.getAsDouble());
        available = Math.min(available, depth());
    }

    boolean limited() {
        return limited;
    }

    /** Returns whether a request may be sent now. */
    boolean allows(long nowMs) {
        fill(nowMs);
        return !limited || available >= 1;
    }

    /** Returns whether an item may be sent now: only if requests have left a whole burst unused. */
    boolean allowsBatch(long nowMs) {
        fill(nowMs);
        return !limited || available >= depth();
    }

    /** Counts a request; {@code timely} indicates that it can still meet its latency objective. */
    void take(boolean timely, long nowMs) {
        fill(nowMs);
        available -= 1;
        dropOldTimely(nowMs);
        if (timely && limited) {
            timelyTakenAtMs.add(nowMs);
        }
    }

    /** Takes back a request that was counted but not sent. */
    void giveBack() {
        available = Math.min(depth(), available + 1);
    }

    /** Returns how long the last of a number of requests waits for its turn, in ms. */
    long waitMs(int requests, long nowMs) {
        return waitMs(requests, ratePerSecond, nowMs);
    }

    /**
     * Returns how long the last of a number of late requests waits for its turn, in ms, if timely ones keep preceding
     * them as before; {@link Long#MAX_VALUE} if these use the whole rate.
     */
    long lateWaitMs(int requests, long nowMs) {
        dropOldTimely(nowMs);
        double spareRate = ratePerSecond - timelyTakenAtMs.size() * MS_PER_SECOND / TIMELY_WINDOW_MS;
        return waitMs(requests, spareRate, nowMs);
    }

    private void dropOldTimely(long nowMs) {
        while (!timelyTakenAtMs.isEmpty() && timelyTakenAtMs.peek() <= nowMs - TIMELY_WINDOW_MS) {
            timelyTakenAtMs.remove();
        }
    }

    /** Returns how many recent timely requests are remembered. */
    int remembered() {
        return timelyTakenAtMs.size();
    }

    private long waitMs(int requests, double perSecond, long nowMs) {
        fill(nowMs);
        if (!limited || available >= requests) {
            return 0;
        }
        return perSecond <= 0 ? Long.MAX_VALUE : (long) Math.ceil((requests - available) * MS_PER_SECOND / perSecond);
    }

    private void fill(long nowMs) {
        if (limited) {
            double added = Math.max(0, nowMs - filledAtMs) * ratePerSecond / MS_PER_SECOND;
            available = Math.min(depth(), available + added);
            filledAtMs = Math.max(filledAtMs, nowMs);
        }
    }

    private double depth() {
        return Math.max(1, ratePerSecond * BURST_MS / MS_PER_SECOND);
    }
}
