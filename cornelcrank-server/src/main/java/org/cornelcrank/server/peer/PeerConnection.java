package org.cornelcrank.server.peer;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.WriteBufferWaterMark;
import org.cornelcrank.server.wire.Frame;

/**
 * Connection to one peer: opened when there is a message to send, unless the peer has opened one over which it accepts
 * messages.
 *
 * <p>Invariants: messages are written to one connection at a time, in order. A connection that the peer has opened is
 * used only while this daemon has no open one of its own; an attempt to open one ends with its use. Of several the one
 * that the newest incarnation of the peer has opened last is used.
 *
 * <p>At most {@link #MAX_QUEUED} messages are queued for a connection that is being opened, and messages of at most about
 * {@link #MAX_UNSENT_BYTES} for an open one; messages beyond these limits, or queued when an attempt fails, are dropped
 * and counted, since peer messages are soft state. After a failure, no connection is attempted for
 * {@link #RETRY_DELAY_MS}. Thread-safe.
 */
final class PeerConnection {

    static final int MAX_QUEUED = 1_024;
    static final long RETRY_DELAY_MS = 200;

    /** The limit of unsent messages, in bytes: the largest page of results and the small messages behind it. */
    static final int MAX_UNSENT_BYTES = 512 * 1_024;

    private final BiFunction<InetSocketAddress, Consumer<Channel>, ChannelFuture> connector;
    private final Counter dropped;
    private final Deque<Frame> queued = new ArrayDeque<>();
    private InetSocketAddress address;
    private Channel own;
    private Channel ready;
    private boolean connecting;
    private long retryAtMs;
    private long newestIncarnation = Long.MIN_VALUE;
    private long hellos;
    private long helloOfAccepted;

    PeerConnection(BiFunction<InetSocketAddress, Consumer<Channel>, ChannelFuture> connector, Counter dropped) {
        this.connector = connector;
        this.dropped = dropped;
    }

    /** Sends a message to the peer, which is known to listen at the address. */
    synchronized void send(Frame frame, InetSocketAddress to, long nowMs) {
        if (!to.equals(address)) {
            moveTo(to);
        }
        if (ready != null && ready.isActive()) {
            write(ready, frame);
            return;
        }
        if (queued.size() == MAX_QUEUED || !connecting && nowMs < retryAtMs) {
            dropped.inc();
            return;
        }
        queued.add(frame);
        if (!connecting) {
            connect(nowMs);
        }
    }

    /**
     * Notes that the peer has authenticated itself on a connection that it has opened.
     *
     * @return the number of the connection among those of the peer, in the order in which it has opened them
     */
    synchronized long onHello(long incarnation) {
        if (incarnation > newestIncarnation) {
            newestIncarnation = incarnation;
            if (own == null) {
                ready = null;
            }
        }
        return ++hellos;
    }

    /**
     * Uses a connection that the peer has opened, and on which it has accepted this daemon, unless an own one is open or a
     * newer one of the peer is known.
     */
    synchronized void onAccepted(Channel channel, long incarnation, long hello) {
        boolean ownIsOpen = own != null && own == ready && own.isActive();
        boolean outdated = incarnation < newestIncarnation || hello < helloOfAccepted;
        if (ownIsOpen || outdated || !channel.isActive()) {
            return;
        }
        closeOwn();
        helloOfAccepted = hello;
        channel.closeFuture().addListener(closed -> onClosed(channel));
        use(channel);
    }

    /** Closes the connection if this daemon has opened it. */
    synchronized void close() {
        ready = null;
        closeOwn();
        dropQueued();
    }

    /** Leaves the connections to the address at which the peer was; what is queued goes to the new one. */
    private void moveTo(InetSocketAddress to) {
        if (address != null) {
            ready = null;
            closeOwn();
            retryAtMs = 0;
        }
        address = to;
    }

    private void closeOwn() {
        Channel closing = own;
        own = null;
        connecting = false;
        if (closing != null) {
            closing.close();
        }
    }

    private void connect(long nowMs) {
        connecting = true;
        retryAtMs = nowMs + RETRY_DELAY_MS;
        ChannelFuture future = connector.apply(address, this::onReady);
        own = future.channel();
        own.closeFuture().addListener(closed -> onClosed(future.channel()));
        future.addListener(connected -> {
            if (!connected.isSuccess()) {
                onClosed(future.channel());
            }
        });
    }

    private synchronized void onReady(Channel channel) {
        if (channel == own) {
            connecting = false;
            use(channel);
        }
    }

    private void use(Channel channel) {
        ready = channel;
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES));
        while (!queued.isEmpty()) {
            write(channel, queued.poll());
        }
    }

    private synchronized void onClosed(Channel channel) {
        if (channel == ready) {
            ready = null;
        }
        if (channel == own) {
            own = null;
            connecting = false;
            dropQueued();
        }
    }

    private void dropQueued() {
        dropped.inc(queued.size());
        queued.clear();
    }

    private void write(Channel channel, Frame frame) {
        if (channel.isWritable()) {
            channel.writeAndFlush(frame);
        } else {
            dropped.inc();
        }
    }
}
