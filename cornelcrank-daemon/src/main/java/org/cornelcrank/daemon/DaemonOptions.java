package org.cornelcrank.daemon;

import java.util.List;
import java.util.Map;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.RegionId;

/**
 * Options for building the state machines of one daemon.
 *
 * <p>{@code regions} and {@code partitionsPerRegion} must be the same on every daemon of the deployment and must never
 * change. Immutable, thus thread-safe.
 */
public record DaemonOptions(
        Map<HostId, String> seedAddresses, List<RegionId> regions, int partitionsPerRegion, String policy, long seed) {

    public DaemonOptions {
        seedAddresses = Map.copyOf(seedAddresses);
        regions = List.copyOf(regions);
        if (partitionsPerRegion < 1) {
            throw new IllegalArgumentException("partitionsPerRegion must be at least 1 but was " + partitionsPerRegion);
        }
    }
}
