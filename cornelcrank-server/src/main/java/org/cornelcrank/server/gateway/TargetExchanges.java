package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Objects;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import org.cornelcrank.core.StableHash;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.NettyPipeline;

/**
 * The exchanges of one connection to a target: which requests it carried, and whether a response is due.
 *
 * <p>Invariants: the connection carries no request id twice, so that an id that a response states identifies its
 * exchange; a response is due from the start of a request until the end of its final response; the connection is closed
 * at once with the first byte that arrives while none is due, and such a byte never reaches the decoder. A connection
 * carries at most {@link #MAX_EXCHANGES} requests, which bounds what it remembers. Not thread-safe: confined to the
 * connection's event loop.
 */
final class TargetExchanges {

    /** Maximum number of requests of one connection. */
    static final int MAX_EXCHANGES = 1024;

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.target");

    private static final AttributeKey<TargetExchanges> KEY = AttributeKey.valueOf("cornelcrank-target-exchanges");

    private static final String NO_REQUEST = "no-request";
    private static final int INITIAL_IDS = 8;
    private static final long UNKNOWN = -1;

    private final Channel channel;
    private final MetricRegistry metrics;
    private long[] requestIdHashes = new long[INITIAL_IDS];
    private int exchanges;
    private boolean responseDue;
    private boolean interim;
    private Framing framing = Framing.CLOSE;
    private boolean headReceived;
    private long remainingBodyBytes = UNKNOWN;
    private boolean lineIsEmpty = true;
    private int undecodedBytes;
    private boolean closed;

    /** What ends the body of a response. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CLOSE
    }

    private TargetExchanges(Channel channel, MetricRegistry metrics) {
        this.channel = Objects.requireNonNull(channel, "channel must not be null");
        this.metrics = Objects.requireNonNull(metrics, "metrics must not be null");
    }

    /** Starts to follow the exchanges of a new connection. */
    static TargetExchanges follow(Channel channel, MetricRegistry metrics) {
        TargetExchanges exchanges = new TargetExchanges(channel, metrics);
        channel.attr(KEY).set(exchanges);
        channel.pipeline().addFirst(exchanges.new Bytes());
        channel.pipeline().addAfter(NettyPipeline.HttpCodec, null, exchanges.new Messages());
        return exchanges;
    }

    /** Returns the exchanges of a connection that is followed. */
    static TargetExchanges of(Channel channel) {
        return Objects.requireNonNull(channel.attr(KEY).get(), "the connection must be followed");
    }

    /**
     * Begins the exchange of a request.
     *
     * @return false if the connection must not carry the request, as it carried the id before or too many requests
     */
    boolean begin(String requestId) {
        long hash = StableHash.of(requestId);
        if (exhausted() || carried(hash)) {
            return false;
        }
        if (exchanges == requestIdHashes.length) {
            requestIdHashes = Arrays.copyOf(requestIdHashes, 2 * exchanges);
        }
        requestIdHashes[exchanges] = hash;
        exchanges++;
        return true;
    }

    private boolean carried(long hash) {
        for (int i = 0; i < exchanges; i++) {
            if (requestIdHashes[i] == hash) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the connection can carry no further request. */
    boolean exhausted() {
        return exchanges == MAX_EXCHANGES;
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

    private void onRequest() {
        responseDue = true;
        interim = false;
        framing = Framing.CLOSE;
        expectHead();
    }

    private void expectHead() {
        headReceived = false;
        remainingBodyBytes = UNKNOWN;
        lineIsEmpty = true;
    }

    private void onResponse(HttpResponse response) {
        headReceived = true;
        interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        if (HttpUtil.isTransferEncodingChunked(response)) {
            framing = Framing.CHUNKS;
            return;
        }
        remainingBodyBytes =
                response.decoderResult().isSuccess() ? HttpUtil.getContentLength(response, UNKNOWN) : UNKNOWN;
        framing = remainingBodyBytes == UNKNOWN ? Framing.CLOSE : Framing.LENGTH;
    }

    private void onContent(HttpContent content) {
        if (remainingBodyBytes != UNKNOWN) {
            remainingBodyBytes -= content.content().readableBytes();
        }
        if (content instanceof LastHttpContent) {
            responseDue = interim;
            expectHead();
            if (!responseDue && undecodedBytes > 0) {
                // Closed before the end of the response is passed on, so that the pool does not use the connection.
                onBytesWithoutRequest(undecodedBytes);
            }
        }
    }

    private void onBytesWithoutRequest(int receivedBytes) {
        closed = true;
        metrics.counter("responses.rejected." + NO_REQUEST).inc();
        LOGGER.atWarn()
                .addKeyValue("target", channel.remoteAddress())
                .addKeyValue("connection", localPort())
                .addKeyValue("exchange", exchanges)
                .addKeyValue("receivedBytes", receivedBytes)
                .log("connection closed, as bytes arrive while no response is due");
        channel.close();
    }

    /** Returns how many of the bytes can be decoded before the response may have ended. */
    private int lengthToDecode(ByteBuf bytes) {
        if (headReceived && framing == Framing.CLOSE) {
            return bytes.readableBytes();
        }
        if (headReceived && framing == Framing.LENGTH) {
            return (int) Math.min(Math.max(1, remainingBodyBytes), bytes.readableBytes());
        }
        return lengthToEmptyLine(bytes);
    }

    /** Returns the length up to the next empty line, which ends each head and each body in chunks. */
    private int lengthToEmptyLine(ByteBuf bytes) {
        int start = bytes.readerIndex();
        int end = bytes.writerIndex();
        while (start < end) {
            int lineFeed = bytes.indexOf(start, end, (byte) '\n');
            int lineEnd = lineFeed < 0 ? end : lineFeed;
            lineIsEmpty &= lineEnd == start || lineEnd == start + 1 && bytes.getByte(start) == '\r';
            if (lineFeed < 0) {
                return bytes.readableBytes();
            }
            boolean empty = lineIsEmpty;
            lineIsEmpty = true;
            start = lineFeed + 1;
            if (empty) {
                return start - bytes.readerIndex();
            }
        }
        return bytes.readableBytes();
    }

    /** Passes bytes to the decoder only while a response is due, and none behind the end of that response. */
    private final class Bytes extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            try {
                while (bytes.isReadable() && !closed) {
                    if (responseDue) {
                        ByteBuf part = bytes.readRetainedSlice(lengthToDecode(bytes));
                        undecodedBytes = bytes.readableBytes();
                        context.fireChannelRead(part);
                    } else {
                        onBytesWithoutRequest(bytes.readableBytes());
                    }
                }
            } finally {
                bytes.release();
            }
        }
    }

    /** Follows the requests and the decoded parts of responses, and drops interim responses. */
    private final class Messages extends ChannelDuplexHandler {

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest) {
                onRequest();
            }
            context.write(message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpResponse response) {
                onResponse(response);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
            if (!interim) {
                context.fireChannelRead(message);
                return;
            }
            ReferenceCountUtil.release(message);
            // Nothing behind this handler asks for more, as it does not see the interim response.
            context.read();
        }
    }
}
