package org.cornelcrank.daemon;

import java.util.List;
import java.util.Map;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.RegionId;

/**
 * What the duties of one daemon are built with.
 *
 * <p>{@code regions} and {@code partitionsPerRegion} are the same on every daemon of the deployment, for ever.
 * Immutable, thus thread-safe.
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
