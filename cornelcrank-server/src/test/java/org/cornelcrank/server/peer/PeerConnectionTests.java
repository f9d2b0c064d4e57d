package org.cornelcrank.server.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.cornelcrank.server.wire.Envelope;
import org.cornelcrank.server.wire.Frame;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays a connection to a peer whose link transfers nothing until the test flushes it. */
class PeerConnectionTests {

    private static final int PAGE_BYTES = 400 * 1_024;
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);

    private final Counter dropped = new Counter();
    private final List<Consumer<Channel>> attempts = new ArrayList<>();
    private final HeldFlushes link = new HeldFlushes();
    private final EmbeddedChannel accepted = new EmbeddedChannel();
    private final EmbeddedChannel channel = new EmbeddedChannel(link, new ProtobufEncoder());

    @Test
    void messagesBehindAPageThatIsBeingTransferredAreNotDropped() {
        PeerConnection connection = connected();
        connection.send(message(PAGE_BYTES), ADDRESS, 0);
        connection.send(message(100), ADDRESS, 1);
        connection.send(message(PAGE_BYTES), ADDRESS, 2);
        assertThat(dropped.getCount()).isZero();
        link.release();
        assertThat(channel.outboundMessages()).hasSize(3);
    }

    @Test
    void messagesOfAPeerThatReceivesNothingAreLimited() {
        PeerConnection connection = connected();
        for (int i = 0; i < 20; i++) {
            connection.send(message(PAGE_BYTES), ADDRESS, i);
        }
        link.release();
        assertThat(channel.outboundMessages()).hasSizeLessThan(10);
        assertThat(dropped.getCount()).isEqualTo(20 - channel.outboundMessages().size());
    }

    /** Guards against a peer that is never connected again after an attempt for which there was no descriptor. */
    @Test
    void attemptThatFailsWithoutAClosedChannelIsFollowedByAnother() {
        PeerConnection connection = new PeerConnection(
                (address, onReady) -> {
                    attempts.add(onReady);
                    return channel.newFailedFuture(new IOException("too many open files"));
                },
                dropped);
        connection.send(message(100), ADDRESS, 0);
        connection.send(message(100), ADDRESS, PeerConnection.RETRY_DELAY_MS);
        assertThat(attempts).hasSize(2);
    }

    @Test
    void messagesOfAPeerThatReceivesNothingOnItsOwnConnectionAreLimited() {
        PeerConnection connection = new PeerConnection(this::connect, dropped);
        connection.onAccepted(channel, 1, connection.onHello(1));
        for (int i = 0; i < 20; i++) {
            connection.send(message(PAGE_BYTES), ADDRESS, i);
        }
        link.release();
        assertThat(channel.outboundMessages()).hasSizeLessThan(10);
        assertThat(dropped.getCount()).isEqualTo(20 - channel.outboundMessages().size());
        assertThat(attempts).isEmpty();
    }

    /** Guards against messages that overtake each other on two connections. */
    @Test
    void connectionOfThePeerTakesThePlaceOfAnAttempt() {
        PeerConnection connection = new PeerConnection(this::connect, dropped);
        connection.send(message(1), ADDRESS, 0);
        connection.onAccepted(accepted, 1, connection.onHello(1));
        connection.send(message(2), ADDRESS, 1);
        attempts.get(0).accept(channel);
        connection.send(message(3), ADDRESS, 2);
        assertThat(accepted.outboundMessages()).containsExactly(message(1), message(2), message(3));
        assertThat(channel.isActive()).isFalse();
    }

    /** Guards against queued messages that are dropped for a connection which the peer has closed already. */
    @Test
    void attemptGoesOnIfTheConnectionOfThePeerIsClosedAlready() {
        PeerConnection connection = new PeerConnection(this::connect, dropped);
        connection.send(message(1), ADDRESS, 0);
        long hello = connection.onHello(1);
        accepted.close();
        connection.onAccepted(accepted, 1, hello);
        attempts.get(0).accept(channel);
        link.release();
        assertThat(channel.outboundMessages()).hasSize(1);
        assertThat(dropped.getCount()).isZero();
    }

    @Test
    void openConnectionIsKeptWhenThePeerOpensOne() {
        PeerConnection connection = connected();
        connection.onAccepted(accepted, 1, connection.onHello(1));
        connection.send(message(1), ADDRESS, 1);
        link.release();
        assertThat(channel.outboundMessages()).hasSize(1);
        assertThat(accepted.outboundMessages()).isEmpty();
    }

    @Test
    void connectionOfThePeerThatIsClosedIsReplaced() {
        PeerConnection connection = new PeerConnection(this::connect, dropped);
        connection.onAccepted(accepted, 1, connection.onHello(1));
        accepted.close();
        connection.send(message(1), ADDRESS, 0);
        assertThat(attempts).hasSize(1);
    }

    /** Guards against replies to a process that is gone: what it has sent may arrive after its successor's hello. */
    @Test
    void connectionOfAnEarlierIncarnationIsNotUsed() {
        PeerConnection connection = new PeerConnection(this::connect, dropped);
        connection.onAccepted(accepted, 1, connection.onHello(1));
        long late = connection.onHello(1);
        connection.onHello(2);
        connection.onAccepted(new EmbeddedChannel(), 1, late);
        connection.send(message(1), ADDRESS, 0);
        assertThat(accepted.outboundMessages()).isEmpty();
        assertThat(attempts).hasSize(1);
    }

    @Test
    void connectionThatThePeerHasOpenedLastIsUsed() {
        PeerConnection connection = new PeerConnection(this::connect, dropped);
        long late = connection.onHello(1);
        connection.onAccepted(accepted, 1, connection.onHello(1));
        connection.onAccepted(channel, 1, late);
        connection.send(message(1), ADDRESS, 0);
        assertThat(accepted.outboundMessages()).hasSize(1);
    }

    @Test
    void connectionsToTheAddressAtWhichAPeerWasAreNotUsed() {
        PeerConnection connection = new PeerConnection(this::connect, dropped);
        connection.onAccepted(accepted, 1, connection.onHello(1));
        connection.send(message(1), ADDRESS, 0);
        connection.send(message(2), new InetSocketAddress("127.0.0.1", 2), 1);
        assertThat(accepted.outboundMessages()).containsExactly(message(1));
        assertThat(attempts).hasSize(1);
        connection.send(message(3), ADDRESS, 2);
        assertThat(channel.isActive()).isFalse();
        assertThat(attempts).hasSize(2);
    }

    private PeerConnection connected() {
        PeerConnection connection = new PeerConnection(this::connect, dropped);
        connection.send(message(100), ADDRESS, 0);
        attempts.get(0).accept(channel);
        link.release();
        channel.releaseOutbound();
        link.hold();
        return connection;
    }

    private ChannelFuture connect(InetSocketAddress address, Consumer<Channel> onReady) {
        attempts.add(onReady);
        return channel.newSucceededFuture();
    }

    private static Frame message(int bytes) {
        Envelope envelope = Envelope.newBuilder()
                .setPayload(ByteString.copyFrom(new byte[bytes]))
                .build();
        return Frame.newBuilder().setEnvelope(envelope).build();
    }

    private static final class HeldFlushes extends ChannelDuplexHandler {

        private boolean held = true;
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
