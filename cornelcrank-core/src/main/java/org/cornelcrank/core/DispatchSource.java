package org.cornelcrank.core;

import java.util.Map;

import com.google.protobuf.ByteString;

/**
 * Specifies where a dispatched request's content comes from and where the response goes.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface DispatchSource {

    /** The I/O layer holds the caller's request and streams the response to the caller. */
    record FromCaller(RequestId request) implements DispatchSource {}

    /** The core holds the request and receives the complete response with the outcome. */
    record Inline(String method, String path, String contentType, ByteString body) implements DispatchSource {}

    /**
     * The core holds the complete request and receives the data of the response's events with the outcome.
     *
     * <p>{@code resumeAfterEvent} is the number of the last event of an earlier run that the core has, zero for none.
     * The outcome's token count is the number of events in this run. On failure, the outcome's body is the data
     * received so far.
     */
    record Prepared(
            String id,
            String host,
            String method,
            String path,
            Map<String, String> headers,
            ByteString body,
            long resumeAfterEvent)
            implements DispatchSource {
        public Prepared {
            headers = Map.copyOf(headers);
        }
    }
}
