package org.cornelcrank.server;

import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;

/**
 * Asynchronous appender that drops and counts log lines while its writer thread cannot keep up.
 *
 * <p>Invariant: never blocks the thread that logs. Thread-safe.
 */
public final class CountingAsyncAppender extends AsyncAppender {

    private static final AtomicLong DROPPED = new AtomicLong();

    /** Returns how many log lines this process has dropped. */
    static long dropped() {
        return DROPPED.get();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            DROPPED.incrementAndGet();
            return;
        }
        super.append(event);
    }
}
