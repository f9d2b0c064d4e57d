package org.cornelcrank.server.peer;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
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
 * Connecting side of a peer connection: authenticates itself and the peer, then is ready to send, and receives what the
 * peer sends over this connection.
 *
 * <p>Invariant: no message is accepted before the peer has proven that it is the expected one and holds the shared key.
 * Not thread-safe: confined to its channel.
 */
final class ConnectingHandler extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(ConnectingHandler.class);

    /** How long the handshake may take, in ms: many round trips between regions. */
    static final long HANDSHAKE_TIMEOUT_MS = 2_000;

    private final Handshake handshake;
    private final HostId expected;
    private final PeerReceiver receiver;
    private final Consumer<Channel> onReady;
    private final Counter unresponsive;
    private Future<?> handshakeTimeout;
    private Challenge challenge;
    private Hello hello;
    private boolean welcomed;

    ConnectingHandler(
            Handshake handshake,
            HostId expected,
            PeerReceiver receiver,
            Consumer<Channel> onReady,
            Counter unresponsive) {
        this.handshake = handshake;
        this.expected = expected;
        this.receiver = receiver;
        this.onReady = onReady;
        this.unresponsive = unresponsive;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        handshakeTimeout =
                context.executor().schedule(() -> onTimeout(context), HANDSHAKE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        context.fireChannelActive();
    }

    private void onTimeout(ChannelHandlerContext context) {
        unresponsive.inc();
        LOGGER.warn("Peer {} has not completed the handshake within {} ms", expected, HANDSHAKE_TIMEOUT_MS);
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        handshakeTimeout.cancel(false);
        context.fireChannelInactive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (welcomed && frame.hasEnvelope()) {
            receiver.receive(expected, frame.getEnvelope());
            return;
        }
        if (welcomed && frame.hasPing()) {
            context.writeAndFlush(LivenessHandler.PONG);
            return;
        }
        if (frame.hasChallenge() && hello == null) {
            challenge = frame.getChallenge();
            hello = handshake.hello(challenge).toBuilder()
                    .setAcceptsMessages(true)
                    .build();
            context.writeAndFlush(Frame.newBuilder().setHello(hello).build());
            return;
        }
        if (frame.hasWelcome()
                && hello != null
                && !welcomed
                && handshake.isValidWelcome(challenge, hello, frame.getWelcome(), expected)) {
            welcomed = true;
            handshakeTimeout.cancel(false);
            if (frame.getWelcome().getAnswersPings()) {
                context.pipeline().addBefore(context.name(), "liveness", new LivenessHandler(expected, unresponsive));
            }
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
