package org.cornelcrank.call;

import com.google.protobuf.ByteString;

/**
 * A service's response to the only run of a call.
 *
 * <p>Immutable, thus thread-safe.
 */
record ServiceResponse(int status, String contentType, ByteString body) {

    CallResponse reply(boolean replayed, String idempotencyKey) {
        return new CallResponse(status, contentType, body, replayed, idempotencyKey);
    }
}
