package org.cornelcrank.server.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.Ping;
import org.cornelcrank.server.wire.RelayData;
import org.cornelcrank.server.wire.RelayRefused;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays both sides of a relayed connection, without a network. */
class RelayHandlerTests {

    private static final HostId PEER = new HostId("peer");
    private static final String TARGET = "target";

    /** What one direction may hold: the water mark and the bytes that were read before it was noticed. */
    private static final int MAX_HELD_BYTES =
            RelayedConnection.WATER_MARK.high() + RelayedConnection.MAX_READ_BYTES + 1024;

    private final MetricRegistry metrics = new MetricRegistry();
    private final HeldFlushes peerLink = new HeldFlushes();
    private final HeldFlushes targetLink = new HeldFlushes();
    private final EmbeddedChannel peer = new EmbeddedChannel(peerLink, new ProtobufEncoder());
    private EmbeddedChannel target;
    private ChannelPromise connecting;
    private long nowMs;
    private boolean stopping;
    private final RelayedConnections relays =
            new RelayedConnections(id -> Optional.of("127.0.0.1:1"), () -> stopping, () -> nowMs, metrics);

    @BeforeEach
    void freeze() {
        peer.freezeTime();
    }

    @AfterEach
    void close() {
        peer.finishAndReleaseAll();
        if (target != null) {
            target.finishAndReleaseAll();
        }
    }

    @Test
    void bytesAreForwardedInBothDirections() {
        open();
        peer.writeInbound(data("request"));
        assertThat(sentToTarget()).isEqualTo("request");
        target.writeInbound(bytes("response"));
        assertThat(sentToPeer()).containsExactly(data("response"));
        assertThat(metrics.counter("relay.bytes").getCount()).isEqualTo("requestresponse".length());
    }

    @Test
    void longBytesAreForwardedInShortFrames() {
        open();
        String text = "x".repeat(200_000);
        target.writeInbound(bytes(text));
        List<Frame> frames = sentToPeer();
        assertThat(frames).allMatch(frame -> frame.getSerializedSize() <= 64 * 1024);
        assertThat(text(frames)).isEqualTo(text);
    }

    @Test
    void endOfTheTargetsBytesFollowsThem() {
        open();
        target.writeInbound(bytes("response"));
        target.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        List<Frame> frames = sentToPeer();
        assertThat(text(frames)).isEqualTo("response");
        assertThat(last(frames).hasRelayEnd()).isTrue();
        assertThat(last(frames).getRelayEnd().getReset()).isFalse();
        assertThat(target.isActive()).isFalse();
        assertThat(gauge()).isZero();
    }

    /** Guards against a part of a response that looks complete, as its target was not sent the whole request. */
    @Test
    void endOfTheTargetsBytesSaysWhatTheTargetHasTaken() {
        open();
        peer.writeInbound(data("request"));
        targetLink.hold();
        peer.writeInbound(data("more"));
        target.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        assertThat(last(sentToPeer()).getRelayEnd().getTakenBytes()).isEqualTo("request".length());
    }

    /** Guards against half a body that looks complete: a failed write closes a connection without an exception. */
    @Test
    void targetsConnectionThatClosesWithoutTheEndOfItsBytesWasReset() {
        open();
        target.close();
        assertThat(last(sentToPeer()).getRelayEnd().getReset()).isTrue();
    }

    @Test
    void targetsConnectionThatFailsWasReset() {
        open();
        target.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        target.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        List<Frame> frames = sentToPeer();
        assertThat(frames).hasSize(1);
        assertThat(frames.get(0).getRelayEnd().getReset()).isTrue();
    }

    /** Guards against an end that the peer never reads, as bytes it still sends reset its connection. */
    @Test
    void peerHasTimeToCloseItsConnectionAfterTheEnd() {
        open();
        target.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        peer.writeInbound(data("more"));
        peer.advanceTimeBy(RelayTargetHandler.CLOSE_TIMEOUT_MS - 1, TimeUnit.MILLISECONDS);
        peer.runScheduledPendingTasks();
        assertThat(peer.isActive()).isTrue();
        peer.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        peer.runScheduledPendingTasks();
        assertThat(peer.isActive()).isFalse();
    }

