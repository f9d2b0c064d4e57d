package org.cornelcrank.http;

import java.util.Objects;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Tells the validator of a connection that a response begins with the next byte.
 *
 * <p>Not thread-safe: confined to the connection's event loop.
 */
final class RequestTracker extends ChannelOutboundHandlerAdapter {

    private final ResponseValidator validator;

    RequestTracker(ResponseValidator validator) {
        this.validator = Objects.requireNonNull(validator, "validator must not be null");
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpRequest) {
            validator.expectResponse();
        }
        context.write(message, promise);
    }
}
