package org.cornelcrank.server.peer;

import java.net.InetSocketAddress;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Connects over TCP.
 *
 * <p>An end of the target's bytes is reported as such rather than as a close, which may also follow a failure.
 * Immutable, thus thread-safe.
 */
final class RelayTcpConnector implements RelayConnector {

    /** How long connecting may take, in ms: several times the latency between regions. */
    private static final int CONNECT_TIMEOUT_MS = 200;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;

    @Override
    public ChannelFuture connect(EventLoop eventLoop, InetSocketAddress address, ChannelHandler handler) {
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, RelayedConnection.WATER_MARK)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                MIN_READ_BYTES, INITIAL_READ_BYTES, RelayedConnection.MAX_READ_BYTES))
                .handler(handler)
                .connect(address);
    }
}