    /** Guards against a target that goes on with a request whose caller has left. */
    @Test
    void peerThatClosesItsConnectionClosesTheTargets() {
        open();
        peer.close();
        assertThat(target.isActive()).isFalse();
        assertThat(gauge()).isZero();
    }

    @Test
    void peerThatLeavesWhileTheTargetIsConnectedClosesTheTargetsConnection() {
        relay();
        peer.close();
        connecting.setSuccess();
        assertThat(target.isActive()).isFalse();
        assertThat(metrics.counter("relay.opened").getCount()).isZero();
        assertThat(gauge()).isZero();
    }

    /** Guards against a slow caller whose response fills the memory of the relay. */
    @Test
    void targetIsNotReadWhileThePeerDoesNotRead() {
        open();
        peerLink.hold();
        int read = 0;
        while (target.config().isAutoRead()) {
            target.writeInbound(bytes("x".repeat(RelayedConnection.MAX_READ_BYTES)));
            read += RelayedConnection.MAX_READ_BYTES;
        }
        assertThat(read).isLessThanOrEqualTo(MAX_HELD_BYTES);
        peerLink.release();
        assertThat(target.config().isAutoRead()).isTrue();
        assertThat(text(sentToPeer())).hasSize(read);
    }

    @Test
    void peerIsNotReadWhileTheTargetDoesNotRead() {
        open();
        targetLink.hold();
        String chunk = "x".repeat(8 * 1024);
        int read = 0;
        while (peer.config().isAutoRead()) {
            peer.writeInbound(data(chunk));
            read += chunk.length();
        }
        assertThat(read).isLessThanOrEqualTo(MAX_HELD_BYTES);
        targetLink.release();
        assertThat(peer.config().isAutoRead()).isTrue();
        assertThat(sentToTarget()).hasSize(read);
    }

    /** Guards against a peer that is never read again, so that its close goes unnoticed. */
    @Test
    void peerIsReadAgainOnceTheTargetHasClosedItsConnection() {
        open();
        targetLink.hold();
        while (peer.config().isAutoRead()) {
            peer.writeInbound(data("x".repeat(8 * 1024)));
        }
        target.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        assertThat(peer.config().isAutoRead()).isTrue();
    }

    /** Guards against a close of a peer that goes unnoticed as the peer is not read. */
    @Test
    void peerIsSentEmptyFramesOnlyWhileItIsNotRead() {
        open();
        advance(2 * RelayHandler.CLOSE_CHECK_INTERVAL_MS);
        assertThat(sentToPeer()).isEmpty();
        targetLink.hold();
        while (peer.config().isAutoRead()) {
            peer.writeInbound(data("x".repeat(8 * 1024)));
        }
        advance(RelayHandler.CLOSE_CHECK_INTERVAL_MS);
        assertThat(sentToPeer()).containsExactly(data(""));
        advance(RelayHandler.CLOSE_CHECK_INTERVAL_MS);
        assertThat(sentToPeer()).containsExactly(data(""));
        targetLink.release();
        advance(2 * RelayHandler.CLOSE_CHECK_INTERVAL_MS);
        assertThat(sentToPeer()).isEmpty();
    }

    private void advance(long timeMs) {
        peer.advanceTimeBy(timeMs, TimeUnit.MILLISECONDS);
        peer.runScheduledPendingTasks();
    }

    @Test
    void connectionOfAPeerThatIsLostIsClosedEventually() {
        open();
        peer.advanceTimeBy(RelayHandler.IDLE_LIMIT_S, TimeUnit.SECONDS);
        peer.runScheduledPendingTasks();
        assertThat(peer.isActive()).isFalse();
        assertThat(target.isActive()).isFalse();
    }

