package org.cornelcrank.routing;

import java.util.EnumMap;
import java.util.Map;

/**
 * Meters the traffic of this daemon's requests over the paid link between regions by purpose, and limits it to a
 * budget.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class LinkBudget {

    private static final double BURST_SECONDS = 2;

    private final RoutingSettings.Link settings;
    private final TokenBucket bucket;
    private final Map<Purpose, Long> bytesByPurpose = new EnumMap<>(Purpose.class);

    LinkBudget(RoutingSettings.Link settings) {
        this.settings = settings;
        this.bucket = new TokenBucket(depth(), 0);
    }

    /** Returns whether one more request may cross the link; if so, counts the bytes that it sends. */
    boolean tryTake(Purpose purpose, long nowMs) {
        if (bucket.tryTake(settings.requestBytes(), settings.bytesPerSecond(), depth(), nowMs) > 0) {
            return false;
        }
        bytesByPurpose.merge(purpose, (long) settings.requestBytes(), Long::sum);
        return true;
    }

    /** Counts a response that was received over the link. */
    void countResponse(Purpose purpose, int tokens) {
        long bytes = (long) tokens * settings.bytesPerToken();
        bucket.take(bytes);
        bytesByPurpose.merge(purpose, bytes, Long::sum);
    }

    long bytes(Purpose purpose) {
        return bytesByPurpose.getOrDefault(purpose, 0L);
    }

    private double depth() {
        return settings.bytesPerSecond() * BURST_SECONDS;
    }

    /** The purposes for which the link is used. */
    enum Purpose {
        ONLINE,
        BATCH
    }
}
