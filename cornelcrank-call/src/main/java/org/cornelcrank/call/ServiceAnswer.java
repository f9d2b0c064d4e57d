package org.cornelcrank.call;

import com.google.protobuf.ByteString;

/**
 * What a service answered to the one run of a call.
 *
 * <p>Immutable, thus thread-safe.
 */
record ServiceAnswer(int status, String contentType, ByteString body) {

    CallAnswer reply(boolean replayed, String idempotencyKey) {
        return new CallAnswer(status, contentType, body, replayed, idempotencyKey);
    }
}
