package org.cornelcrank.server;

import java.util.EnumMap;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Subject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs decisions, at a limited rate for each kind of subject.
 *
 * <p>The next line of a kind states how many lines of that kind the limit has suppressed. Not thread-safe: confined to
 * the daemon's event loop.
 */
final class DecisionLog {

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.decision");

    /** Maximum number of lines of one kind per second: several times what a daemon logs at its usual load. */
    private static final int MAX_LINES_PER_SECOND = 300;

    private static final long MS_PER_SECOND = 1_000;

    private final Map<Subject.Kind, RateLimit> limits = new EnumMap<>(Subject.Kind.class);
    private final Counter suppressed;

    DecisionLog(MetricRegistry metrics) {
        this.suppressed = metrics.counter("log.decisions-left-out");
        metrics.registerGauge("log.lines-dropped", CountingAsyncAppender::dropped);
    }

    void log(Effect.Explain explain) {
        RateLimit limit = limits.computeIfAbsent(explain.subject().kind(), kind -> new RateLimit());
        if (!limit.tryAcquire(explain.atMs())) {
            suppressed.inc();
            return;
        }
        LOGGER.atInfo()
                .addKeyValue("kind", explain.subject().kind())
                .addKeyValue("id", explain.subject().id())
                .addKeyValue("decision", explain.decision())
                .addKeyValue("reason", explain.reason())
                .addKeyValue("leftOut", limit.takeSuppressed())
                .log("decision");
    }

    /** Limits and counts the lines of one kind in the current second. */
    private static final class RateLimit {

        private long second;
        private int lines;
        private int suppressed;

        boolean tryAcquire(long atMs) {
            if (atMs / MS_PER_SECOND != second) {
                second = atMs / MS_PER_SECOND;
                lines = 0;
            }
            if (lines < MAX_LINES_PER_SECOND) {
                lines++;
                return true;
            }
            suppressed++;
            return false;
        }

        int takeSuppressed() {
            int count = suppressed;
            suppressed = 0;
            return count;
        }
    }
}
