package org.cornelcrank.server.gateway;

import java.util.Objects;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import org.cornelcrank.server.loop.MonotonicClock;

/**
 * Remembers when the last bytes have arrived on the connection to a target, whether or not they are a response.
 *
 * <p>Not thread-safe: confined to the connection's event loop.
 */
final class LastArrival extends ChannelInboundHandlerAdapter {

    private static final AttributeKey<LastArrival> KEY = AttributeKey.valueOf("cornelcrank-last-arrival");

    private final MonotonicClock clock;
    private long atMs;

    private LastArrival(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
    }

    /** Starts to follow the arrivals on a new connection. */
    static void follow(Channel channel, MonotonicClock clock) {
        LastArrival arrival = new LastArrival(clock);
        channel.attr(KEY).set(arrival);
        channel.pipeline().addFirst(arrival);
    }

    /** Returns when the last bytes have arrived on a connection that is followed, in ms; zero if none have. */
    static long atMs(Channel channel) {
        return channel.attr(KEY).get().atMs;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        atMs = clock.nowMs();
        context.fireChannelRead(message);
    }
}
