package org.cornelcrank.server.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Closes the connection to a target that sends more than a response may have, or anything before the first request.
 *
 * <p>Counts the bytes on the wire, thus also those of heads, interim responses and chunk sizes, and those that follow a
 * complete response. Not thread-safe: confined to the connection's event loop.
 */
final class ResponseLimit extends ChannelDuplexHandler {

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.target");

    private final long maxBytes;
    private long receivedBytes;
    private boolean requested;

    /**
     * Creates the limit of one connection.
     *
     * @param maxBytes the maximum number of bytes that the target may send for one request
     */
    ResponseLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        requested = true;
        receivedBytes = 0;
        context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        receivedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        if (requested && receivedBytes <= maxBytes) {
            context.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        LOGGER.atWarn()
                .addKeyValue("target", context.channel().remoteAddress())
                .addKeyValue("receivedBytes", receivedBytes)
                .addKeyValue("maxBytes", requested ? maxBytes : 0)
                .log("connection closed, as the target sends more than a response");
        // A mere close would look like the end of a body without a length.
        context.fireExceptionCaught(new TooLongFrameException("a response must have at most " + maxBytes + " bytes"));
        context.close();
    }
}
