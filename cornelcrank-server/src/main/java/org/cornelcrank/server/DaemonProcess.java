package org.cornelcrank.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.daemon.DaemonAssembly;
import org.cornelcrank.gateway.Drain;
import org.cornelcrank.server.exchange.ExchangeRegistry;
import org.cornelcrank.server.http.RequestGate;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.PeerTransport;
import org.cornelcrank.server.peer.SocketAddresses;
import org.cornelcrank.server.settings.DaemonSettings;
import org.cornelcrank.server.target.TargetWatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;

/**
 * A running daemon: its decision core and its I/O layer.
 *
 * <p>Invariant: a stop is graceful: it is announced to the peers, the HTTP server continues to accept requests, and the
 * process ends when no started work would be interrupted, or when the drain timeout has elapsed and the requests that
 * were open have got their final responses. Thread-safe.
 */
public final class DaemonProcess {

    private static final Logger LOGGER = LoggerFactory.getLogger(DaemonProcess.class);
    private static final long DRAIN_CHECK_INTERVAL_MS = 50;

    private final DaemonSettings settings;
    private final CoreLoop loop;
    private final DaemonAssembly assembly;
    private final ExchangeRegistry exchanges;
    private final PeerTransport transport;
    private final TargetWatcher watcher;
    private final Disposable hostList;
    private final DisposableServer http;
    private final MonotonicClock clock;
    private final Drain drain;
    private final RequestGate gate;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    private DaemonProcess(DaemonIo io, PeerTransport transport, DisposableServer http, Disposable hostList) {
        this.settings = io.settings();
        this.loop = io.loop();
        this.assembly = io.assembly();
        this.exchanges = io.exchanges();
        this.watcher = io.watcher();
        this.clock = io.clock();
        this.drain = io.drain();
        this.gate = io.gate();
        this.transport = transport;
        this.http = http;
        this.hostList = hostList;
    }

    /**
     * Starts a daemon.
     *
     * @param settings its settings
     * @return the running daemon
     * @throws IOException if a file of the settings cannot be read or no port is free
     */
    public static DaemonProcess start(DaemonSettings settings) throws IOException {
        DaemonIo io = DaemonIo.create(settings, SocketAddresses.withFreePort(settings.peerAddress()));
        PeerTransport transport = io.newTransport();
        io.loop().addRunner(transport);
        transport.bind(io.peerAddress());
        DisposableServer http = io.newApiServer().bind(settings.httpAddress(), io.serverTls());
        Disposable hostList = io.newHostListPoller().start();
        DaemonProcess process = new DaemonProcess(io, transport, http, hostList);
        io.loop().addRunner(process::exitRequested);
        io.loop().post(new Event.Started());
        LOGGER.info(
                "Daemon {} listens for callers at {} and for peers at {}",
                settings.host(),
                process.httpAddress(),
                SocketAddresses.format(io.peerAddress()));
        return process;
    }

    /**
     * Returns the address for callers and operators.
     *
     * @return the address as {@code ip:port}
     */
    public String httpAddress() {
        return SocketAddresses.format((InetSocketAddress) http.address());
    }

    /** Stops the daemon without interrupting a request, and returns when it has ended. */
    public void stop() {
        if (drain.request(clock.nowMs())) {
            LOGGER.info("Daemon {} drains", settings.host());
            loop.post(new Event.StopRequested());
            boolean drained = Boolean.TRUE.equals(drained().block());
            LOGGER.info("Daemon {} stops, {}", settings.host(), drained ? "drained" : "drain timeout elapsed");
            close();
            return;
        }
        awaitEnd();
    }

    /** Ends the daemon immediately, as a crash would. */
    public void kill() {
        drain.request(clock.nowMs());
        close();
    }

    /** Waits until the daemon has ended. */
    public void awaitEnd() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean exitRequested(Effect effect) {
        if (!(effect instanceof Effect.Exit)) {
            return false;
        }
        Schedulers.boundedElastic().schedule(this::stop);
        return true;
    }

    private Mono<Boolean> drained() {
        return loop.query(this::ends)
                .filter(Boolean::booleanValue)
                .repeatWhenEmpty(checks -> checks.delayElements(Duration.ofMillis(DRAIN_CHECK_INTERVAL_MS)))
                .map(ended -> !drain.timedOut(clock.nowMs()));
    }

    private boolean ends() {
        long nowMs = clock.nowMs();
        if (gate.endRequests(nowMs)) {
            endRequests();
        }
        return drain.ends(nowMs, idle(), openRequests());
    }

    /** Ends the open requests: the core replies to what it routes, and the rest may have run. */
    private void endRequests() {
        LOGGER.info("Daemon {} ends {} open requests at its drain timeout", settings.host(), openRequests());
        loop.post(new Event.StopTimedOut(RequestGate.STOPPING));
        loop.scheduler().schedule(() -> exchanges.endAll(RequestGate.STOPPING.message()));
    }

    private boolean idle() {
        return assembly.core().stateMachines().stream().allMatch(StateMachine::quiescent);
    }

    private int openRequests() {
        return Math.max(gate.openRequests(), exchanges.size());
    }

    private void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        hostList.dispose();
        watcher.stop();
        http.disposeNow();
        transport.close();
        loop.stop();
        stopped.countDown();
    }
}
