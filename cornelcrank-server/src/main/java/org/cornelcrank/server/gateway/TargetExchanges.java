package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.util.Objects;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.NettyPipeline;

/**
 * The exchanges of one connection to a target: how many there were, and whether a response is due.
 *
 * <p>Invariant: a response is due from the start of a request until the end of its final response. Not thread-safe:
 * confined to the connection's event loop.
 */
final class TargetExchanges {

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.target");

    private static final AttributeKey<TargetExchanges> KEY = AttributeKey.valueOf("cornelcrank-target-exchanges");

    private static final String NO_REQUEST = "no-request";

    private final Channel channel;
    private final MetricRegistry metrics;
    private int exchanges;
    private boolean responseDue;
    private boolean interim;
    private Framing framing = Framing.CLOSE;

    /** What ends the body of a response. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CLOSE
    }

    private TargetExchanges(Channel channel, MetricRegistry metrics) {
        this.channel = channel;
        this.metrics = metrics;
    }

    /** Starts to follow the exchanges of a new connection. */
    static void follow(Channel channel, MetricRegistry metrics) {
        TargetExchanges exchanges = new TargetExchanges(channel, metrics);
        channel.attr(KEY).set(exchanges);
        channel.pipeline().addFirst(exchanges.new Bytes());
        channel.pipeline().addAfter(NettyPipeline.HttpCodec, null, exchanges.new Messages());
    }

    /** Returns the exchanges of a connection that is followed. */
    static TargetExchanges of(Channel channel) {
        return Objects.requireNonNull(channel.attr(KEY).get(), "the connection must be followed");
    }

    /** Returns which exchange of its connection the present or last one is, counted from 1. */
    int number() {
        return exchanges;
    }

    /** Returns what ends the body of the present or last response. */
    Framing framing() {
        return framing;
    }

    /** Returns the local port, which identifies the connection. */
    int localPort() {
        return channel.localAddress() instanceof InetSocketAddress address ? address.getPort() : 0;
    }

    private void onBytesWithoutRequest(int receivedBytes) {
        metrics.counter("responses.rejected." + NO_REQUEST).inc();
        LOGGER.atWarn()
                .addKeyValue("target", channel.remoteAddress())
                .addKeyValue("connection", localPort())
                .addKeyValue("exchange", exchanges)
                .addKeyValue("receivedBytes", receivedBytes)
                .log("bytes received while no response is due");
    }

    private void onResponse(HttpResponse response) {
        interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (HttpUtil.isTransferEncodingChunked(response)) {
            framing = Framing.CHUNKS;
        } else {
            framing = HttpUtil.isContentLengthSet(response) ? Framing.LENGTH : Framing.CLOSE;
        }
    }

    /** Sees the bytes of the connection before they are decoded. */
    private final class Bytes extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!responseDue && message instanceof ByteBuf bytes) {
                onBytesWithoutRequest(bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }
    }

    /** Sees the requests and the decoded parts of responses. */
    private final class Messages extends ChannelDuplexHandler {

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest) {
                exchanges++;
                responseDue = true;
                framing = Framing.CLOSE;
            }
            context.write(message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpResponse response) {
                onResponse(response);
            }
            if (message instanceof LastHttpContent) {
                responseDue = interim;
            }
            context.fireChannelRead(message);
        }
    }
}
