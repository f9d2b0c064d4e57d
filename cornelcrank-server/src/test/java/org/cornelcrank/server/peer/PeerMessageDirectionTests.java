package org.cornelcrank.server.peer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import org.cornelcrank.core.HostId;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.wire.Envelope;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.Hello;
import org.cornelcrank.server.wire.OpenRelay;
import org.cornelcrank.server.wire.Ping;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays both sides of a peer connection, without a network. */
class PeerMessageDirectionTests {

    private static final HostId ALPHA = new HostId("alpha");
    private static final HostId BETA = new HostId("beta");
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final Frame MESSAGE = Frame.newBuilder()
            .setEnvelope(Envelope.newBuilder().setSlice("text"))
            .build();
    private static final Frame OPEN_RELAY = Frame.newBuilder()
            .setOpenRelay(OpenRelay.newBuilder().setTarget("target"))
            .build();

    private final MetricRegistry metrics = new MetricRegistry();
    private final Counter dropped = new Counter();
    private final MonotonicClock clock = new MonotonicClock();
    private final CoreLoop loop =
            new CoreLoop(new DaemonCore(List.of(), new DecisionJournal(1, 1), dispatch -> {}), clock, metrics);
    private final PeerReceiver receiver = new PeerReceiver(new PeerCodecs(List.of()), loop, metrics);
    private final Handshake alpha = handshake(ALPHA);
    private final Handshake beta = handshake(BETA);
    private final PeerConnection toAlpha = new PeerConnection((address, onReady) -> failedAttempt(), dropped);
    private final EmbeddedChannel accepting = new EmbeddedChannel(new AcceptingHandler(
            beta,
            receiver,
            Optional.of(new RelayedConnections(id -> Optional.empty(), () -> false, clock::nowMs, metrics)),
            peer -> toAlpha,
            new Counter()));

    @AfterEach
    void close() {
        accepting.finishAndReleaseAll();
        loop.stop();
    }

    @Test
    void peerThatAcceptsMessagesIsSentThemAfterItsFirst() {
        authenticate(hello -> hello.setAcceptsMessages(true));
        send();
        assertThat((Object) accepting.readOutbound()).isNull();
        accepting.writeInbound(MESSAGE);
        send();
        assertThat((Object) accepting.readOutbound()).isEqualTo(MESSAGE);
        assertThat(accepting.<Frame>readOutbound().hasPing()).isTrue();
    }

    /** Guards the rolling upgrade: an earlier version closes a connection on which it is sent a message. */
    @Test
    void peerOfAnEarlierVersionIsSentNothingButResponses() {
        authenticate(hello -> hello);
        accepting.writeInbound(MESSAGE);
        send();
        assertThat((Object) accepting.readOutbound()).isNull();
        accepting.writeInbound(
                Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
        assertThat(accepting.<Frame>readOutbound().hasPong()).isTrue();
    }

    @Test
    void connectionThatBecomesARelayIsSentNoMessages() {
        authenticate(hello -> hello.setAcceptsMessages(true));
        accepting.writeInbound(OPEN_RELAY);
        assertThat(accepting.<Frame>readOutbound().hasRelayRefused()).isTrue();
        send();
        assertThat((Object) accepting.readOutbound()).isNull();
    }

    @Test
    void connectionOverWhichMessagesAreSentBecomesNoRelay() {
        authenticate(hello -> hello.setAcceptsMessages(true));
        accepting.writeInbound(MESSAGE, OPEN_RELAY);
        assertThat((Object) accepting.readOutbound()).isNull();
        assertThat(accepting.isActive()).isFalse();
    }

    @Test
    void messagesOfTheAcceptingPeerAreReceivedOnlyOnceItHasProvenTheKey() {
        EmbeddedChannel connecting = connecting();
        connecting.writeInbound(
                Frame.newBuilder().setChallenge(beta.challenge()).build(), MESSAGE);
        assertThat(connecting.isActive()).isFalse();
        assertThat(received()).isZero();
    }

    @Test
    void messagesAndPingsOfTheAcceptingPeerAreReceived() {
        EmbeddedChannel connecting = connecting();
        connecting.writeInbound((Object) accepting.readOutbound());
        accepting.writeInbound((Object) connecting.readOutbound());
        connecting.writeInbound((Object) accepting.readOutbound());
        connecting.writeInbound(
                MESSAGE, Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
        assertThat(received()).isEqualTo(1);
        assertThat(connecting.<Frame>readOutbound().hasPong()).isTrue();
        assertThat(connecting.isActive()).isTrue();
    }

    private void authenticate(UnaryOperator<Hello.Builder> version) {
        Frame challenge = accepting.readOutbound();
        Hello hello = alpha.hello(challenge.getChallenge());
        accepting.writeInbound(
                Frame.newBuilder().setHello(version.apply(hello.toBuilder())).build());
        assertThat(accepting.<Frame>readOutbound().hasWelcome()).isTrue();
    }

    private EmbeddedChannel connecting() {
        return new EmbeddedChannel(new ConnectingHandler(alpha, BETA, receiver, ready -> {}, new Counter()));
    }

    private void send() {
        toAlpha.send(MESSAGE, ADDRESS, 0);
    }

    private ChannelFuture failedAttempt() {
        return new EmbeddedChannel().newFailedFuture(new IllegalStateException("not reached"));
    }

    private long received() {
        return metrics.counter("peer.messages-received").getCount();
    }

    private static Handshake handshake(HostId host) {
        return new Handshake(new PeerIdentity("test", host, 1), new SharedKey("secret"));
    }
}
