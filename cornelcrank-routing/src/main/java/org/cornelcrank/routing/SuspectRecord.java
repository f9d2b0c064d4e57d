package org.cornelcrank.routing;

import java.util.Map;
import java.util.TreeMap;

import org.cornelcrank.core.TargetId;

/**
 * Records the deaths of targets during which one request was in flight, and when the request was last cleared.
 *
 * <p>Invariant: holds no death from before the last clearing. Not thread-safe: confined to the daemon's event loop.
 */
final class SuspectRecord {

    private final Map<TargetId, Death> deaths = new TreeMap<>();
    private long clearedAtMs = Long.MIN_VALUE;
    private long quarantinedUntilMs;
    private long expiresAtMs;

    /** Adds a death; returns whether the request has not been cleared since. */
    boolean targetDied(TargetId target, long atMs, int count, long newExpiresAtMs) {
        if (atMs <= clearedAtMs) {
            return false;
        }
        deaths.merge(
                target,
                new Death(atMs, count),
                (earlier, latest) -> latest.count() >= earlier.count() ? latest : earlier);
        expiresAtMs = newExpiresAtMs;
        return true;
    }

    void quarantineUntil(long newQuarantinedUntilMs) {
        quarantinedUntilMs = newQuarantinedUntilMs;
    }

    long quarantinedUntilMs() {
        return quarantinedUntilMs;
    }

    void clear(long atMs, long newExpiresAtMs) {
        expiresAtMs = Math.max(expiresAtMs, newExpiresAtMs);
        clearedAtMs = Math.max(clearedAtMs, atMs);
        deaths.values().removeIf(death -> death.atMs() <= clearedAtMs);
    }

    int deathCount() {
        return deaths.values().stream().mapToInt(Death::count).sum();
    }

    long latestDeathMs() {
        return deaths.values().stream().mapToLong(Death::atMs).max().orElse(0);
    }

    long expiresAtMs() {
        return expiresAtMs;
    }

    Map<TargetId, Death> deaths() {
        return deaths;
    }

    /** The number of times that a target died with the request in flight, and the time of the last one. */
    record Death(long atMs, int count) {}
}