    /** Guards against empty frames that count as bytes, so that a lost peer never counts as idle. */
    @Test
    void connectionOfAPeerThatIsLostWhileTheTargetDoesNotReadIsClosedEventually() {
        open();
        targetLink.hold();
        while (peer.config().isAutoRead()) {
            peer.writeInbound(data("x".repeat(8 * 1024)));
        }
        long limitMs = TimeUnit.SECONDS.toMillis(RelayHandler.STALL_LIMIT_S);
        while (nowMs < limitMs) {
            assertThat(peer.isActive()).isTrue();
            nowMs += RelayHandler.CLOSE_CHECK_INTERVAL_MS;
            advance(RelayHandler.CLOSE_CHECK_INTERVAL_MS);
        }
        assertThat(peer.isActive()).isFalse();
        assertThat(target.isActive()).isFalse();
    }

    /** Guards against a sound attempt cut by its relay before its time limit, which is up to two minutes. */
    @Test
    void responseThatBeginsAfterAMinuteIsRelayed() {
        open();
        peer.writeInbound(data("request"));
        peer.advanceTimeBy(100, TimeUnit.SECONDS);
        peer.runScheduledPendingTasks();
        assertThat(peer.isActive()).isTrue();
        target.writeInbound(bytes("response"));
        assertThat(text(sentToPeer())).isEqualTo("response");
    }

    /** Guards against the place of a lost peer that is held for as long as a sound attempt may be silent. */
    @Test
    void connectionOfAPeerThatDoesNotTakeItsResponseIsClosedAfterAMinute() {
        open();
        peerLink.hold();
        while (target.config().isAutoRead()) {
            target.writeInbound(bytes("x".repeat(RelayedConnection.MAX_READ_BYTES)));
        }
        assertIsClosedAfterAMinute();
    }

    @Test
    void connectionToATargetThatDoesNotTakeItsRequestIsClosedAfterAMinute() {
        open();
        targetLink.hold();
        while (peer.config().isAutoRead()) {
            peer.writeInbound(data("x".repeat(8 * 1024)));
        }
        assertIsClosedAfterAMinute();
    }

    private void assertIsClosedAfterAMinute() {
        peer.advanceTimeBy(60, TimeUnit.SECONDS);
        peer.runScheduledPendingTasks();
        assertThat(peer.isActive()).isFalse();
        assertThat(target.isActive()).isFalse();
        assertThat(gauge()).isZero();
    }

