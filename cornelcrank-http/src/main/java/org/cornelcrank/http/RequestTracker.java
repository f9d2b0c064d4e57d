package org.cornelcrank.http;

import java.util.Objects;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Follows the requests of a connection, as what counts as a response and as its end depends on them.
 *
 * <p>Invariant: the end of the connection completes a response only if the whole request was written before. A connection
 * that is reset while the request is written ends like one that the server has closed: the failing write takes the
 * error, and closes the connection, so that no read fails. Not thread-safe: confined to the connection's event loop.
 */
final class RequestTracker extends ChannelDuplexHandler {

    private final ResponseValidator validator;
    private ChannelFuture requestEnd;

    RequestTracker(ResponseValidator validator) {
        this.validator = Objects.requireNonNull(validator, "validator must not be null");
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        ChannelPromise written = promise;
        if (message instanceof HttpRequest) {
            validator.expectResponse();
            requestEnd = null;
        }
        if (message instanceof LastHttpContent) {
            written = promise.unvoid();
            requestEnd = written;
        }
        context.write(message, written);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        boolean endsWithConnection =
                message instanceof LastHttpContent && !context.channel().isActive();
        if (endsWithConnection && !requestWritten()) {
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(new PrematureChannelClosureException(
                    "the connection ended before the request was written, so that the response may be incomplete"));
            return;
        }
        context.fireChannelRead(message);
    }

    private boolean requestWritten() {
        return requestEnd != null && requestEnd.isSuccess();
    }
}
