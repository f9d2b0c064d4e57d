package org.cornelcrank.config;

import java.util.random.RandomGenerator;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.TimerKey;

/**
 * Tails the configuration stream: keeps one read pending, and starts the next one when it completes.
 *
 * <p>Invariant: only the response to the pending read is accepted. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class LogTail {

    static final TimerKey TIMER = new TimerKey(ConfigStateMachine.NAME, "tail");

    /** How much longer than its wait time a read may take before it counts as failed. */
    private static final long RESPONSE_TIMEOUT_MS = 5_000;

    /** Number of failures in a row after which the delay between reads no longer doubles. */
    private static final int MAX_DOUBLINGS = 2;

    private final ConfigSettings settings;
    private final RandomGenerator random;
    private long readNumber;
    private int consecutiveFailures;
    private boolean readPending;
    private boolean logAvailable;
    private boolean reachedEnd;

    LogTail(ConfigSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Returns whether the last read succeeded. */
    boolean isLogAvailable() {
        return logAvailable;
    }

    /** Starts a read at the offset; the log may hold it if the previous read reached the end. */
    void read(long fromOffset, long nowMs, Effects out) {
        long waitMs = reachedEnd ? settings.tailWaitMs() : 0;
        readNumber++;
        readPending = true;
        out.add(new Effect.ReadLog(ConfigurationLog.STREAM, purpose(), fromOffset, settings.readBytes(), waitMs));
        out.schedule(TIMER, nowMs + waitMs + RESPONSE_TIMEOUT_MS);
    }

    /** Completes the pending read; returns false if the response belongs to another read. */
    boolean accept(Event.LogRead read) {
        if (!readPending || !read.purpose().equals(purpose())) {
            return false;
        }
        readPending = false;
        logAvailable = true;
        consecutiveFailures = 0;
        reachedEnd = read.records().isEmpty();
        return true;
    }

    void failed(Event.LogReadFailed failure, long nowMs, Effects out) {
        if (readPending && failure.purpose().equals(purpose())) {
            readPending = false;
            logAvailable = false;
            out.schedule(TIMER, nowMs + nextRetryDelayMs());
        }
    }

    /** Reads again after a failure or a timeout. */
    void timerDue(long fromOffset, long nowMs, Effects out) {
        if (readPending) {
            logAvailable = false;
        }
        read(fromOffset, nowMs, out);
    }

    /** Exponential backoff with jitter, so that hundreds of daemons do not overload a failing log. */
    private long nextRetryDelayMs() {
        long pauseMs = settings.readRetryMs() << Math.min(consecutiveFailures, MAX_DOUBLINGS);
        consecutiveFailures++;
        return pauseMs / 2 + random.nextLong(pauseMs);
    }

    private String purpose() {
        return "tail-" + readNumber;
    }
}
