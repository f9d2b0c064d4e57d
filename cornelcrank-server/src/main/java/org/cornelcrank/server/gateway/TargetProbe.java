package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

import io.netty.channel.ChannelOption;
import io.netty.resolver.DefaultAddressResolverGroup;
import reactor.core.publisher.Mono;
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

    private final Map<InetSocketAddress, Mono<Boolean>> open = new HashMap<>();
    private final TcpClient client;

    TargetProbe(LoopResources loops) {
        this.client = TcpClient.newConnection()
                .resolver(DefaultAddressResolverGroup.INSTANCE)
                .runOn(loops, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MS);
    }

    /** Returns whether a connection came about. */
    Mono<Boolean> listens(InetSocketAddress address) {
        return open.computeIfAbsent(address, this::probe);
    }

    private Mono<Boolean> probe(InetSocketAddress address) {
        return client.remoteAddress(() -> address)
                .connect()
                .doOnNext(connection -> connection.disposeNow())
                .map(connection -> true)
                .onErrorReturn(false)
                .doOnTerminate(() -> open.remove(address))
                .cache();
    }
}
