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
import org.cornelcrank.server.exchange.ExchangeRegistry;
import org.cornelcrank.server.loop.CoreLoop;
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
 * One running daemon: its decision core, and all I/O around it.
 *
 * <p>Invariant: a stop is graceful: it is announced, the front end keeps serving what arrives, and the process ends once
 * nothing that it has begun would be cut, or when the time to drain is over. Thread-safe.
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
    private final AtomicBoolean stopping;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    private DaemonProcess(DaemonIo edge, PeerTransport transport, DisposableServer http, Disposable hostList) {
        this.settings = edge.settings();
        this.loop = edge.loop();
        this.assembly = edge.assembly();
        this.exchanges = edge.exchanges();
        this.watcher = edge.watcher();
        this.stopping = edge.stopping();
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
        DaemonIo edge = DaemonIo.create(settings, SocketAddresses.withFreePort(settings.peerAddress()));
        PeerTransport transport = edge.newTransport();
        edge.loop().addRunner(transport);
        transport.bind(edge.peerAddress());
        DisposableServer http = edge.newApiServer().bind(settings.httpAddress(), edge.serverTls());
        Disposable hostList = edge.newHostListPoller().start();
        DaemonProcess process = new DaemonProcess(edge, transport, http, hostList);
        edge.loop().addRunner(process::exitAsked);
        edge.loop().post(new Event.Started());
        LOGGER.info(
                "Daemon {} serves at {}, peers at {}",
                settings.host(),
                process.httpAddress(),
                SocketAddresses.format(edge.peerAddress()));
        return process;
    }

    /**
     * Returns where callers and operators reach this daemon.
     *
     * @return the address as {@code ip:port}
     */
    public String httpAddress() {
        return SocketAddresses.format((InetSocketAddress) http.address());
    }

    /**
     * Stops the daemon without cutting a request, and returns once it has ended.
     */
    public void stop() {
        if (stopping.compareAndSet(false, true)) {
            LOGGER.info("Daemon {} drains", settings.host());
            loop.post(new Event.StopRequested());
            boolean drained = Boolean.TRUE.equals(drained().block());
            LOGGER.info("Daemon {} ends, {}", settings.host(), drained ? "drained" : "time to drain is over");
            close();
            return;
        }
        awaitEnd();
    }

    /** Ends the daemon at once, as a crash would. */
    public void kill() {
        stopping.set(true);
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

    private boolean exitAsked(Effect effect) {
        if (!(effect instanceof Effect.Exit)) {
            return false;
        }
        Schedulers.boundedElastic().schedule(this::stop);
        return true;
    }

    private Mono<Boolean> drained() {
        Mono<Boolean> quiescent = loop.query(() -> exchanges.size() == 0
                && assembly.core().stateMachines().stream().allMatch(StateMachine::quiescent));
        return quiescent
                .filter(Boolean::booleanValue)
                .repeatWhenEmpty(checks -> checks.delayElements(Duration.ofMillis(DRAIN_CHECK_INTERVAL_MS)))
                .delaySubscription(Duration.ofMillis(settings.drainDelayMs()))
                .timeout(Duration.ofMillis(settings.drainDelayMs() + settings.drainTimeoutMs()), Mono.just(false));
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
