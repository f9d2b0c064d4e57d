package org.cornelcrank.core;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/**
 * Turns one slice's messages into bytes and back.
 *
 * <p>Fields that are unknown on decoding are ignored, so that daemons of neighbouring versions understand each other.
 * Implementations are stateless and thread-safe.
 */
public interface PeerMessageCodec {

    /** Returns the slice's name, which goes with each encoded message. */
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
