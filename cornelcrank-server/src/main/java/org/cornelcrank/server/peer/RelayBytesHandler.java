package org.cornelcrank.server.peer;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.RelayEnd;

/**
 * Carries bytes over an open relayed connection, so that the handlers behind this one see the target's connection.
 *
 * <p>Invariant: the connection ends without an error only if the peer reports that the target has ended it and had taken
 * all that was written, as neither a lost connection to the peer nor a target that has not received its request must look
 * like the end of a body without a length. Not thread-safe: confined to its channel.
 */
final class RelayBytesHandler extends ChannelDuplexHandler {

    private final RelayRoute route;
    private long writtenBytes;
    private boolean ended;

    RelayBytesHandler(RelayRoute route) {
        this.route = Objects.requireNonNull(route, "route must not be null");
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (!(message instanceof ByteBuf bytes)) {
            context.write(message, promise);
            return;
        }
        writtenBytes += bytes.readableBytes();
        RelayFrames.split(bytes, frame -> context.write(frame, bytes.isReadable() ? context.newPromise() : promise));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            Frame frame = (Frame) message;
            if (ended) {
                return;
            }
            if (frame.hasRelayData()) {
                onData(context, RelayFrames.bytes(frame));
            } else if (frame.hasRelayEnd()) {
                onEnd(context, frame.getRelayEnd());
            } else {
                fail(context, RelayException.Cause.PEER_LOST, "has sent an unexpected frame");
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static void onData(ChannelHandlerContext context, ByteBuf bytes) {
        if (bytes.isReadable()) {
            context.fireChannelRead(bytes);
            return;
        }
        // Nothing behind this handler asks for more, as it does not see an empty frame.
        context.read();
    }

    private void onEnd(ChannelHandlerContext context, RelayEnd end) {
        if (end.getReset()) {
            fail(context, RelayException.Cause.TARGET_RESET, "has lost the target's connection");
            return;
        }
        if (!end.hasTakenBytes() || end.getTakenBytes() != writtenBytes) {
            fail(
                    context,
                    RelayException.Cause.TARGET_RESET,
                    "has passed on " + (end.hasTakenBytes() ? end.getTakenBytes() : "an unknown number") + " of "
                            + writtenBytes + " bytes before the target closed its connection");
            return;
        }
        ended = true;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(context, RelayException.Cause.PEER_LOST, "was lost");
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, RelayException.Cause.PEER_LOST, "failed: " + cause);
    }

    private void fail(ChannelHandlerContext context, RelayException.Cause cause, String description) {
        if (ended) {
            return;
        }
        ended = true;
        RelayException failure = new RelayException(
                cause, "relay " + route.relay() + " to target " + route.target() + " " + description);
        RelayClient.fail(context.channel(), failure);
        context.fireExceptionCaught(failure);
        context.close();
    }
}
