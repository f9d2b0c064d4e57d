package org.cornelcrank.core;

import java.util.Map;

import com.google.protobuf.ByteString;

/**
 * Says where the body of a dispatched request comes from and where its answer goes.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface DispatchSource {

    /** The edge holds the caller's request and passes the answer on to the caller as it comes. */
    record FromCaller(RequestId request) implements DispatchSource {}

    /** The core holds the request, and gets the whole answer with the outcome. */
    record Inline(String method, String path, String contentType, ByteString body) implements DispatchSource {}

    /**
     * The core holds the whole request, and gets the data of its events with the outcome.
     *
     * <p>{@code resumeAfterEvent} names the last event of an earlier run that the core has, zero for none. On success the
     * outcome's tokens count the events of this run; so they do on failure, with the data so far as its body.
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
