package org.cornelcrank.server.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.platform.fake.SilencingProxy;
import org.cornelcrank.server.FreePorts;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTransportTests {

    private static final HostId ALPHA = new HostId("alpha");
    private static final HostId BETA = new HostId("beta");
    private static final long HANG_LIMIT_S = 30;
    private static final int MAX_SENDS = 300;

    private final Map<HostId, String> addresses = new ConcurrentHashMap<>();
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    private final List<Runnable> closers = new ArrayList<>();

    @AfterEach
    void close() {
        closers.forEach(Runnable::run);
    }

    @Test
    void messagesOfOneConnectionArriveInOrder() throws InterruptedException {
        PeerTransport alpha = transport(ALPHA, "secret");
        transport(BETA, "secret");
        for (int i = 0; i < 100; i++) {
            send(alpha, "message " + i, Effect.Delivery.CONNECTION);
        }
        for (int i = 0; i < 100; i++) {
            assertThat(next()).isEqualTo(new TextMessage("message " + i));
        }
    }

    @Test
    void smallMessageArrivesAsDatagram() throws InterruptedException {
        PeerTransport alpha = transport(ALPHA, "secret");
        transport(BETA, "secret");
        send(alpha, "probe", Effect.Delivery.DATAGRAM);
        assertThat(next()).isEqualTo(new TextMessage("probe"));
    }

    @Test
    void messageTooLongForADatagramIsSentOverTheConnection() throws InterruptedException {
        PeerTransport alpha = transport(ALPHA, "secret");
        transport(BETA, "secret");
        String text = "x".repeat(10_000);
        send(alpha, text, Effect.Delivery.DATAGRAM);
        assertThat(next()).isEqualTo(new TextMessage(text));
    }

    /** Guards against messages that are lost for ever: a proxy keeps the connection open and forwards nothing more. */
    @Test
    void connectionThatHasGoneSilentIsReplaced() throws Exception {
        PeerTransport alpha = transport(ALPHA, "secret");
        transport(BETA, "secret");
        try (SilencingProxy proxy = new SilencingProxy(SocketAddresses.parse(addresses.get(BETA)))) {
            addresses.put(BETA, SocketAddresses.format(proxy.address()));
            send(alpha, "before", Effect.Delivery.CONNECTION);
            assertThat(next()).isEqualTo(new TextMessage("before"));
            proxy.silenceOpenConnections();
            PeerMessage arrived = null;
            for (int i = 0; arrived == null && i < MAX_SENDS; i++) {
                send(alpha, "after", Effect.Delivery.CONNECTION);
                arrived = received.poll(100, TimeUnit.MILLISECONDS);
            }
            assertThat(arrived).isEqualTo(new TextMessage("after"));
        }
    }

    /** Guards against replies that need the seven ways of a first message once more. */
    @Test
    void replyNeedsNoConnectionOfItsOwn() throws Exception {
        PeerTransport alpha = transport(ALPHA, "secret");
        PeerTransport beta = transport(BETA, "secret");
        addresses.put(ALPHA, "127.0.0.1:" + freePort());
        send(alpha, "request", Effect.Delivery.CONNECTION);
        assertThat(next()).isEqualTo(new TextMessage("request"));
        for (int i = 0; i < 100; i++) {
            send(beta, ALPHA, "reply " + i);
        }
        for (int i = 0; i < 100; i++) {
            assertThat(next()).isEqualTo(new TextMessage("reply " + i));
        }
    }

    @Test
    void connectionOfThePeerThatHasGoneSilentIsReplaced() throws Exception {
        PeerTransport alpha = transport(ALPHA, "secret");
        PeerTransport beta = transport(BETA, "secret");
        try (SilencingProxy proxy = new SilencingProxy(SocketAddresses.parse(addresses.get(BETA)))) {
            addresses.put(BETA, SocketAddresses.format(proxy.address()));
            send(alpha, "request", Effect.Delivery.CONNECTION);
            assertThat(next()).isEqualTo(new TextMessage("request"));
            proxy.silenceOpenConnections();
            PeerMessage arrived = null;
            for (int i = 0; arrived == null && i < MAX_SENDS; i++) {
                send(beta, ALPHA, "reply");
                arrived = received.poll(100, TimeUnit.MILLISECONDS);
            }
            assertThat(arrived).isEqualTo(new TextMessage("reply"));
        }
    }

    @Test
    void replyToARestartedPeerDoesNotGoToItsEarlierConnection() throws Exception {
        PeerTransport alpha = transport(ALPHA, "secret");
        PeerTransport beta = transport(BETA, "secret");
        try (SilencingProxy proxy = new SilencingProxy(SocketAddresses.parse(addresses.get(BETA)))) {
            addresses.put(BETA, SocketAddresses.format(proxy.address()));
            send(alpha, "request", Effect.Delivery.CONNECTION);
            assertThat(next()).isEqualTo(new TextMessage("request"));
            proxy.silenceOpenConnections();
            PeerTransport restarted = transport(ALPHA, "secret", 2);
            addresses.put(ALPHA, "127.0.0.1:" + freePort());
            send(restarted, "request", Effect.Delivery.CONNECTION);
            assertThat(next()).isEqualTo(new TextMessage("request"));
            send(beta, ALPHA, "reply");
            assertThat(next()).isEqualTo(new TextMessage("reply"));
        }
    }

    @Test
    void messagesOfAPeerWithAWrongKeyAreDropped() throws InterruptedException {
        PeerTransport stranger = transport(new HostId("stranger"), "guess");
        PeerTransport alpha = transport(ALPHA, "secret");
        transport(BETA, "secret");
        send(stranger, "forged", Effect.Delivery.DATAGRAM);
        send(stranger, "forged", Effect.Delivery.CONNECTION);
        send(alpha, "genuine", Effect.Delivery.CONNECTION);
        assertThat(next()).isEqualTo(new TextMessage("genuine"));
    }

    private PeerTransport transport(HostId host, String key) {
        return transport(host, key, 1);
    }

    private PeerTransport transport(HostId host, String key, long incarnation) {
        MetricRegistry metrics = new MetricRegistry();
        MonotonicClock clock = new MonotonicClock();
        CoreLoop loop = new CoreLoop(
                new DaemonCore(List.of(new RecordingStateMachine(received)), new DecisionJournal(1, 1), dispatch -> {}),
                clock,
                metrics);
        PeerSecurity security =
                new PeerSecurity(new PeerIdentity("test", host, incarnation), new SharedKey(key), Optional.empty());
        PeerTransport transport = new PeerTransport(
                security,
                new PeerCodecs(List.of(new TextCodec())),
                to -> Optional.ofNullable(addresses.get(to)),
                loop,
                clock,
                metrics);
        addresses.put(host, SocketAddresses.format(transport.bind(new InetSocketAddress("127.0.0.1", freePort()))));
        closers.add(() -> {
            transport.close();
            loop.stop();
        });
        return transport;
    }

    private static int freePort() {
        try {
            return FreePorts.next();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void send(PeerTransport transport, String text, Effect.Delivery delivery) {
        transport.run(new Effect.Send(BETA, new TextMessage(text), delivery));
    }

    private static void send(PeerTransport transport, HostId to, String text) {
        transport.run(new Effect.Send(to, new TextMessage(text), Effect.Delivery.CONNECTION));
    }

    private PeerMessage next() throws InterruptedException {
        return received.poll(HANG_LIMIT_S, TimeUnit.SECONDS);
    }

    /** A message that consists of a text. */
    private record TextMessage(String text) implements PeerMessage {}

    /** Encodes a text as UTF-8. */
    private static final class TextCodec implements PeerMessageCodec {

        @Override
        public String slice() {
            return "text";
        }

        @Override
        public boolean supports(PeerMessage message) {
            return message instanceof TextMessage;
        }

        @Override
        public ByteString encode(PeerMessage message) {
            return ByteString.copyFromUtf8(((TextMessage) message).text());
        }

        @Override
        public PeerMessage decode(ByteString payload) {
            return new TextMessage(payload.toStringUtf8());
        }
    }

    /** Records the messages of peers. */
    private record RecordingStateMachine(BlockingQueue<PeerMessage> received) implements StateMachine {

        @Override
        public String name() {
            return "recording";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            if (event instanceof Event.PeerMessageReceived message) {
                received.add(message.message());
            }
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {
            writer.field("received", received.size());
        }
    }
}
