package org.cornelcrank.core;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/**
 * Encodes and decodes the messages of one slice.
 *
 * <p>Unknown fields are ignored on decoding, so that daemons of adjacent versions interoperate. Implementations are
 * stateless and thread-safe.
 */
public interface PeerMessageCodec {

    /** Returns the slice's name, which is sent with each encoded message. */
    String slice();

    /** Returns whether the message belongs to this slice. */
    boolean supports(PeerMessage message);

    /** Encodes a supported message. */
    ByteString encode(PeerMessage message);

    /**
     * Decodes a message.
     *
     * @throws InvalidProtocolBufferException if the bytes are not a message of this slice
     */
    PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException;
}