    @Test
    void frameOfAnotherKindClosesBothConnections() {
        open();
        peer.writeInbound(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
        assertThat(peer.isActive()).isFalse();
        assertThat(target.isActive()).isFalse();
    }

    @Test
    void bytesBeforeTheConnectionIsOpenCloseIt() {
        relay();
        peer.writeInbound(data("early"));
        assertThat(peer.isActive()).isFalse();
        assertThat(target.isActive()).isFalse();
    }

    @Test
    void unreachableTargetIsRefused() {
        relay();
        connecting.setFailure(new IOException("refused"));
        assertRefused(RelayRefused.Reason.UNREACHABLE);
        assertThat(gauge()).isZero();
    }

    @Test
    void connectionBeyondTheLimitIsRefusedUntilAnotherOneEnds() {
        List<RelayedConnection> others = new ArrayList<>();
        for (int i = 0; i < RelayedConnections.MAX_CONNECTIONS; i++) {
            others.add(relays.reserve(PEER, TARGET));
        }
        relay();
        assertRefused(RelayRefused.Reason.NO_ROOM);
        assertThat(metrics.counter("relay.refused.no-room").getCount()).isEqualTo(1);
        others.get(0).end("test");
        relays.reserve(PEER, TARGET);
        assertThat(relays.refusalReason()).isEmpty();
    }

    @Test
    void connectionIsRefusedWhileTheDaemonStops() {
        stopping = true;
        relay();
        assertRefused(RelayRefused.Reason.STOPPING);
    }

    @Test
    void targetWhoseNameIsNotValidIsUnknown() {
        peer.pipeline().addLast(new RelayHandler(relays, this::connect, relays.reserve(PEER, "no name")));
        assertRefused(RelayRefused.Reason.UNKNOWN_TARGET);
    }

    /** Guards against a stop that cuts a response in two. */
    @Test
    void daemonIsNotQuietUntilNoByteWasCarriedForSomeTime() {
        open();
        nowMs = 5_000;
        assertThat(relays.quiet(nowMs)).isTrue();
        target.writeInbound(bytes("event"));
        assertThat(relays.quiet(nowMs + RelayedConnections.QUIET_MS - 1)).isFalse();
        assertThat(relays.quiet(nowMs + RelayedConnections.QUIET_MS)).isTrue();
        target.writeInbound(bytes("event"));
        peer.close();
        assertThat(relays.quiet(nowMs)).isTrue();
    }

    /** Guards against a stop that cuts a request whose target takes longer than others to respond. */
    @Test
    void daemonIsNotQuietWhileATargetOwesAResponse() {
        open();
        peer.writeInbound(data("request"));
        assertThat(relays.quiet(nowMs + 10 * RelayedConnections.QUIET_MS)).isFalse();
        target.writeInbound(bytes("response"));
        assertThat(relays.quiet(nowMs + RelayedConnections.QUIET_MS - 1)).isFalse();
        assertThat(relays.quiet(nowMs + RelayedConnections.QUIET_MS)).isTrue();
    }

    private void open() {
        relay();
        connecting.setSuccess();
        assertThat(sentToPeer()).hasSize(1).allMatch(Frame::hasRelayOpened);
    }

    private void relay() {
        peer.pipeline().addLast(new RelayHandler(relays, this::connect, relays.reserve(PEER, TARGET)));
    }

    private ChannelFuture connect(EventLoop eventLoop, InetSocketAddress address, ChannelHandler handler) {
        target = new EmbeddedChannel(targetLink, handler);
        target.config().setWriteBufferWaterMark(RelayedConnection.WATER_MARK);
        target.config().setAutoRead(false);
        connecting = target.newPromise();
        return connecting;
    }

    private void assertRefused(RelayRefused.Reason reason) {
        assertThat(sentToPeer())
                .extracting(frame -> frame.getRelayRefused().getReason())
                .containsExactly(reason);
        assertThat(peer.isActive()).isFalse();
    }

    private int gauge() {
        return (Integer) metrics.getGauges().get("relay.connections").getValue();
    }

    private List<Frame> sentToPeer() {
        List<Frame> frames = new ArrayList<>();
        for (ByteBuf sent = peer.readOutbound(); sent != null; sent = peer.readOutbound()) {
            try {
                frames.add(Frame.parseFrom(ByteBufUtil.getBytes(sent)));
            } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
            } finally {
                sent.release();
            }
        }
        return frames;
    }

    private String sentToTarget() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf sent = target.readOutbound(); sent != null; sent = target.readOutbound()) {
            text.append(sent.toString(StandardCharsets.UTF_8));
            sent.release();
        }
        return text.toString();
    }

    private static Frame last(List<Frame> frames) {
        return frames.get(frames.size() - 1);
    }

    private static String text(List<Frame> frames) {
        StringBuilder text = new StringBuilder();
        frames.forEach(frame -> text.append(frame.getRelayData().getContent().toStringUtf8()));
        return text.toString();
    }

    private static Frame data(String text) {
        return Frame.newBuilder()
                .setRelayData(RelayData.newBuilder().setContent(ByteString.copyFromUtf8(text)))
                .build();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    /** A link that transfers nothing while it is held. */
    private static final class HeldFlushes extends ChannelOutboundHandlerAdapter {

        private boolean held;
        private ChannelHandlerContext context;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
        }

        @Override
        public void flush(ChannelHandlerContext flushed) {
            if (!held) {
                flushed.flush();
            }
        }

        void hold() {
            held = true;
        }

        void release() {
            held = false;
            context.flush();
        }
    }
}
