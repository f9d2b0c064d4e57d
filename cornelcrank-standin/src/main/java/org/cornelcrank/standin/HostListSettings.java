package org.cornelcrank.standin;

import java.util.List;
import java.util.Objects;

/**
 * Settings of the stand-in for the host list.
 *
 * <p>{@code lagMs} is the time until a change becomes visible; the hosts given here are visible immediately. Immutable,
 * thus thread-safe.
 */
public record HostListSettings(String host, int port, long lagMs, List<ListedHost> hosts) {

    public HostListSettings {
        Objects.requireNonNull(host, "host must not be null");
        if (lagMs < 0) {
            throw new IllegalArgumentException("lagMs must not be negative but was " + lagMs);
        }
        hosts = List.copyOf(hosts);
    }

    /** Returns an empty list without lag on any free port of the loopback address. */
    public static HostListSettings defaults() {
        return new HostListSettings("127.0.0.1", 0, 0, List.of());
    }

    public HostListSettings withPort(int newPort) {
        return new HostListSettings(host, newPort, lagMs, hosts);
    }

    public HostListSettings withLagMs(long newLagMs) {
        return new HostListSettings(host, port, newLagMs, hosts);
    }

    public HostListSettings withHosts(List<ListedHost> newHosts) {
        return new HostListSettings(host, port, lagMs, newHosts);
    }
}
