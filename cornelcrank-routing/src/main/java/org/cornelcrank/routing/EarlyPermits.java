package org.cornelcrank.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;

/**
 * Keeps the running permits that daemons advertise for a target before this daemon knows that it controls the target.
 *
 * <p>A daemon that leaves knows its successor before the successor does. Invariant: only the last advertisement of each
 * daemon is kept, and for a bounded time. Not thread-safe: confined to the daemon's event loop.
 */
final class EarlyPermits {

    private final long lifetimeMs;
    private final Map<TargetId, Map<HostId, Advertised>> byTarget = new HashMap<>();

    /** Creates an empty store; {@code lifetimeMs} is the time after which daemons advertise their permits again. */
    EarlyPermits(long lifetimeMs) {
        this.lifetimeMs = lifetimeMs;
    }

    void advertised(HostId from, RoutingMessage.RunningPermits running, long nowMs) {
        byTarget.values().forEach(holders -> holders.values().removeIf(kept -> expired(kept, nowMs)));
        byTarget.values().removeIf(Map::isEmpty);
        byTarget.computeIfAbsent(running.target(), target -> new LinkedHashMap<>())
                .put(from, new Advertised(byAttempt(running.permits()), nowMs));
    }

    private static Map<AttemptId, RoutingMessage.RunningPermit> byAttempt(List<RoutingMessage.RunningPermit> permits) {
        Map<AttemptId, RoutingMessage.RunningPermit> byAttempt = new LinkedHashMap<>();
        permits.forEach(permit -> byAttempt.put(permit.attempt(), permit));
        return byAttempt;
    }

    /** Forgets a permit that its holder has released. */
    void released(TargetId target, AttemptId attempt) {
        byTarget.getOrDefault(target, Map.of()).values().forEach(kept -> kept.permits.remove(attempt));
    }

    /** Removes the permits of a target that this daemon now controls, by holder. */
    Map<HostId, List<RoutingMessage.RunningPermit>> take(TargetId target, long nowMs) {
        Map<HostId, List<RoutingMessage.RunningPermit>> permits = new LinkedHashMap<>();
        Map<HostId, Advertised> holders = byTarget.remove(target);
        if (holders != null) {
            holders.values().removeIf(kept -> expired(kept, nowMs));
            holders.forEach((holder, kept) -> permits.put(holder, List.copyOf(kept.permits.values())));
        }
        return permits;
    }

    private boolean expired(Advertised kept, long nowMs) {
        return nowMs - kept.receivedAtMs > lifetimeMs;
    }

    private record Advertised(Map<AttemptId, RoutingMessage.RunningPermit> permits, long receivedAtMs) {}
}
