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
 * Writes a log line for each decision, within a bound for each kind of subject.
 *
 * <p>What the bound leaves out is counted in the next line of the kind. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class DecisionLog {

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.decision");

    /** The most lines of one kind in a second: what a daemon at its usual load writes, several times over. */
    private static final int MAX_LINES_PER_SECOND = 300;

    private static final long MS_PER_SECOND = 1_000;

    private final Map<Subject.Kind, Bound> bounds = new EnumMap<>(Subject.Kind.class);
    private final Counter leftOut;

    DecisionLog(MetricRegistry metrics) {
        this.leftOut = metrics.counter("log.decisions-left-out");
        metrics.registerGauge("log.lines-dropped", CountingAsyncAppender::dropped);
    }

    void log(Effect.Explain explain) {
        Bound bound = bounds.computeIfAbsent(explain.subject().kind(), kind -> new Bound());
        if (!bound.admits(explain.atMs())) {
            leftOut.inc();
            return;
        }
        LOGGER.atInfo()
                .addKeyValue("kind", explain.subject().kind())
                .addKeyValue("id", explain.subject().id())
                .addKeyValue("decision", explain.decision())
                .addKeyValue("reason", explain.reason())
                .addKeyValue("leftOut", bound.takeLeftOut())
                .log("decision");
    }

    /** Counts the lines of one kind in the present second. */
    private static final class Bound {

        private long second;
        private int lines;
        private int leftOut;

        boolean admits(long atMs) {
            if (atMs / MS_PER_SECOND != second) {
                second = atMs / MS_PER_SECOND;
                lines = 0;
            }
            if (lines < MAX_LINES_PER_SECOND) {
                lines++;
                return true;
            }
            leftOut++;
            return false;
        }

        int takeLeftOut() {
            int taken = leftOut;
            leftOut = 0;
            return taken;
        }
    }
}
