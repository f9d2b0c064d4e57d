package org.cornelcrank.server.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.platform.PlatformDialect;
import org.cornelcrank.routing.OnlineRequest;
import org.cornelcrank.routing.RequestOptions;
import org.cornelcrank.server.FreePorts;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.PeerCodecs;
import org.cornelcrank.server.peer.PeerIdentity;
import org.cornelcrank.server.peer.PeerSecurity;
import org.cornelcrank.server.peer.PeerTransport;
import org.cornelcrank.server.peer.RelayClient;
import org.cornelcrank.server.peer.RelayedConnections;
import org.cornelcrank.server.peer.SharedKey;
import org.cornelcrank.server.peer.SocketAddresses;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * The client of the targets in one daemon, and peers that relay its attempts, on loopback addresses; the test decides
 * what is dispatched.
 *
 * <p>Thread-safe.
 */
final class RelayedAttempts implements AutoCloseable {

    static final HostId HOST = new HostId("host");
    static final HostId RELAY = new HostId("relay");
    static final String KEY = "secret";

    private static final long HANG_LIMIT_S = 30;
    /** How long a target may take to respond, in ms. */
    static final long TIMEOUT_MS = 20_000;

    final MetricRegistry metrics = new MetricRegistry();
    final MetricRegistry relayMetrics = new MetricRegistry();
    final AtomicBoolean relayStopping = new AtomicBoolean();
    final Map<TargetId, String> relayDirectory = new ConcurrentHashMap<>();
    final Map<HostId, String> peers = new ConcurrentHashMap<>();
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final MonotonicClock clock = new MonotonicClock();
    private final CoreLoop loop = new CoreLoop(
            new DaemonCore(List.of(new EventRecorder(events)), new DecisionJournal(1, 1), dispatch -> {}),
            clock,
            Schedulers.fromExecutorService(group.next(), "shared"),
            metrics);
    private final DaemonIdentity identity =
            new DaemonIdentity(HOST, 1, new Location(new RegionId("region"), new DataCentreId("dc")), "127.0.0.1:1");
    private final GatewayCalls calls = new GatewayCalls(identity, loop, clock, new OpenRequests(metrics), metrics);
    private final GatewayTargetClient client;
    private final List<PeerTransport> transports = new ArrayList<>();
    private int lastAttempt;

    /** Creates the client, which waits that long for a peer to open a connection. */
    RelayedAttempts(long relayTimeoutMs) {
        client = new GatewayTargetClient(
                loop,
                calls,
                new PlatformDialect(),
                clock,
                new TargetConnections(
                        useNative -> group,
                        new RelayClient(security(HOST, KEY), host -> Optional.ofNullable(peers.get(host))),
                        relayTimeoutMs,
                        loop.scheduler(),
                        clock,
                        metrics),
                MemoryLimit.ofResponses(TargetConnections.MAX_RESPONSE_BYTES, metrics),
                metrics);
    }

    static PeerSecurity security(HostId host, String key) {
        return new PeerSecurity(new PeerIdentity("test", host, 1), new SharedKey(key), Optional.empty());
    }

    /** Starts the peer that relays. */
    PeerTransport startRelay() throws IOException {
        return startPeer(
                RELAY,
                KEY,
                Optional.of(new RelayedConnections(
                        target -> Optional.ofNullable(relayDirectory.get(target)),
                        relayStopping::get,
                        clock::nowMs,
                        relayMetrics)));
    }

    PeerTransport startPeer(HostId host, String key, Optional<RelayedConnections> relays) throws IOException {
        PeerTransport transport = new PeerTransport(
                security(host, key),
                new PeerCodecs(List.of()),
                to -> Optional.empty(),
                loop,
                clock,
                new MetricRegistry(),
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", FreePorts.next());
        peers.put(host, SocketAddresses.format(transport.bind(address, relays)));
        transports.add(transport);
        return transport;
    }

    /** Ends a peer as a crash would. */
    void end(PeerTransport transport) {
        transports.remove(transport);
        transport.close();
    }

    /** Opens a call whose request must not be repeated. */
    GatewayCall call(String requestId, String body) {
        HttpHeaders headers = new DefaultHttpHeaders()
                .set("Host", "a.example")
                .set("Request-Id", requestId)
                .set("Content-Length", body.length());
        RequestHead head = new RequestHead(
                requestId,
                "POST",
                "/path?query",
                "a.example",
                OptionalLong.empty(),
                List.of(),
                List.of(),
                0,
                0,
                OptionalLong.empty(),
                Optional.empty(),
                headers);
        OnlineRequest request = new OnlineRequest(
                new TeamPath("/team"),
                new ServiceName("svc"),
                Urgency.INTERACTIVE,
                Long.MAX_VALUE,
                false,
                false,
                List.of(),
                List.of(),
                0,
                0,
                false,
                RequestOptions.DEFAULTS);
        return onLoop(() -> calls.open(head, body.getBytes(StandardCharsets.ISO_8859_1), request, clock.nowMs()));
    }

    static DispatchSource item(String requestId) {
        return new DispatchSource.Prepared(
                requestId, "a.example", "POST", "/path", Map.of(), ByteString.copyFromUtf8("item"), 0);
    }

    AttemptId dispatch(DispatchSource source, TargetId target, String address, Optional<HostId> relay) {
        return onLoop(() -> {
            AttemptId attempt = new AttemptId(HOST, 1, ++lastAttempt);
            client.run(new Effect.Dispatch(attempt, target, address, relay, source, Optional.empty(), TIMEOUT_MS));
            return attempt;
        });
    }

    AttemptId dispatch(GatewayCall call, TargetId target, String address, Optional<HostId> relay) {
        return dispatch(new DispatchSource.FromCaller(call.id()), target, address, relay);
    }

    void run(Effect effect) {
        onLoop(() -> client.run(effect));
    }

    <T> T onLoop(Supplier<T> task) {
        return Mono.fromSupplier(task).subscribeOn(loop.scheduler()).block();
    }

    /** Drops the events that have happened. */
    void dropEvents() {
        onLoop(() -> {
            events.clear();
            return true;
        });
    }

    /** Waits for the outcome of an attempt; other events are dropped. */
    AttemptOutcome outcome(AttemptId attempt) throws InterruptedException {
        Event.AttemptEnded ended = next(Event.AttemptEnded.class);
        if (!ended.attempt().equals(attempt)) {
            throw new AssertionError("expected the end of " + attempt + " but was " + ended);
        }
        return ended.outcome();
    }

    AttemptOutcome.Failed failure(AttemptId attempt) throws InterruptedException {
        AttemptOutcome outcome = outcome(attempt);
        if (outcome instanceof AttemptOutcome.Failed failed) {
            return failed;
        }
        throw new AssertionError("expected a failure but was " + outcome);
    }

    /** Waits for the next event of a type and drops those before it. */
    <T extends Event> T next(Class<T> type) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_LIMIT_S);
        while (true) {
            Event event = events.poll(untilNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (event == null) {
                throw new AssertionError("no " + type.getSimpleName() + " within " + HANG_LIMIT_S + " s");
            }
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    @Override
    public void close() {
        transports.forEach(PeerTransport::close);
        loop.stop();
        group.shutdownGracefully(0, HANG_LIMIT_S, TimeUnit.SECONDS);
    }

    private record EventRecorder(BlockingQueue<Event> events) implements StateMachine {

        @Override
        public String name() {
            return "recorder";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            events.add(event);
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }
}
