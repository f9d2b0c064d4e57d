package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.netty.channel.ChannelOption;
import io.netty.resolver.DefaultAddressResolverGroup;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/**
 * Finds out whether anything listens at a target's address; who asks meanwhile shares the connection.
 *
 * <p>Not thread-safe: confined to the event loop.
 */
final class TargetProbe {

    /** How long the connection may take, in ms: several ways between regions. */
    private static final int TIMEOUT_MS = 200;

    /** The pause before a second connection, in ms: a process that ends may still listen as its connections break. */
    static final long CONFIRM_PAUSE_MS = 50;

    private final Map<InetSocketAddress, Mono<Boolean>> open = new HashMap<>();
    private final Scheduler scheduler;
    private final TcpClient client;

    TargetProbe(LoopResources loops, Scheduler scheduler) {
        this.scheduler = scheduler;
        this.client = TcpClient.newConnection()
                .resolver(DefaultAddressResolverGroup.INSTANCE)
                .runOn(loops, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MS);
    }

    /** Returns whether a connection came about, and another one after a pause. */
    Mono<Boolean> listens(InetSocketAddress address) {
        return open.computeIfAbsent(address, this::probe);
    }

    private Mono<Boolean> probe(InetSocketAddress address) {
        Mono<Boolean> again =
                Mono.delay(Duration.ofMillis(CONFIRM_PAUSE_MS), scheduler).then(connect(address));
        return connect(address)
                .flatMap(connected -> connected ? again : Mono.just(false))
                .doOnTerminate(() -> open.remove(address))
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
