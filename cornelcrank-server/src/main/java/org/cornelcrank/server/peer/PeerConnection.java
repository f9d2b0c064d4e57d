package org.cornelcrank.server.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.cornelcrank.server.wire.Frame;

/**
 * The outgoing connection to one peer, opened when there is something to send.
 *
 * <p>Invariant: at most {@link #MAX_WAITING} messages wait for a connection; what comes beyond, or waits when a
 * connection fails, is dropped and counted, since peers' messages are soft state. After a failure no connection is tried
 * for {@link #RETRY_DELAY_MS}. Thread-safe.
 */
final class PeerConnection {

    static final int MAX_WAITING = 1_024;
    static final long RETRY_DELAY_MS = 200;

    private final Function<Consumer<Channel>, ChannelFuture> connector;
    private final Counter dropped;
    private final Deque<Frame> waiting = new ArrayDeque<>();
    private Channel current;
    private Channel ready;
    private boolean connecting;
    private long retryAtMs;

    PeerConnection(Function<Consumer<Channel>, ChannelFuture> connector, Counter dropped) {
        this.connector = connector;
        this.dropped = dropped;
    }

    synchronized void send(Frame frame, long nowMs) {
        if (ready != null && ready.isActive()) {
            write(ready, frame);
            return;
        }
        if (waiting.size() == MAX_WAITING || !connecting && nowMs < retryAtMs) {
            dropped.inc();
            return;
        }
        waiting.add(frame);
        if (!connecting) {
            connect(nowMs);
        }
    }

    synchronized void close() {
        if (ready != null) {
            ready.close();
        }
    }

    private void connect(long nowMs) {
        connecting = true;
        retryAtMs = nowMs + RETRY_DELAY_MS;
        ChannelFuture future = connector.apply(this::becameReady);
        current = future.channel();
        current.closeFuture().addListener(closed -> failed(future.channel()));
    }

    private synchronized void becameReady(Channel channel) {
        connecting = false;
        ready = channel;
        while (!waiting.isEmpty()) {
            write(channel, waiting.poll());
        }
    }

    private synchronized void failed(Channel channel) {
        if (channel != current) {
            return;
        }
        connecting = false;
        ready = null;
        dropped.inc(waiting.size());
        waiting.clear();
    }

    private void write(Channel channel, Frame frame) {
        if (channel.isWritable()) {
            channel.writeAndFlush(frame);
        } else {
            dropped.inc();
        }
    }
}
