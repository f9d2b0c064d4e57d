package org.cornelcrank.job;

import java.util.Map;
import java.util.Objects;

import com.google.protobuf.ByteString;

/**
 * One item of a job: a request that runs later.
 *
 * <p>{@code tokens} is the upper limit of prompt and response tokens together. Immutable, thus thread-safe.
 */
public record JobItem(String id, String path, Map<String, String> headers, ByteString body, long tokens) {

    public JobItem {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(path, "path must not be null");
        Objects.requireNonNull(body, "body must not be null");
        headers = Map.copyOf(headers);
    }
}
