package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.resolver.DefaultAddressResolverGroup;
import io.netty.util.AttributeKey;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.http.StrictResponses;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.RelayClient;
import org.cornelcrank.server.peer.RelayRoute;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * The ways in which this daemon connects to targets: HTTP clients with pools of connections, and probes.
 *
 * <p>Invariants: each relayed way to a target has a pool of its own, so that a connection to one target never carries a
 * request for another; the pool of a way that is no longer used is closed within twice {@link #ROUTE_IDLE_MS}. Not thread-safe:
 * confined to the event loop.
 */
final class TargetConnections {

    /** How long connecting to a target, also through a peer, may take, in ms: several times the latency between regions. */
    static final int CONNECT_TIMEOUT_MS = 500;

    /** Maximum number of connections that one daemon opens to one target, or to one target through one peer. */
    static final int MAX_CONNECTIONS_PER_TARGET = 64;

    /** Maximum number of bytes that a target may send for one request, head and events included. */
    static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    /** How long the unused pool of a relayed way is kept at least, in ms; its connections occupy places at the peer. */
    static final long ROUTE_IDLE_MS = 5_000;

    /** How long a pooled connection may stay idle if the target specifies no timeout, in ms. */
    private static final long DEFAULT_IDLE_MS = 4_000;

    private static final AttributeKey<Long> IDLE_LIMIT_MS = AttributeKey.valueOf("cornelcrank-idle-limit-ms");

    private final Map<RelayRoute, RelayedClient> relayed = new HashMap<>();
    private final LoopResources loops;
    private final RelayClient relays;
    private final Scheduler scheduler;
    private final MonotonicClock clock;
    private final long relayTimeoutMs;
    private final MetricRegistry metrics;
    private final TargetProbe probe;
    private final HttpClient direct;
    private Disposable eviction = Disposables.disposed();

    /**
     * Creates the ways without connections.
     *
     * @param loops provides the event loop of the connections
     * @param relays makes connections to peers carry those to targets
     * @param relayTimeoutMs how long it may take to open a connection through a peer, in ms
     * @param scheduler closes pools that are no longer used
     * @param clock provides the current time
     * @param metrics receives the gauge of ways through peers, and the counters of connections
     */
    TargetConnections(
            LoopResources loops,
            RelayClient relays,
            long relayTimeoutMs,
            Scheduler scheduler,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.loops = Objects.requireNonNull(loops, "loops must not be null");
        this.relays = Objects.requireNonNull(relays, "relays must not be null");
        this.relayTimeoutMs = relayTimeoutMs;
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.metrics = Objects.requireNonNull(metrics, "metrics must not be null");
        this.probe = new TargetProbe(loops, scheduler);
        this.direct = newClient(newPool("targets"), channel -> {});
        metrics.registerGauge("attempts.relay-routes", relayed::size);
    }

    /** Returns the client of connections that this daemon opens itself. */
    HttpClient direct(InetSocketAddress address) {
        return direct.remoteAddress(() -> address);
    }

    /**
     * Returns the client of connections to a target that a peer relays; it is in use until it is closed. Empty if the
     * peer has no known address.
     */
    Optional<RelayedClient> relayed(HostId relay, TargetId target) {
        Optional<RelayedClient> client =
                relays.route(relay, target).map(route -> relayed.computeIfAbsent(route, RelayedClient::new));
        client.ifPresent(used -> used.users++);
        return client;
    }

    /** Returns the probe of targets to which this daemon connects itself. */
    TargetProbe probe() {
        return probe;
    }

    /** Remembers how long the target keeps an idle connection open, in ms. */
    static void limitIdleTime(Channel channel, long idleLimitMs) {
        channel.attr(IDLE_LIMIT_MS).set(idleLimitMs);
    }

    private static ConnectionProvider newPool(String name) {
        return ConnectionProvider.builder(name)
                .maxConnections(MAX_CONNECTIONS_PER_TARGET)
                .pendingAcquireMaxCount(-1)
                .lifo()
                .evictionPredicate((connection, metadata) -> {
                    if (TargetExchanges.of(connection.channel()).exhausted()) {
                        return true;
                    }
                    Long limitMs = connection.channel().attr(IDLE_LIMIT_MS).get();
                    return metadata.idleTime() > (limitMs == null ? DEFAULT_IDLE_MS : limitMs);
                })
                .build();
    }

    private HttpClient newClient(ConnectionProvider pool, Consumer<Channel> onInit) {
        return HttpClient.create(pool)
                .resolver(DefaultAddressResolverGroup.INSTANCE)
                .runOn(loops, false)
                .disableRetry(true)
                .followRedirect(false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .doOnChannelInit((observer, channel, address) -> {
                    TargetExchanges.follow(channel, metrics);
                    StrictResponses.require(channel);
                    LastArrival.follow(channel, clock);
                    channel.pipeline().addFirst(new ResponseLimit(MAX_RESPONSE_BYTES));
                    onInit.accept(channel);
                });
    }

    private void scheduleEviction() {
        if (eviction.isDisposed() && !relayed.isEmpty()) {
            eviction = scheduler.schedule(this::evict, ROUTE_IDLE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void evict() {
        eviction = Disposables.disposed();
        for (Iterator<RelayedClient> clients = relayed.values().iterator(); clients.hasNext(); ) {
            RelayedClient client = clients.next();
            if (client.users == 0 && !client.usedSinceCheck) {
                clients.remove();
                client.pool.dispose();
            }
            client.usedSinceCheck = false;
        }
        scheduleEviction();
    }

    /** The client of one relayed way to a target, which is in use by a number of attempts. */
    final class RelayedClient {

        private final ConnectionProvider pool = newPool("relayed");
        private final HttpClient client;
        private int users;
        private boolean usedSinceCheck;

        RelayedClient(RelayRoute route) {
            this.client = newClient(pool, channel -> relays.relay(channel, route, relayTimeoutMs))
                    .remoteAddress(route::address);
        }

        HttpClient http() {
            return client;
        }

        /** Ends the use by one attempt. */
        void close() {
            users--;
            usedSinceCheck = true;
            scheduleEviction();
        }
    }
}
