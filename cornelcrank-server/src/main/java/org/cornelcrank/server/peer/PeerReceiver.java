package org.cornelcrank.server.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.wire.Envelope;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decodes peer messages and posts them as events.
 *
 * <p>A message that cannot be decoded is dropped and counted. Thread-safe.
 */
final class PeerReceiver {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerReceiver.class);

    private final PeerCodecs codecs;
    private final CoreLoop loop;
    private final Counter received;
    private final Counter receivedBytes;
    private final Counter undecodable;

    PeerReceiver(PeerCodecs codecs, CoreLoop loop, MetricRegistry metrics) {
        this.codecs = codecs;
        this.loop = loop;
        this.received = metrics.counter("peer.messages-received");
        this.receivedBytes = metrics.counter("peer.received-bytes");
        this.undecodable = metrics.counter("peer.messages-undecodable");
    }

    void receive(HostId from, Envelope envelope) {
        received.inc();
        receivedBytes.inc(envelope.getSerializedSize());
        try {
            loop.post(new Event.PeerMessageReceived(from, codecs.decode(envelope)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            undecodable.inc();
            LOGGER.debug("Dropped message from {}: {}", from, e.getMessage());
        }
    }
}
