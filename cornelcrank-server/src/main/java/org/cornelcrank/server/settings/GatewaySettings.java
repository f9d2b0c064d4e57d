package org.cornelcrank.server.settings;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.RegionId;

/**
 * Validated settings of a daemon that serves a platform's callers.
 *
 * <p>Immutable, thus thread-safe.
 */
public record GatewaySettings(
        String deployment,
        HostId host,
        Location location,
        Map<DataCentreId, RegionId> dataCentres,
        InetSocketAddress httpAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        Optional<InetSocketAddress> metricsAddress,
        InetSocketAddress storeAddress,
        int storePartitions,
        int storeRecordBytes,
        int storeRequestBytes,
        String sharedKey,
        String policy,
        long drainDelayMs,
        long drainTimeoutMs,
        long jobRetentionMs,
        int responseMemoryPercent,
        int requestMemoryPercent,
        String logFormat,
        long seed) {

    public GatewaySettings {
        dataCentres = Map.copyOf(dataCentres);
    }
}
