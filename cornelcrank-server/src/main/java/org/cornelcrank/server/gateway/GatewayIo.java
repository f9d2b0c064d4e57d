package org.cornelcrank.server.gateway;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Event;
import org.cornelcrank.gateway.Drain;
import org.cornelcrank.gateway.RequestLimits;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.gateway.http.GatewayDialect;
import org.cornelcrank.job.JobDialect;
import org.cornelcrank.server.http.Probes;
import org.cornelcrank.server.http.RequestGate;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.RelayClient;
import org.cornelcrank.server.peer.RelayedConnections;
import org.cornelcrank.server.settings.GatewaySettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/**
 * Gateway's I/O layer: the listeners, the open calls and the client of the targets.
 *
 * <p>No listener is open before {@link #bind}. Not thread-safe, except for binding and closing.
 */
public final class GatewayIo {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayIo.class);

    private static final int PERCENT = 100;
    private static final long MAX_BODY_BUFFER_BYTES =
            RequestLimits.DEFAULT.maxBodyBytes() + BodyBuffer.MAX_SEGMENT_BYTES;

    private final GatewaySettings settings;
    private final LoopResources loops;
    private final CoreLoop loop;
    private final MonotonicClock clock;
    private final Drain drain;
    private final RequestGate requests;
    private final RelayedConnections relayedConnections;
    private final GatewayCalls calls;
    private final GatewayTargetClient targets;
    private final GatewayCommands commands;
    private final GatewayMonitor monitor;
    private final GatewayHttpServer server;
    private DisposableServer callerListener;
    private DisposableServer readinessListener;
    private DisposableServer metricsListener;

    /** Creates the I/O layer around the event loop of the decision core; opens no listener. */
    public GatewayIo(Dependencies dependencies) {
        this.settings = dependencies.settings();
        this.loops = dependencies.loops();
        this.loop = dependencies.loop();
        this.clock = dependencies.clock();
        this.drain = dependencies.drain();
        this.requests = new RequestGate(drain, clock, RequestLimits.DEFAULT.maxBodyBytes());
        this.relayedConnections = dependencies.relayedConnections();
        OpenRequests openRequests = new OpenRequests(dependencies.metrics());
        dependencies.metrics().registerGauge("gateway.unfinished-responses", requests::openRequests);
        this.calls = new GatewayCalls(
                dependencies.identity(),
                dependencies.loop(),
                dependencies.clock(),
                openRequests,
                dependencies.metrics());
        this.targets = new GatewayTargetClient(
                dependencies.loop(),
                calls,
                dependencies.dialect(),
                dependencies.clock(),
                new TargetConnections(
                        loops,
                        dependencies.relays(),
                        TargetConnections.CONNECT_TIMEOUT_MS,
                        dependencies.loop().scheduler(),
                        dependencies.clock(),
                        dependencies.metrics()),
                MemoryLimit.ofResponses(
                        maxMemoryBytes(TargetConnections.MAX_RESPONSE_BYTES, settings.responseMemoryPercent()),
                        dependencies.metrics()),
                dependencies.metrics());
        this.commands = new GatewayCommands(calls, openRequests, dependencies.loop());
        JobHttpHandler jobs = new JobHttpHandler(
                commands, dependencies.clock(), dependencies.jobDialect(), dependencies.dialect(), requests);
        this.monitor = new GatewayMonitor(
                new Probes(() -> Mono.just(readiness(dependencies)), dependencies.metrics()),
                commands,
                openRequests,
                requests);
        this.server = new GatewayHttpServer(
                calls,
                dependencies.dialect(),
                new ReadinessGate(dependencies.routes(), dependencies.loop().scheduler()),
                jobs,
                requests,
                MemoryLimit.ofRequestBodies(
                        maxMemoryBytes(MAX_BODY_BUFFER_BYTES, settings.requestMemoryPercent()), dependencies.metrics()),
                dependencies.metrics());
    }

    private static long maxMemoryBytes(long minBytes, int heapPercent) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return Math.max(minBytes, heapBytes / PERCENT * heapPercent);
    }

    private static Probes.Readiness readiness(Dependencies dependencies) {
        if (dependencies.drain().requested()) {
            return new Probes.Readiness(false, "leaving");
        }
        return dependencies.routes().ready()
                ? new Probes.Readiness(true, "ready")
                : new Probes.Readiness(false, "no routes are known yet");
    }

    /** Registers the runners of the effects that the I/O layer executes. */
    public void addRunners(CoreLoop loop) {
        loop.addRunner(calls);
        loop.addRunner(commands);
        loop.addRunner(targets);
        loop.addRunner(new TargetProbeRunner(loop, loops));
    }

    /** Opens the listeners. */
    public void bind() {
        callerListener = server.bind(settings.httpAddress(), loops);
        readinessListener = server.bindReadiness(settings.readinessAddress(), loops);
        settings.metricsAddress().ifPresent(address -> metricsListener = monitor.bind(address, loops));
    }

    /** Requests the stop of the daemon; returns whether this call was the first to do so. */
    public boolean requestStop() {
        return drain.request(clock.nowMs());
    }

    /**
     * Ends the open requests at the time limit, and closes the callers' listener and connections if the daemon may end,
     * before another request can be read from them; to be called on the event loop.
     *
     * @param coreIdle whether the decision core has no work in progress
     * @return whether the daemon may end
     */
    public boolean closeIfDrained(boolean coreIdle) {
        long nowMs = clock.nowMs();
        int openRequests = requests.openRequests();
        if (requests.endRequests(nowMs)) {
            LOGGER.info("Daemon {} ends {} open requests at its drain timeout", settings.host(), openRequests);
            loop.post(new Event.StopTimedOut(RequestGate.STOPPING));
        }
        boolean ends = drain.ends(nowMs, coreIdle && relayedConnections.quiet(nowMs), openRequests);
        if (ends) {
            callerListener.channel().close();
            server.closeConnections();
        }
        return ends;
    }

    /** Returns whether the time limit of the stop has passed. */
    public boolean drainTimedOut() {
        return drain.timedOut(clock.nowMs());
    }

    /** Closes the listeners and all connections. */
    public void close() {
        callerListener.disposeNow();
        readinessListener.disposeNow();
        if (metricsListener != null) {
            metricsListener.disposeNow();
        }
    }

    /** The dependencies of the I/O layer. */
    public record Dependencies(
            GatewaySettings settings,
            DaemonIdentity identity,
            CoreLoop loop,
            MonotonicClock clock,
            GatewayDialect dialect,
            JobDialect jobDialect,
            RouteTableSettings routes,
            LoopResources loops,
            RelayClient relays,
            RelayedConnections relayedConnections,
            Drain drain,
            MetricRegistry metrics) {}
}
