package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.ChannelOption;
import io.netty.resolver.DefaultAddressResolverGroup;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/**
 * Checks by connecting whether a process listens at a target's address; concurrent checks of one kind and address share
 * a connection.
 *
 * <p>Thread-safe.
 */
final class TargetProbe {

    /** How long connecting may take, in ms: several times the latency between regions. */
    private static final int TIMEOUT_MS = 200;

    /**
     * The pause before a second connection, in ms: a stopping process may still listen while its connections are
     * already closed.
     */
    static final long CONFIRM_PAUSE_MS = 50;

    private final Map<InetSocketAddress, Mono<Boolean>> pending = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, Mono<Boolean>> pendingConnects = new ConcurrentHashMap<>();
    private final Scheduler scheduler;
    private final TcpClient client;

    TargetProbe(LoopResources loops, Scheduler scheduler) {
        this.scheduler = scheduler;
        this.client = TcpClient.newConnection()
                .resolver(DefaultAddressResolverGroup.INSTANCE)
                .runOn(loops, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MS);
    }

    /** Returns whether connecting succeeds twice, the second time after a pause. */
    Mono<Boolean> isListening(InetSocketAddress address) {
        return pending.computeIfAbsent(address, this::probe);
    }

    /** Returns whether connecting succeeds once. */
    Mono<Boolean> canConnect(InetSocketAddress address) {
        return pendingConnects.computeIfAbsent(address, key -> connect(key)
                .doOnTerminate(() -> pendingConnects.remove(key))
                .cache());
    }

    private Mono<Boolean> probe(InetSocketAddress address) {
        Mono<Boolean> confirmation =
                Mono.delay(Duration.ofMillis(CONFIRM_PAUSE_MS), scheduler).then(connect(address));
        return connect(address)
                .flatMap(connected -> connected ? confirmation : Mono.just(false))
                .doOnTerminate(() -> pending.remove(address))
                .cache();
    }

    private Mono<Boolean> connect(InetSocketAddress address) {
        return client.remoteAddress(() -> address)
                .connect()
                .doOnNext(Connection::dispose)
                .map(connection -> true)
                .onErrorReturn(false);
    }
}
