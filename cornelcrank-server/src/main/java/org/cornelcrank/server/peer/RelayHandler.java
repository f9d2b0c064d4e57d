package org.cornelcrank.server.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.RelayData;
import org.cornelcrank.server.wire.RelayOpened;
import org.cornelcrank.server.wire.RelayRefused;

/**
 * The peer's side of a connection that this daemon relays: connects to the target and forwards what the peer sends.
 *
 * <p>Invariants: the target's connection is closed at once when the peer's is; the peer is read no faster than the target
 * reads. A peer that is not read is sent empty frames, as writing to a connection that it has closed fails; one that is
 * not read for {@link #STALL_LIMIT_S} is given up. Not thread-safe: confined to the connection's event loop.
 */
final class RelayHandler extends SimpleChannelInboundHandler<Frame> {

    /** How long the peer or the target may leave bytes that wait for it unread, in s. */
    static final int STALL_LIMIT_S = 60;

    /**
     * How long a connection may carry nothing, in s: as long as any caller may wait. The place of a peer that is lost is
     * free before that once the target has closed its connection.
     */
    static final int IDLE_LIMIT_S = 3_600;

    /** How often a peer that is not read is sent an empty frame, in ms; the second one after its close fails. */
    static final long CLOSE_CHECK_INTERVAL_MS = 100;

    private static final Frame EMPTY =
            Frame.newBuilder().setRelayData(RelayData.getDefaultInstance()).build();
    private static final Frame OPENED =
            Frame.newBuilder().setRelayOpened(RelayOpened.getDefaultInstance()).build();

    private final RelayedConnections relays;
    private final RelayConnector connector;
    private final RelayedConnection connection;
    private Channel target;
    private boolean opened;
    private boolean checksClose;

    RelayHandler(RelayedConnections relays, RelayConnector connector, RelayedConnection connection) {
        this.relays = Objects.requireNonNull(relays, "relays must not be null");
        this.connector = Objects.requireNonNull(connector, "connector must not be null");
        this.connection = Objects.requireNonNull(connection, "connection must not be null");
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        Optional<RelayRefused.Reason> reason = relays.refusalReason();
        if (reason.isPresent()) {
            refuse(context, reason.get());
            return;
        }
        Optional<InetSocketAddress> address = relays.address(connection.target());
        if (address.isEmpty()) {
            refuse(context, RelayRefused.Reason.UNKNOWN_TARGET);
            return;
        }
        context.channel().config().setWriteBufferWaterMark(RelayedConnection.WATER_MARK);
        context.pipeline().addFirst(new IdleStateHandler(STALL_LIMIT_S, STALL_LIMIT_S, IDLE_LIMIT_S));
        ChannelFuture connecting = connector.connect(
                context.channel().eventLoop(), address.get(), new RelayTargetHandler(context.channel(), connection));
        target = connecting.channel();
        connecting.addListener(connected -> onConnected(context, connected.isSuccess()));
    }

    private void onConnected(ChannelHandlerContext context, boolean connected) {
        if (!context.channel().isActive()) {
            target.close();
        } else if (connected) {
            opened = true;
            connection.opened();
            context.writeAndFlush(OPENED);
            target.config().setAutoRead(true);
        } else {
            refuse(context, RelayRefused.Reason.UNREACHABLE);
        }
    }

    private void refuse(ChannelHandlerContext context, RelayRefused.Reason reason) {
        connection.refuse(reason);
        Frame refused = Frame.newBuilder()
                .setRelayRefused(RelayRefused.newBuilder().setReason(reason))
                .build();
        context.writeAndFlush(refused).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (!opened || !frame.hasRelayData()) {
            end(context, "unexpected frame");
            return;
        }
        ByteBuf bytes = RelayFrames.bytes(frame);
        int length = bytes.readableBytes();
        connection.carriedToTarget(length);
        // Bytes for a target that has closed its connection are dropped, as the peer learns of the close.
        target.writeAndFlush(bytes).addListener(written -> {
            if (written.isSuccess()) {
                connection.takenByTarget(length);
            }
        });
        if (target.isActive() && !target.isWritable()) {
            context.channel().config().setAutoRead(false);
            if (!checksClose) {
                checksClose = true;
                scheduleCloseCheck(context);
            }
        }
    }

    private void scheduleCloseCheck(ChannelHandlerContext context) {
        context.channel()
                .eventLoop()
                .schedule(() -> checkClose(context), CLOSE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void checkClose(ChannelHandlerContext context) {
        checksClose =
                context.channel().isActive() && !context.channel().config().isAutoRead();
        if (!checksClose) {
            return;
        }
        if (connection.idleMs() >= TimeUnit.SECONDS.toMillis(STALL_LIMIT_S)) {
            end(context, "idle");
            return;
        }
        // Bytes that wait to be written show a close as well.
        if (context.channel().isWritable()) {
            context.writeAndFlush(EMPTY);
        }
        scheduleCloseCheck(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (opened) {
            target.config().setAutoRead(context.channel().isWritable());
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle) {
            onIdle(context, idle.state());
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    private void onIdle(ChannelHandlerContext context, IdleState state) {
        boolean ends =
                switch (state) {
                    case READER_IDLE -> opened && !target.isWritable();
                    case WRITER_IDLE -> !context.channel().isWritable();
                    case ALL_IDLE -> true;
                };
        if (ends) {
            end(context, "idle");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end(context, "closed by the peer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        end(context, "failed: " + cause);
    }

    private void end(ChannelHandlerContext context, String reason) {
        connection.end(reason);
        context.close();
        if (target != null) {
            target.close();
        }
    }
}
