package org.cornelcrank.partition;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.partition.wire.CheckpointPointer;

/**
 * Decodes the records of a stream of checkpoint pointers.
 *
 * <p>Stateless, thus thread-safe.
 */
final class CheckpointPointers {

    private CheckpointPointers() {}

    /** Returns the pointer in a payload, empty if the payload is not a valid pointer. */
    static Optional<CheckpointPointer> decode(ByteString payload) {
        try {
            return Optional.of(CheckpointPointer.parseFrom(payload));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }
}
