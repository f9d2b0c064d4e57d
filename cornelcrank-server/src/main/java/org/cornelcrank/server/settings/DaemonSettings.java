package org.cornelcrank.server.settings;

import java.io.File;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.RegionId;

/**
 * Validated settings of a daemon process.
 *
 * <p>Immutable, thus thread-safe.
 */
public record DaemonSettings(
        String deployment,
        HostId host,
        Location location,
        InetSocketAddress httpAddress,
        InetSocketAddress peerAddress,
        Map<HostId, String> seeds,
        URI logUrl,
        URI hostsUrl,
        String sharedKey,
        Optional<String> operatorKey,
        List<RegionId> regions,
        int partitionsPerRegion,
        String policy,
        int maxBodyBytes,
        int maxAnswerBytes,
        long drainDelayMs,
        long drainTimeoutMs,
        long reportIntervalMs,
        long hostsIntervalMs,
        Optional<TlsFiles> tls,
        String logFormat,
        long seed) {

    public DaemonSettings {
        seeds = Map.copyOf(seeds);
        regions = List.copyOf(regions);
    }

    /** The PEM files for TLS with callers and between peers. */
    public record TlsFiles(File certificates, File privateKey, File authority) {}
}
