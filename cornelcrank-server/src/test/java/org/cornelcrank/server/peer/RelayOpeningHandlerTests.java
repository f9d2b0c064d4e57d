package org.cornelcrank.server.peer;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.server.wire.Challenge;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.RelayData;
import org.cornelcrank.server.wire.RelayEnd;
import org.cornelcrank.server.wire.RelayOpened;
import org.cornelcrank.server.wire.RelayRefused;
import org.cornelcrank.server.wire.Welcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays the peer that relays, on a virtual clock. */
class RelayOpeningHandlerTests {

    private static final long TIMEOUT_MS = 500;
    private static final HostId RELAY = new HostId("relay");
    private static final RelayRoute ROUTE =
            new RelayRoute(RELAY, new InetSocketAddress("127.0.0.1", 1), new TargetId("target"));
    private static final Frame OPENED =
            Frame.newBuilder().setRelayOpened(RelayOpened.getDefaultInstance()).build();

    private final SharedKey key = new SharedKey("secret");
    private final Handshake relay = new Handshake(new PeerIdentity("test", RELAY, 1), key);
    private final Recorder behind = new Recorder();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Challenge challenge = relay.challenge();

    RelayOpeningHandlerTests() {
        channel.freezeTime();
        Handshake handshake = new Handshake(new PeerIdentity("test", new HostId("host"), 1), key);
        channel.pipeline().addLast(new RelayOpeningHandler(handshake, ROUTE, TIMEOUT_MS), behind);
        channel.pipeline().fireChannelActive();
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    /** Guards against a request that is written to the peer before the target is connected. */
    @Test
    void connectionIsActiveOnceTheTargetIsConnected() {
        welcome();
        assertThat(behind.events).isEmpty();
        channel.writeInbound(OPENED);
        assertThat(behind.events).containsExactly("active");
    }

    @Test
    void targetIsNamedRightBehindTheHello() {
        channel.writeInbound(Frame.newBuilder().setChallenge(challenge).build());
        Frame hello = channel.readOutbound();
        Frame open = channel.readOutbound();
        assertThat(hello.hasHello()).isTrue();
        assertThat(open.getOpenRelay().getTarget()).isEqualTo("target");
    }

    @Test
    void bytesAreCarriedOnceTheConnectionIsOpen() {
        open();
        channel.writeOutbound(Unpooled.copiedBuffer("request", StandardCharsets.UTF_8));
        Frame sent = channel.readOutbound();
        assertThat(sent.getRelayData().getContent().toStringUtf8()).isEqualTo("request");
        channel.writeInbound(data("response"));
        assertThat(behind.events).containsExactly("active", "response");
    }

    @Test
    void longBytesAreSentInShortFrames() {
        open();
        channel.writeOutbound(Unpooled.copiedBuffer("x".repeat(200_000), StandardCharsets.UTF_8));
        int sentBytes = 0;
        for (Frame sent = channel.readOutbound(); sent != null; sent = channel.readOutbound()) {
            assertThat(sent.getSerializedSize()).isLessThanOrEqualTo(64 * 1024);
            sentBytes += sent.getRelayData().getContent().size();
        }
        assertThat(sentBytes).isEqualTo(200_000);
    }

    @Test
    void endOfTheTargetsBytesIsAnEndWithoutAnError() {
        open();
        channel.writeInbound(data("response"), end(false));
        assertThat(behind.events).containsExactly("active", "response", "inactive");
        assertThat(RelayClient.failure(channel)).isEmpty();
    }

    @Test
    void endOfTheTargetsBytesAfterItHasTakenTheRequestIsAnEndWithoutAnError() {
        open();
        channel.writeOutbound(Unpooled.copiedBuffer("request", StandardCharsets.UTF_8));
        channel.writeInbound(data("response"), end(RelayEnd.newBuilder().setTakenBytes("request".length())));
        assertThat(behind.events).containsExactly("active", "response", "inactive");
    }

    /** Guards against a part of a response that looks complete, as its target was not sent the whole request. */
    @Test
    void endOfTheTargetsBytesBeforeItHasTakenTheRequestIsAnError() {
        open();
        channel.writeOutbound(Unpooled.copiedBuffer("request", StandardCharsets.UTF_8));
        channel.writeInbound(data("response"), end(RelayEnd.newBuilder().setTakenBytes(3)));
        assertThat(behind.events).containsExactly("active", "response", "TARGET_RESET", "inactive");
    }

    /** Guards against the same through a peer whose software does not tell what the target has taken. */
    @Test
    void endOfTheTargetsBytesWithoutWhatItHasTakenIsAnError() {
        open();
        channel.writeInbound(data("response"), end(RelayEnd.newBuilder()));
        assertThat(behind.events).containsExactly("active", "response", "TARGET_RESET", "inactive");
    }

    @Test
    void resetOfTheTargetIsAnError() {
        open();
        channel.writeInbound(data("response"), end(true));
        assertThat(behind.events).containsExactly("active", "response", "TARGET_RESET", "inactive");
    }

    /** Guards against half a body without a length that looks complete. */
    @Test
    void lossOfThePeerIsAnError() {
        open();
        channel.writeInbound(data("response"));
        channel.close();
        assertThat(behind.events).containsExactly("active", "response", "PEER_LOST", "inactive");
    }

    @Test
    void frameOfAnotherKindIsAnError() {
        open();
        channel.writeInbound(OPENED, data("late"));
        assertThat(behind.events).containsExactly("active", "PEER_LOST", "inactive");
    }

    @ParameterizedTest
    @EnumSource(
            value = RelayRefused.Reason.class,
            names = {"UNKNOWN_TARGET", "UNREACHABLE", "NO_ROOM", "STOPPING"})
    void refusalSaysWhetherTheTargetIsOutOfReach(RelayRefused.Reason reason) {
        welcome();
        channel.writeInbound(Frame.newBuilder()
                .setRelayRefused(RelayRefused.newBuilder().setReason(reason))
                .build());
        boolean unreachable = reason == RelayRefused.Reason.UNKNOWN_TARGET || reason == RelayRefused.Reason.UNREACHABLE;
        assertThat(behind.events).containsExactly(unreachable ? "TARGET_UNREACHABLE" : "RELAY_FAILED", "inactive");
    }

    /** A peer of an older version closes the connection when it reads the unknown frame. */
    @Test
    void peerThatClosesTheConnectionInsteadOfOpeningHasFailed() {
        welcome();
        channel.close();
        assertThat(behind.events).containsExactly("RELAY_FAILED", "inactive");
    }

    /** Guards against a request that reaches a daemon which does not hold the key. */
    @Test
    void peerThatOpensWithoutAWelcomeHasFailed() {
        channel.writeInbound(Frame.newBuilder().setChallenge(challenge).build(), OPENED);
        assertThat(behind.events).containsExactly("RELAY_FAILED", "inactive");
    }

    @Test
    void peerWithoutTheKeyHasFailed() {
        channel.writeInbound(
                Frame.newBuilder().setChallenge(challenge).build(),
                Frame.newBuilder()
                        .setWelcome(Welcome.newBuilder().setHost(RELAY.value()))
                        .build());
        assertThat(behind.events).containsExactly("RELAY_FAILED", "inactive");
    }

    @Test
    void peerThatDoesNotOpenInTimeHasFailed() {
        welcome();
        pass(TIMEOUT_MS - 1);
        assertThat(behind.events).isEmpty();
        pass(1);
        assertThat(behind.events).containsExactly("RELAY_FAILED", "inactive");
    }

    @Test
    void openConnectionOutlivesTheTimeLimitOfOpening() {
        open();
        pass(TIMEOUT_MS);
        assertThat(channel.isActive()).isTrue();
    }

    private void open() {
        welcome();
        channel.writeInbound(OPENED);
    }

    private void welcome() {
        channel.writeInbound(Frame.newBuilder().setChallenge(challenge).build());
        Frame hello = channel.readOutbound();
        channel.readOutbound();
        channel.writeInbound(Frame.newBuilder()
                .setWelcome(relay.welcome(challenge, hello.getHello()))
                .build());
    }

    private void pass(long ms) {
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private static Frame data(String text) {
        return Frame.newBuilder()
                .setRelayData(RelayData.newBuilder().setContent(ByteString.copyFromUtf8(text)))
                .build();
    }

    /** Returns the end of a connection whose target was sent nothing. */
    private static Frame end(boolean reset) {
        return end(RelayEnd.newBuilder().setReset(reset).setTakenBytes(0));
    }

    private static Frame end(RelayEnd.Builder end) {
        return Frame.newBuilder().setRelayEnd(end).build();
    }

    /** Records what the handlers of the target's connection see. */
    private static final class Recorder extends ChannelInboundHandlerAdapter {

        private final List<String> events = new ArrayList<>();

        @Override
        public void channelActive(ChannelHandlerContext context) {
            events.add("active");
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            events.add("inactive");
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            events.add(((ByteBuf) message).toString(StandardCharsets.UTF_8));
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            events.add(((RelayException) cause).failed().name());
        }
    }
}
