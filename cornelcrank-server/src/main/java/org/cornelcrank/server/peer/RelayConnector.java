package org.cornelcrank.server.peer;

import java.net.InetSocketAddress;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;

/**
 * Connects to the targets of relayed connections.
 *
 * <p>Implementations are thread-safe.
 */
interface RelayConnector {

    /**
     * Connects to an address; nothing is read from the connection before its handler requests it.
     *
     * @param eventLoop the event loop of the connection
     * @param handler the handler of the connection
     * @return the connection, which fails if the address cannot be reached
     */
    ChannelFuture connect(EventLoop eventLoop, InetSocketAddress address, ChannelHandler handler);
}
