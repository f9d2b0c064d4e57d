package org.cornelcrank.server.peer;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.RelayEnd;

/**
 * The target's side of a connection that this daemon relays: forwards what the target sends, and how that ended.
 *
 * <p>Invariants: an end is forwarded after all bytes, and as a clean one only if the target has ended its bytes itself;
 * the target is read no faster than the peer reads. Not thread-safe: confined to the connection's event loop.
 */
final class RelayTargetHandler extends ChannelInboundHandlerAdapter {

    /**
     * How long the peer may take to close its connection after the end, in ms. If it was closed here at once, a request
     * that still arrives would reset it, and the peer would lose bytes that it has not read.
     */
    static final long CLOSE_TIMEOUT_MS = 1_000;

    private final Channel peer;
    private final RelayedConnection connection;
    private boolean connected;
    private boolean ended;

    RelayTargetHandler(Channel peer, RelayedConnection connection) {
        this.peer = Objects.requireNonNull(peer, "peer must not be null");
        this.connection = Objects.requireNonNull(connection, "connection must not be null");
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connected = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        connection.carriedToPeer(bytes.readableBytes());
        RelayFrames.split(bytes, peer::write);
        if (!peer.isWritable()) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        peer.flush();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        peer.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            end(context, false, "closed by the target");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        end(context, true, "reset by the target");
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end(context, true, "lost");
    }

    private void end(ChannelHandlerContext context, boolean reset, String reason) {
        if (!connected || ended) {
            return;
        }
        ended = true;
        connection.end(reason);
        context.close();
        // What the peer still sends is read and dropped.
        peer.config().setAutoRead(true);
        RelayEnd end = RelayEnd.newBuilder()
                .setReset(reset)
                .setTakenBytes(connection.takenBytes())
                .build();
        peer.writeAndFlush(Frame.newBuilder().setRelayEnd(end).build()).addListener(written -> peer.eventLoop()
                .schedule(() -> peer.close(), CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }
}
