package org.cornelcrank.server.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.wire.Envelope;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.Pong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays the connection to a peer on a virtual clock. */
class LivenessHandlerTests {

    private static final Frame MESSAGE =
            Frame.newBuilder().setEnvelope(Envelope.getDefaultInstance()).build();
    private static final Frame PONG =
            Frame.newBuilder().setPong(Pong.getDefaultInstance()).build();

    private final Counter unresponsive = new Counter();
    private final EmbeddedChannel channel = new EmbeddedChannel(new LivenessHandler(new HostId("peer"), unresponsive));

    @BeforeEach
    void freeze() {
        channel.freezeTime();
    }

    /** Guards against items that wait for ever: all that is sent over a silent connection is lost without an error. */
    @Test
    void connectionOnWhichThePeerNoLongerRespondsIsClosed() {
        send();
        assertThat(sentPings()).isEqualTo(1);
        pass(LivenessHandler.RESPONSE_TIMEOUT_MS - 1);
        send();
        assertThat(channel.isActive()).isTrue();
        pass(1);
        assertThat(channel.isActive()).isFalse();
        assertThat(unresponsive.getCount()).isEqualTo(1);
    }

    /** Guards against a peer that is never reached again: nothing more is written to a connection with a full buffer. */
    @Test
    void connectionWhoseBufferFillsUpBetweenTwoPingsIsClosed() {
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(1, 1));
        send();
        assertThat(sentPings()).isEqualTo(1);
        channel.writeInbound(PONG);
        channel.write(MESSAGE);
        assertThat(channel.isWritable()).isFalse();
        pass(LivenessHandler.PING_INTERVAL_MS);
        assertThat(channel.isActive()).isTrue();
        pass(LivenessHandler.RESPONSE_TIMEOUT_MS);
        assertThat(channel.isActive()).isFalse();
        assertThat(unresponsive.getCount()).isEqualTo(1);
    }

    /** Guards against a connection that is closed, with all that waits for it, because its link is slow. */
    @Test
    void connectionThatStillTransfersWhatIsBeforeThePingStaysOpen() {
        SlowLink link = new SlowLink();
        EmbeddedChannel slow = new EmbeddedChannel(link, new LivenessHandler(new HostId("peer"), unresponsive));
        slow.freezeTime();
        slow.write(MESSAGE);
        link.transferNext();
        link.transferNext();
        slow.writeInbound(PONG);
        slow.write(MESSAGE);
        slow.write(MESSAGE);
        slow.advanceTimeBy(LivenessHandler.PING_INTERVAL_MS, TimeUnit.MILLISECONDS);
        slow.runScheduledPendingTasks();
        slow.write(MESSAGE);
        while (link.transferNext()) {
            slow.advanceTimeBy(LivenessHandler.RESPONSE_TIMEOUT_MS - 1, TimeUnit.MILLISECONDS);
            slow.runScheduledPendingTasks();
            assertThat(slow.isActive()).isTrue();
        }
        slow.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        slow.runScheduledPendingTasks();
        assertThat(slow.isActive()).isFalse();
    }

    /** Guards against a connection that is closed because the response to a ping is behind a long message. */
    @Test
    void connectionOnWhichAMessageIsBeingReceivedStaysOpen() {
        EmbeddedChannel slow = new EmbeddedChannel();
        PeerPipeline.addFrameHandlers(slow.pipeline());
        slow.pipeline().addLast(new LivenessHandler(new HostId("peer"), unresponsive));
        slow.freezeTime();
        slow.writeOutbound(MESSAGE);
        slow.writeInbound(Unpooled.buffer().writeInt(10));
        for (int i = 0; i < 10; i++) {
            slow.advanceTimeBy(LivenessHandler.RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            slow.runScheduledPendingTasks();
            assertThat(slow.isActive()).isTrue();
            if (i < 9) {
                slow.writeInbound(Unpooled.buffer().writeByte(0));
            }
        }
        slow.advanceTimeBy(LivenessHandler.RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        slow.runScheduledPendingTasks();
        assertThat(slow.isActive()).isFalse();
        slow.finishAndReleaseAll();
    }

    /** Guards against pings that two idle peers send each other for ever. */
    @Test
    void responsesToPingsAreNotFollowedByPings() {
        channel.writeOutbound(LivenessHandler.PONG);
        assertThat(sentPings()).isZero();
    }

    @Test
    void connectionOnWhichThePeerRespondsStaysOpen() {
        for (int i = 0; i < 100; i++) {
            send();
            if (sentPings() > 0) {
                pass(LivenessHandler.RESPONSE_TIMEOUT_MS - 1);
                channel.writeInbound(PONG);
            }
            pass(100);
        }
        assertThat(channel.isActive()).isTrue();
        assertThat((Object) channel.readInbound()).isNull();
    }

    /** Pings cost bytes at each of hundreds of connections. */
    @Test
    void pingsAreSentOncePerIntervalAndOnlyWithMessages() {
        int pings = 0;
        for (int i = 0; i < 100; i++) {
            send();
            int sent = sentPings();
            pings += sent;
            if (sent > 0) {
                channel.writeInbound(PONG);
            }
            pass(LivenessHandler.PING_INTERVAL_MS / 10);
        }
        assertThat(pings).isEqualTo(10);
        pass(60_000);
        assertThat(sentPings()).isZero();
        assertThat(channel.isActive()).isTrue();
    }

    private void send() {
        channel.writeOutbound(MESSAGE);
    }

    private int sentPings() {
        int pings = 0;
        for (Frame frame = channel.readOutbound(); frame != null; frame = channel.readOutbound()) {
            pings += frame.hasPing() ? 1 : 0;
        }
        return pings;
    }

    private void pass(long spanMs) {
        channel.advanceTimeBy(spanMs, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** Transfers one message at a time, when the test says so. */
    private static final class SlowLink extends ChannelOutboundHandlerAdapter {

        private final Deque<Runnable> waiting = new ArrayDeque<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            waiting.add(() -> context.writeAndFlush(message, promise));
        }

        boolean transferNext() {
            Optional<Runnable> next = Optional.ofNullable(waiting.poll());
            next.ifPresent(Runnable::run);
            return next.isPresent();
        }
    }
}
