package org.cornelcrank.server.peer;

import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.wire.Challenge;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.Hello;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connecting side of a peer connection: authenticates itself and the peer, then is ready to send.
 *
 * <p>Not thread-safe: confined to its channel.
 */
final class ConnectingHandler extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(ConnectingHandler.class);

    private final Handshake handshake;
    private final HostId expected;
    private final Consumer<Channel> onReady;
    private Challenge challenge;
    private Hello hello;

    ConnectingHandler(Handshake handshake, HostId expected, Consumer<Channel> onReady) {
        this.handshake = handshake;
        this.expected = expected;
        this.onReady = onReady;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.hasChallenge() && hello == null) {
            challenge = frame.getChallenge();
            hello = handshake.hello(challenge);
            context.writeAndFlush(Frame.newBuilder().setHello(hello).build());
            return;
        }
        if (frame.hasWelcome()
                && hello != null
                && handshake.isValidWelcome(challenge, hello, frame.getWelcome(), expected)) {
            onReady.accept(context.channel());
            return;
        }
        if (frame.hasRejection()) {
            LOGGER.warn(
                    "Peer {} rejected this daemon: {}",
                    expected,
                    frame.getRejection().getReason());
        }
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("Connection to peer {} failed: {}", expected, cause.toString());
        context.close();
    }
}
