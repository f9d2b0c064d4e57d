package org.cornelcrank.call;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;

/**
 * Reply to {@link CallRequest} with the service's response.
 *
 * <p>{@code replayed} states that the call ran for an earlier request with the same key. {@code idempotencyKey} is the
 * caller's or the generated one. Immutable, thus thread-safe.
 */
public record CallResponse(int status, String contentType, ByteString body, boolean replayed, String idempotencyKey)
        implements CallerReply {}
