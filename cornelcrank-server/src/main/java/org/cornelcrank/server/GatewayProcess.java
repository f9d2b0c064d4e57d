package org.cornelcrank.server;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.gateway.Drain;
import org.cornelcrank.platform.PlatformDialect;
import org.cornelcrank.platform.PlatformDirectoryFormat;
import org.cornelcrank.platform.PlatformJobDialect;
import org.cornelcrank.platform.PlatformStoreClient;
import org.cornelcrank.server.gateway.GatewayIo;
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
import org.cornelcrank.server.settings.GatewaySettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * A running daemon that serves a platform's callers: its decision core and its I/O layer, all on one thread.
 *
 * <p>Only this class combines the product with the platform's formats. Invariant: a stop is graceful: the daemon
 * immediately reports itself as not ready and notifies its peers, and follows its {@link Drain} from then on.
 * Thread-safe.
 */
public final class GatewayProcess {

    private static final Logger LOGGER = LoggerFactory.getLogger(GatewayProcess.class);
    /** The time between two checks of whether the daemon has drained, in ms. */
    private static final long DRAIN_CHECK_INTERVAL_MS = 50;

    private final GatewaySettings settings;
    private final CoreLoop loop;
    private final DaemonCore core;
    private final GatewayIo io;
    private final PeerTransport transport;
    private final EventLoopGroup group;
    private final CountDownLatch stopped = new CountDownLatch(1);

    private GatewayProcess(
            GatewaySettings settings,
            CoreLoop loop,
            DaemonCore core,
            GatewayIo io,
            PeerTransport transport,
            EventLoopGroup group) {
        this.settings = settings;
        this.loop = loop;
        this.core = core;
        this.io = io;
        this.transport = transport;
        this.group = group;
    }

    /**
     * Starts a daemon.
     *
     * @param settings its settings
     * @return the running daemon
     * @throws IOException if no port is free
     */
    public static GatewayProcess start(GatewaySettings settings) throws IOException {
        MonotonicClock clock = new MonotonicClock();
        MetricRegistry metrics = new MetricRegistry();
        ObjectMapper json = new ObjectMapper();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("cornelcrank-io", true), NioIoHandler.newFactory());
        LoopResources loops = useNative -> group;
        Scheduler scheduler = Schedulers.fromExecutorService(group.next(), "cornelcrank-io");
        DaemonIdentity identity = new DaemonIdentity(
                settings.host(), clock.nowMs(), settings.location(), SocketAddresses.format(settings.peerAddress()));
        GatewayAssembly assembly =
                GatewayAssembly.assemble(settings, identity, new PlatformDirectoryFormat(json), metrics);
        CoreLoop loop = new CoreLoop(assembly.core(), clock, scheduler, metrics);
        Drain drain = new Drain(settings.drainDelayMs(), settings.drainTimeoutMs());
        PeerSecurity security = new PeerSecurity(
                new PeerIdentity(settings.deployment(), identity.host(), identity.incarnation()),
                new SharedKey(settings.sharedKey()),
                Optional.empty());
        RelayedConnections relayedConnections =
                new RelayedConnections(assembly.routing()::targetAddress, drain::requested, clock::nowMs, metrics);
        GatewayIo io = new GatewayIo(new GatewayIo.Dependencies(
                settings,
                identity,
                loop,
                clock,
                new PlatformDialect(),
                new PlatformJobDialect(json),
                assembly.routes(),
                loops,
                new RelayClient(security, assembly.membership()::address),
                relayedConnections,
                drain,
                metrics));
        PlatformStoreClient storeClient = new PlatformStoreClient(settings.storeAddress(), loops, json);
        PeerTransport transport = new PeerTransport(
                security,
                new PeerCodecs(GatewayAssembly.codecs()),
                assembly.membership()::address,
                loop,
                clock,
                metrics,
                group);
        io.addRunners(loop);
        loop.addRunner(transport);
        loop.addRunner(new StoreCallRunner(storeClient::call, loop));
        loop.addRunner(GatewayProcess::isIgnored);
        transport.bind(settings.peerAddress(), Optional.of(relayedConnections));
        io.bind();
        loop.post(new Event.Started());
        LOGGER.info(
                "Daemon {} listens for callers at {}", settings.host(), SocketAddresses.format(settings.httpAddress()));
        return new GatewayProcess(settings, loop, assembly.core(), io, transport, group);
    }

    /**
     * Returns whether the effect needs no action: targets are not watched, as permits count their load, and a reply
     * without an open call or command has no caller waiting for it.
     */
    private static boolean isIgnored(Effect effect) {
        return effect instanceof Effect.WatchTargets || effect instanceof Effect.Reply;
    }

    /**
     * Logs that the settings file has changed. Settings that can change at run time come from the store, so nothing is
     * read again.
     */
    public static void reload(GatewaySettings settings) {
        LOGGER.info("Daemon {} was notified of changed settings; they take effect at its next start", settings.host());
    }

    /** Stops the daemon without interrupting a request, and returns when it has ended. */
    public void stop() {
        if (!io.requestStop()) {
            return;
        }
        LOGGER.info("Daemon {} drains", settings.host());
        loop.post(new Event.StopRequested());
        boolean drained = awaitDrained();
        LOGGER.info("Daemon {} stops, {}", settings.host(), drained ? "drained" : "drain timeout elapsed");
        io.close();
        transport.close();
        loop.stop();
        group.shutdownGracefully();
        stopped.countDown();
    }

    /** Waits until the daemon has ended. */
    public void awaitEnd() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean awaitDrained() {
        while (!Boolean.TRUE.equals(loop.query(this::closeIfDrained).block())) {
            try {
                Thread.sleep(DRAIN_CHECK_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return !io.drainTimedOut();
    }

    private boolean closeIfDrained() {
        return io.closeIfDrained(core.stateMachines().stream().allMatch(StateMachine::quiescent));
    }
}
