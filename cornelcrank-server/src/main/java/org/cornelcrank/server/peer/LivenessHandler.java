package org.cornelcrank.server.peer;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.Ping;
import org.cornelcrank.server.wire.Pong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Closes the connection to a peer that no longer receives what is sent.
 *
 * <p>A connection may go silent for good without being reset, so that everything sent over it is lost. While there are
 * messages to send or left in the buffer, the peer is asked for a sign of life once per {@link #PING_INTERVAL_MS}; an
 * unused connection costs nothing. A peer has the whole time limit from the moment at which the ping has left the
 * buffer, and the connection stays open while messages leave it or bytes arrive, as the response may be behind them.
 * Invariant: at most one ping is unanswered. Not thread-safe: confined to its channel.
 */
final class LivenessHandler extends ChannelDuplexHandler {

    /** The pause between a response and the next ping, in ms. */
    static final long PING_INTERVAL_MS = 1_000;

    /** How long a response may take, in ms: many round trips, and longer than a busy peer stands still. */
    static final long RESPONSE_TIMEOUT_MS = 2_000;

    /** The response to a ping. */
    static final Frame PONG =
            Frame.newBuilder().setPong(Pong.getDefaultInstance()).build();

    private static final Logger LOGGER = LoggerFactory.getLogger(LivenessHandler.class);
    private static final Frame PING =
            Frame.newBuilder().setPing(Ping.getDefaultInstance()).build();

    private final HostId peer;
    private final Counter unresponsive;
    private Future<?> pending;
    private ChannelFuture ping;
    private long messagesSent;
    private long messagesSentAtCheck;
    private boolean receivedSinceCheck;

    LivenessHandler(HostId peer, Counter unresponsive) {
        this.peer = peer;
        this.unresponsive = unresponsive;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof Frame frame && frame.hasPong()) {
            // Else each ping of the peer would be followed by one of this daemon, though it has nothing to send.
            context.write(message, promise);
            return;
        }
        context.write(message, promise.unvoid().addListener(sent -> messagesSent++));
        if (pending == null) {
            ping(context);
        }
    }

    private void ping(ChannelHandlerContext context) {
        messagesSentAtCheck = messagesSent;
        receivedSinceCheck = false;
        pending = scheduleTimeout(context);
        ping = context.write(PING);
        ping.addListener(sent -> onPingSent(context, (ChannelFuture) sent));
    }

    private Future<?> scheduleTimeout(ChannelHandlerContext context) {
        return context.executor().schedule(() -> onTimeout(context), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts the time limit of the response, which a ping behind much data on a slow link could not meet otherwise. */
    private void onPingSent(ChannelHandlerContext context, ChannelFuture sent) {
        if (sent == ping && sent.isSuccess() && pending != null) {
            cancelPending();
            pending = scheduleTimeout(context);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof Frame frame && frame.hasPong()) {
            ping = null;
            cancelPending();
            pending = context.executor()
                    .schedule(() -> onIntervalElapsed(context), PING_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        context.fireChannelRead(message);
    }

    /** Notes that bytes have arrived, of which a long message may need more before it is read. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        receivedSinceCheck = true;
        context.fireChannelReadComplete();
    }

    /** Pings a channel that is not writable at once, as no message will be written to it. */
    private void onIntervalElapsed(ChannelHandlerContext context) {
        pending = null;
        if (!context.channel().isWritable()) {
            ping(context);
            context.flush();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelPending();
        context.fireChannelInactive();
    }

    private void cancelPending() {
        if (pending != null) {
            pending.cancel(false);
        }
    }

    private void onTimeout(ChannelHandlerContext context) {
        if (receivedSinceCheck || !ping.isDone() && messagesSent > messagesSentAtCheck) {
            receivedSinceCheck = false;
            messagesSentAtCheck = messagesSent;
            pending = scheduleTimeout(context);
            return;
        }
        unresponsive.inc();
        LOGGER.warn(
                "Connection to peer {} is replaced: nothing was received for {} ms after a ping",
                peer,
                RESPONSE_TIMEOUT_MS);
        context.close();
    }
}
