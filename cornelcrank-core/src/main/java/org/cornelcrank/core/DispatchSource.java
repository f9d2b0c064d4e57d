package org.cornelcrank.core;

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
}
