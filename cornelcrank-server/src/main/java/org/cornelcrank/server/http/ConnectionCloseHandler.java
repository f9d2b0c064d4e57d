package org.cornelcrank.server.http;

import java.util.Objects;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import reactor.netty.NettyPipeline;

/**
 * Asks callers to close their connections in each response that begins while the daemon is stopping, also if the
 * request arrived before.
 *
 * <p>Thread-safe.
 */
@Sharable
public final class ConnectionCloseHandler extends ChannelOutboundHandlerAdapter {

    private static final String NAME = "cornelcrank.connection-close";

    private final RequestGate requests;

    /** Creates a handler for the connections of the daemon whose requests the gate admits. */
    public ConnectionCloseHandler(RequestGate requests) {
        this.requests = Objects.requireNonNull(requests, "requests must not be null");
    }

    /** Adds the handler to a new connection to an HTTP server. */
    public void addTo(Channel channel) {
        channel.pipeline().addBefore(NettyPipeline.ReactiveBridge, NAME, this);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (requests.stopping()
                && message instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            HttpUtil.setKeepAlive(response, false);
        }
        super.write(context, message, promise);
    }
}
