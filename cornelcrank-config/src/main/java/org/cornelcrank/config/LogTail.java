package org.cornelcrank.config;

import java.util.random.RandomGenerator;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.TimerKey;

/**
 * Keeps one read of the configuration stream open, and starts the next one after it.
 *
 * <p>Invariant: an answer counts only if it belongs to the open read. Not thread-safe: confined to the daemon's event loop.
 */
final class LogTail {

    static final TimerKey TIMER = new TimerKey(ConfigStateMachine.NAME, "tail");

    /** How long an answer may be late before the read counts as failed, in ms. */
    private static final long GRACE_MS = 5_000;

    /** After so many failures in a row the pause between reads no longer doubles. */
    private static final int MAX_DOUBLINGS = 2;

    private final ConfigSettings settings;
    private final RandomGenerator random;
    private long readNumber;
    private int failures;
    private boolean open;
    private boolean answers;
    private boolean reachedEnd;

    LogTail(ConfigSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Returns whether the last read was answered. */
    boolean answers() {
        return answers;
    }

    /** Opens a read from the offset; the log may hold it once its end was reached. */
    void read(long fromOffset, long nowMs, Effects out) {
        long waitMs = reachedEnd ? settings.tailWaitMs() : 0;
        readNumber++;
        open = true;
        out.add(new Effect.ReadLog(ConfigurationLog.STREAM, purpose(), fromOffset, settings.readBytes(), waitMs));
        out.schedule(TIMER, nowMs + waitMs + GRACE_MS);
    }

    /** Returns whether the answer belongs to the open read. */
    boolean accepts(Event.LogRead read) {
        if (!open || !read.purpose().equals(purpose())) {
            return false;
        }
        open = false;
        answers = true;
        failures = 0;
        reachedEnd = read.records().isEmpty();
        return true;
    }

    void failed(Event.LogReadFailed failure, long nowMs, Effects out) {
        if (open && failure.purpose().equals(purpose())) {
            open = false;
            answers = false;
            out.schedule(TIMER, nowMs + retryMs());
        }
    }

    /** Reads again after a failure, or after a read that was never answered. */
    void timerDue(long fromOffset, long nowMs, Effects out) {
        if (open) {
            answers = false;
        }
        read(fromOffset, nowMs, out);
    }

    /** Grows and varies, so that hundreds of daemons do not weigh on a log that is ill. */
    private long retryMs() {
        long pauseMs = settings.readRetryMs() << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        return pauseMs / 2 + random.nextLong(pauseMs);
    }

    private String purpose() {
        return "tail-" + readNumber;
    }
}
