package org.cornelcrank.server;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.gateway.Drain;
import org.cornelcrank.platform.PlatformDialect;
import org.cornelcrank.platform.PlatformDirectoryFormat;
import org.cornelcrank.platform.PlatformJobDialect;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.RunnerStandIn;
import org.cornelcrank.server.gateway.GatewayIo;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.PeerIdentity;
import org.cornelcrank.server.peer.PeerSecurity;
import org.cornelcrank.server.peer.RelayClient;
import org.cornelcrank.server.peer.RelayedConnections;
import org.cornelcrank.server.peer.SharedKey;
import org.cornelcrank.server.peer.SocketAddresses;
import org.cornelcrank.server.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests requests between whose selection of a route and whose routing the routes change. */
class RouteSelectionEndToEndTests {

    private static final String SERVICE = "\"service\":\"svc\"";
    private static final String OTHER_SERVICE = "\"service\":\"other-svc\"";
    private static final String[] ROUTES = {"idem", "unsafe", "stream", "once"};
    private static final long HANG_LIMIT_S = 30;

    private final MonotonicClock clock = new MonotonicClock();
    private final MetricRegistry metrics = new MetricRegistry();
    private final ObjectMapper json = new ObjectMapper();
    private final PlatformDirectoryFormat format = new PlatformDirectoryFormat(json);
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HeldScheduler scheduler = new HeldScheduler(Schedulers.fromExecutorService(group.next()));
    private final RunnerStandIn runner = new RunnerStandIn("i-1");
    private final RunnerStandIn other = new RunnerStandIn("i-2");
    private GatewaySettings settings;
    private GatewayAssembly assembly;
    private CoreLoop loop;
    private GatewayIo io;

    @BeforeEach
    void start() throws Exception {
        settings = GatewayFleet.settings("host-0", "127.0.0.1:9", 0, 0);
        DaemonIdentity identity = new DaemonIdentity(
                settings.host(), 1, settings.location(), SocketAddresses.format(settings.peerAddress()));
        LoopResources loops = useNative -> group;
        assembly = GatewayAssembly.assemble(settings, identity, format, metrics);
        loop = new CoreLoop(assembly.core(), clock, scheduler, metrics);
        io = new GatewayIo(new GatewayIo.Dependencies(
                settings,
                identity,
                loop,
                clock,
                new PlatformDialect(),
                new PlatformJobDialect(json),
                assembly.routes(),
                loops,
                new RelayClient(
                        new PeerSecurity(
                                new PeerIdentity("test", identity.host(), 1), new SharedKey("test"), Optional.empty()),
                        assembly.membership()::address),
                new RelayedConnections(assembly.routing()::targetAddress, () -> false, clock::nowMs, metrics),
                new Drain(0, 0),
                metrics));
        io.addRunners(loop);
        loop.addRunner(effect -> true);
        io.bind();
        loop.post(new Event.Started());
        loop.post(new Event.HostListRead(List.of(entry(runner, "svc"), entry(other, "other-svc"))));
        install(RoutesStandIn.table(1, ROUTES));
    }

    private HostEntry entry(RunnerStandIn target, String service) throws Exception {
        String address = json.readTree(target.entry(service, "dc-a", "ready"))
                .get("address")
                .textValue();
        return new HostEntry(
                target.id(), HostRole.TARGET, settings.location(), address, Set.of(new ServiceName(service)), false);
    }

    @AfterEach
    void stop() {
        io.close();
        group.shutdownGracefully(0, HANG_LIMIT_S, TimeUnit.SECONDS);
        runner.close();
        other.close();
    }

    private void install(String table) throws Exception {
        group.next()
                .submit(() -> assembly.routes()
                        .install(
                                format.routeTable(ByteString.copyFromUtf8(table))
                                        .orElseThrow(),
                                clock.nowMs(),
                                new Effects()))
                .get(HANG_LIMIT_S, TimeUnit.SECONDS);
    }

    /** Guards against requests that are refused because their route moved or was dropped just after its selection. */
    @ParameterizedTest
    @ValueSource(strings = {"idem", "unsafe", "stream", "once"})
    void requestWhoseRouteChangesAfterItsSelectionRunsAtTheSelectedService(String route) throws Exception {
        assertRunsBeside(route, "moved", RoutesStandIn.table(2, ROUTES).replace(SERVICE, OTHER_SERVICE));
        install(RoutesStandIn.table(3, ROUTES));
        assertRunsBeside(route, "dropped", RoutesStandIn.table(4, "batch"));
        assertThat(other.runs()).isZero();
    }

    /** Sends a request, and installs the routes after its route has been selected. */
    private void assertRunsBeside(String route, String requestId, String table) throws Exception {
        scheduler.hold();
        CompletableFuture<HttpResponse<String>> response = send(route, requestId);
        GatewayFleet.await(scheduler::holdsTasks);
        install(table);
        scheduler.release();
        assertThat(response.get(HANG_LIMIT_S, TimeUnit.SECONDS).body()).doesNotContain("may not use");
        assertThat(response.get().statusCode()).isEqualTo(200);
        assertThat(runner.runs(requestId)).isOne();
    }

    private CompletableFuture<HttpResponse<String>> send(String route, String requestId) {
        URI uri = URI.create("http://" + SocketAddresses.format(settings.httpAddress()) + "/" + route + "/1");
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .build()
                .sendAsync(
                        HttpRequest.newBuilder(uri)
                                .setHeader("Host", GatewayFleet.HOST)
                                .header("Request-Id", requestId)
                                .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    }

    /** Runs tasks on an event loop; those that are submitted while it holds run after its release. */
    private static final class HeldScheduler implements Scheduler {

        private final Scheduler loop;
        private final Queue<Runnable> held = new ConcurrentLinkedQueue<>();
        private volatile boolean holds;

        HeldScheduler(Scheduler loop) {
            this.loop = loop;
        }

        void hold() {
            holds = true;
        }

        boolean holdsTasks() {
            return !held.isEmpty();
        }

        void release() {
            holds = false;
            held.forEach(loop::schedule);
            held.clear();
        }

        @Override
        public Disposable schedule(Runnable task) {
            if (holds) {
                held.add(task);
                return Disposables.disposed();
            }
            return loop.schedule(task);
        }

        @Override
        public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
            return loop.schedule(task, delay, unit);
        }

        @Override
        public Worker createWorker() {
            return loop.createWorker();
        }
    }
}
