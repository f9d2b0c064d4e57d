package org.cornelcrank.routing;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.routing.wire.WireOccupancy;

/**
 * Publishes the occupancy of controlled targets within the data centre when it has changed materially, but not too
 * often.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class OccupancyPublisher {

    static final String KEY_PREFIX = "occupancy/";

    private static final double MATERIAL_CHANGE = 0.25;

    private final RoutingSettings.Permits settings;
    private final Dissemination dissemination;
    private final Map<TargetId, Published> published = new TreeMap<>();
    private Map<TargetId, String> watched = Map.of();

    OccupancyPublisher(RoutingSettings.Permits settings, Dissemination dissemination) {
        this.settings = settings;
        this.dissemination = dissemination;
    }

    void watch(Map<TargetId, String> targets) {
        watched = Map.copyOf(targets);
        published.keySet().retainAll(watched.keySet());
    }

    Map<TargetId, String> watched() {
        return watched;
    }

    void publish(TargetId target, TargetOccupancy occupancy, long nowMs, Effects out) {
        Published last = published.get(target);
        if (last != null
                && (nowMs - last.atMs < settings.occupancyIntervalMs() || !differs(last.occupancy, occupancy))) {
            return;
        }
        published.put(target, new Published(occupancy, nowMs));
        Fact fact = new Fact(
                RoutingStateMachine.NAME,
                KEY_PREFIX + target,
                nowMs,
                RoutingMessageCodec.occupancy(occupancy).toByteString(),
                settings.occupancyStaleMs(),
                Fact.Scope.DATA_CENTRE);
        dissemination.publish(fact, nowMs, out);
    }

    private static boolean differs(TargetOccupancy before, TargetOccupancy after) {
        int change = Math.abs(before.running() + before.waiting() - after.running() - after.waiting());
        return change >= Math.max(1, after.slots() * MATERIAL_CHANGE)
                || before.slots() != after.slots()
                || !before.loaded().equals(after.loaded());
    }

    /** Decodes a published occupancy; empty if it is malformed. */
    static Optional<TargetOccupancy> occupancyOf(Fact fact) {
        try {
            return Optional.of(RoutingMessageCodec.occupancy(WireOccupancy.parseFrom(fact.value())));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    private record Published(TargetOccupancy occupancy, long atMs) {}
}
