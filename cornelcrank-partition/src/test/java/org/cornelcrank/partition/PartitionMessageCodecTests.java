package org.cornelcrank.partition;

import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.partition.wire.PartitionEnvelope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PartitionMessageCodecTests {

    private static final PartitionId PARTITION = PartitionId.parse("zapad.3");

    private final PartitionMessageCodec codec = new PartitionMessageCodec();

    static Stream<PartitionMessage> messages() {
        return Stream.of(
                new PartitionMessage.OwnershipQuery(PARTITION, -1),
                new PartitionMessage.OwnershipReply(PARTITION, 0, false),
                new PartitionMessage.OwnershipReply(PARTITION, 1L << 40, true),
                new PartitionMessage.HandoverOffer(PARTITION, 7),
                new PartitionMessage.HandoverReady(PARTITION, 7),
                new PartitionMessage.OwnershipReleased(PARTITION, 7),
                new PartitionMessage.ClaimRequest(PARTITION, 7));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messagesAreDecodedAsEncoded(PartitionMessage message) throws Exception {
        assertThat(codec.supports(message)).isTrue();
        assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
    }

    @Test
    void invalidPayloadIsRejected() {
        ByteString noBody =
                PartitionEnvelope.newBuilder().setPartition("zapad.3").build().toByteString();
        ByteString noPartition = PartitionEnvelope.newBuilder()
                .setPartition("zapad")
                .setEpoch(1)
                .build()
                .toByteString();
        for (ByteString payload : new ByteString[] {noBody, noPartition, ByteString.copyFromUtf8("???")}) {
            assertThatThrownBy(() -> codec.decode(payload)).isInstanceOf(InvalidProtocolBufferException.class);
        }
    }
}
