package org.cornelcrank.server.peer;

import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.server.wire.RelayRefused;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The connections to targets that this daemon relays for its peers.
 *
 * <p>A peer that cannot reach a target itself names it; this daemon looks up the address, connects directly, and forwards
 * bytes. Invariant: at most {@link #MAX_CONNECTIONS} are relayed at a time, and none is opened while the daemon stops.
 * Thread-safe, except that the addresses are looked up on the event loop of the peers' connections, which thus has to be
 * that of the core.
 */
public final class RelayedConnections {

    /**
     * Maximum number of connections that are relayed at a time: each buffers up to 128 KiB in both directions, thus all
     * together up to 64 MiB.
     */
    static final int MAX_CONNECTIONS = 512;

    /** How long no byte may have been carried, in ms, until a daemon that stops does not wait for a connection. */
    static final long QUIET_MS = 1_000;

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.relay");

    private final Set<RelayedConnection> open = ConcurrentHashMap.newKeySet();
    private final Function<TargetId, Optional<String>> addresses;
    private final BooleanSupplier stopping;
    private final LongSupplier clock;
    private final MetricRegistry metrics;
    private final Counter opened;
    private final Counter carriedBytes;

    /**
     * Creates the registry without connections.
     *
     * @param addresses resolves a target's address; called on the event loop of the peers' connections
     * @param stopping returns whether the daemon is stopping
     * @param clock provides the current time in ms
     * @param metrics receives the gauge of open connections and the counters
     */
    public RelayedConnections(
            Function<TargetId, Optional<String>> addresses,
            BooleanSupplier stopping,
            LongSupplier clock,
            MetricRegistry metrics) {
        this.addresses = Objects.requireNonNull(addresses, "addresses must not be null");
        this.stopping = Objects.requireNonNull(stopping, "stopping must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.metrics = Objects.requireNonNull(metrics, "metrics must not be null");
        this.opened = metrics.counter("relay.opened");
        this.carriedBytes = metrics.counter("relay.bytes");
        metrics.registerGauge("relay.connections", open::size);
    }

    /**
     * Returns whether no target owes a response and no connection has carried a byte for some time, so that a daemon that
     * stops may end.
     */
    public boolean quiet(long nowMs) {
        return open.stream()
                .allMatch(connection -> !connection.awaitsTarget() && nowMs - connection.lastByteAtMs() >= QUIET_MS);
    }

    /** Reserves the place of a connection that a peer asks for. */
    RelayedConnection reserve(HostId peer, String target) {
        RelayedConnection connection = new RelayedConnection(this, peer, target, clock.getAsLong());
        open.add(connection);
        return connection;
    }

    /** Returns why a connection whose place is reserved is refused; empty if it may be opened. */
    Optional<RelayRefused.Reason> refusalReason() {
        if (stopping.getAsBoolean()) {
            return Optional.of(RelayRefused.Reason.STOPPING);
        }
        return open.size() > MAX_CONNECTIONS ? Optional.of(RelayRefused.Reason.NO_ROOM) : Optional.empty();
    }

    /** Returns the address of a target; empty if it is not in this daemon's directory. */
    Optional<InetSocketAddress> address(String target) {
        if (!Names.isName(target)) {
            return Optional.empty();
        }
        try {
            return addresses.apply(new TargetId(target)).map(SocketAddresses::parse);
        } catch (IllegalArgumentException e) {
            LOGGER.atWarn().addKeyValue("target", target).log("target has no valid address: " + e.getMessage());
            return Optional.empty();
        }
    }

    /** Records bytes and returns the current time in ms. */
    long carried(int bytes) {
        carriedBytes.inc(bytes);
        return nowMs();
    }

    long nowMs() {
        return clock.getAsLong();
    }

    void opened(RelayedConnection connection) {
        opened.inc();
        line(connection).log("relayed connection opened");
    }

    void refused(RelayedConnection connection, RelayRefused.Reason reason) {
        open.remove(connection);
        String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
        metrics.counter("relay.refused." + name).inc();
        line(connection).addKeyValue("reason", name).log("relayed connection refused");
    }

    void ended(RelayedConnection connection, String reason) {
        open.remove(connection);
        line(connection)
                .addKeyValue("reason", reason)
                .addKeyValue("bytes", connection.carriedBytes())
                .log("relayed connection ended");
    }

    private LoggingEventBuilder line(RelayedConnection connection) {
        return LOGGER.atInfo()
                .addKeyValue("target", connection.target())
                .addKeyValue("peer", connection.peer())
                .addKeyValue("ageMs", clock.getAsLong() - connection.openedAtMs());
    }
}
