package org.cornelcrank.server.peer;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.server.wire.Envelope;

/**
 * Encodes and decodes peer messages with the codec of their slice.
 *
 * <p>Immutable, thus thread-safe.
 */
public final class PeerCodecs {

    private final Map<String, PeerMessageCodec> bySlice;

    /**
     * Creates the codec registry.
     *
     * @param codecs one codec for each slice
     */
    public PeerCodecs(List<PeerMessageCodec> codecs) {
        this.bySlice = codecs.stream().collect(Collectors.toUnmodifiableMap(PeerMessageCodec::slice, codec -> codec));
    }

    Envelope encode(PeerMessage message) {
        for (PeerMessageCodec codec : bySlice.values()) {
            if (codec.supports(message)) {
                return Envelope.newBuilder()
                        .setSlice(codec.slice())
                        .setPayload(codec.encode(message))
                        .build();
            }
        }
        throw new IllegalArgumentException("no codec supports " + message.getClass());
    }

    PeerMessage decode(Envelope envelope) throws InvalidProtocolBufferException {
        PeerMessageCodec codec = bySlice.get(envelope.getSlice());
        if (codec == null) {
            throw new InvalidProtocolBufferException("no codec for slice " + envelope.getSlice());
        }
        return codec.decode(envelope.getPayload());
    }
}
