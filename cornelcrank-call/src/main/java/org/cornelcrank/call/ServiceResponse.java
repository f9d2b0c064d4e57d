package org.cornelcrank.call;

import com.google.protobuf.ByteString;

/**
 * What a service answered to the one run of a call.
 *
 * <p>Immutable, thus thread-safe.
 */
record ServiceResponse(int status, String contentType, ByteString body) {

    CallResponse reply(boolean replayed, String idempotencyKey) {
        return new CallResponse(status, contentType, body, replayed, idempotencyKey);
    }
}
