package org.cornelcrank.config;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.config.wire.ConfigEnvelope;
import org.cornelcrank.config.wire.WireChanges;
import org.cornelcrank.config.wire.WireChangesRequest;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;

/**
 * Encodes and decodes the peer messages of the configuration slice.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class ConfigMessageCodec implements PeerMessageCodec {

    @Override
    public String slice() {
        return ConfigStateMachine.NAME;
    }

    @Override
    public boolean supports(PeerMessage message) {
        return message instanceof ConfigMessage;
    }

    @Override
    public ByteString encode(PeerMessage message) {
        ConfigEnvelope.Builder envelope = ConfigEnvelope.newBuilder();
        if (message instanceof ConfigMessage.ChangesRequest request) {
            envelope.setChangesRequest(WireChangesRequest.newBuilder().setAfterVersion(request.afterVersion()));
        } else if (message instanceof ConfigMessage.Changes changes) {
            WireChanges.Builder wire = WireChanges.newBuilder()
                    .setAfterVersion(changes.afterVersion())
                    .setUpToVersion(changes.upToVersion())
                    .setComplete(changes.complete());
            changes.entries().forEach(entry -> wire.addEntries(ConfigurationRecordCodec.encode(entry)));
            envelope.setChanges(wire);
        } else {
            throw new IllegalArgumentException("message must be a ConfigMessage but was " + message);
        }
        return envelope.build().toByteString();
    }

    @Override
    public PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException {
        ConfigEnvelope envelope = ConfigEnvelope.parseFrom(payload);
        switch (envelope.getKindCase()) {
            case CHANGES_REQUEST:
                return new ConfigMessage.ChangesRequest(
                        envelope.getChangesRequest().getAfterVersion());
            case CHANGES:
                WireChanges wire = envelope.getChanges();
                return new ConfigMessage.Changes(
                        wire.getAfterVersion(),
                        wire.getUpToVersion(),
                        wire.getComplete(),
                        wire.getEntriesList().stream()
                                .map(ConfigurationRecordCodec::decode)
                                .toList());
            default:
                throw new InvalidProtocolBufferException("configuration message must be of a known kind");
        }
    }
}
