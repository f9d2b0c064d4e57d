package org.cornelcrank.server.peer;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.wire.Challenge;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.Hello;
import org.cornelcrank.server.wire.Rejection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The accepting side of one connection: checks the peer, then takes its messages.
 *
 * <p>Invariant: no message is taken before the peer has proven the shared key. Not thread-safe: confined to its channel.
 */
final class AcceptingHandler extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(AcceptingHandler.class);

    private final Handshake handshake;
    private final PeerReceiver receiver;
    private final Challenge challenge;
    private HostId peer;

    AcceptingHandler(Handshake handshake, PeerReceiver receiver) {
        this.handshake = handshake;
        this.receiver = receiver;
        this.challenge = handshake.challenge();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Frame.newBuilder().setChallenge(challenge).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (peer != null && frame.hasEnvelope()) {
            receiver.received(peer, frame.getEnvelope());
        } else if (peer == null && frame.hasHello()) {
            helloReceived(context, frame.getHello());
        } else {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("Connection of peer {} broke: {}", peer, cause.toString());
        context.close();
    }

    private void helloReceived(ChannelHandlerContext context, Hello hello) {
        String objection = handshake.objection(challenge, hello).orElse(null);
        if (objection == null) {
            peer = new HostId(hello.getHost());
            context.writeAndFlush(Frame.newBuilder()
                    .setWelcome(handshake.welcome(challenge, hello))
                    .build());
            return;
        }
        LOGGER.warn("Refused a peer at {}: {}", context.channel().remoteAddress(), objection);
        Frame rejection = Frame.newBuilder()
                .setRejection(Rejection.newBuilder().setReason(objection))
                .build();
        context.writeAndFlush(rejection).addListener(ChannelFutureListener.CLOSE);
    }
}
