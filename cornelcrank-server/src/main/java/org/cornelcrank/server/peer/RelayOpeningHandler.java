package org.cornelcrank.server.peer;

import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import org.cornelcrank.server.wire.Challenge;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.Hello;
import org.cornelcrank.server.wire.OpenRelay;
import org.cornelcrank.server.wire.RelayRefused;

/**
 * Opens a relayed connection: authenticates itself and the peer and waits until that has connected to the target; then
 * a {@link RelayBytesHandler} takes its place.
 *
 * <p>Invariant: the handlers behind this one see the connection become active once it is open, or an error if it cannot
 * be opened, and nothing before. Not thread-safe: confined to its channel.
 */
final class RelayOpeningHandler extends SimpleChannelInboundHandler<Frame> {

    private final Handshake handshake;
    private final RelayRoute route;
    private final long timeoutMs;
    private Future<?> timeout;
    private Challenge challenge;
    private Hello hello;
    private boolean welcomed;
    private boolean failed;

    RelayOpeningHandler(Handshake handshake, RelayRoute route, long timeoutMs) {
        this.handshake = Objects.requireNonNull(handshake, "handshake must not be null");
        this.route = Objects.requireNonNull(route, "route must not be null");
        this.timeoutMs = timeoutMs;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        timeout = context.channel()
                .eventLoop()
                .schedule(
                        () -> fail(context, "has not opened a connection within " + timeoutMs + " ms"),
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        timeout.cancel(false);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.read();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.hasChallenge() && hello == null) {
            challenge = frame.getChallenge();
            hello = handshake.hello(challenge);
            context.write(Frame.newBuilder().setHello(hello).build());
            context.writeAndFlush(Frame.newBuilder()
                    .setOpenRelay(
                            OpenRelay.newBuilder().setTarget(route.target().value()))
                    .build());
        } else if (frame.hasWelcome() && hello != null && !welcomed) {
            welcomed = handshake.isValidWelcome(challenge, hello, frame.getWelcome(), route.relay());
            if (!welcomed) {
                fail(context, "is not the expected peer");
            }
        } else if (frame.hasRelayOpened() && welcomed) {
            open(context);
            return;
        } else if (frame.hasRelayRefused() && welcomed) {
            refused(context, frame.getRelayRefused().getReason());
        } else {
            fail(
                    context,
                    frame.hasRejection()
                            ? "rejected this daemon: " + frame.getRejection().getReason()
                            : "does not relay");
        }
        context.read();
    }

    private void open(ChannelHandlerContext context) {
        ChannelPipeline pipeline = context.pipeline();
        RelayBytesHandler bytes = new RelayBytesHandler(route);
        pipeline.replace(this, null, bytes);
        pipeline.context(bytes).fireChannelActive();
    }

    private void refused(ChannelHandlerContext context, RelayRefused.Reason reason) {
        boolean unreachable = reason == RelayRefused.Reason.UNREACHABLE || reason == RelayRefused.Reason.UNKNOWN_TARGET;
        fail(
                context,
                unreachable ? RelayException.Cause.TARGET_UNREACHABLE : RelayException.Cause.RELAY_FAILED,
                "refused to relay: " + reason);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(context, "closed the connection before it was open");
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, "failed: " + cause);
    }

    private void fail(ChannelHandlerContext context, String description) {
        fail(context, RelayException.Cause.RELAY_FAILED, description);
    }

    private void fail(ChannelHandlerContext context, RelayException.Cause cause, String description) {
        if (failed) {
            return;
        }
        failed = true;
        RelayException failure = new RelayException(
                cause, "relay " + route.relay() + " to target " + route.target() + " " + description);
        RelayClient.fail(context.channel(), failure);
        context.fireExceptionCaught(failure);
        context.close();
    }
}
