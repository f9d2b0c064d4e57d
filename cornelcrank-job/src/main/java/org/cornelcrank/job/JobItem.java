package org.cornelcrank.job;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import com.google.protobuf.ByteString;

/**
 * One item of a job: a request that runs later.
 *
 * <p>{@code tokens} is the upper limit of prompt and response tokens together. The headers are in the order of their
 * names, so that every daemon stores the same bytes. Immutable, thus thread-safe.
 */
public record JobItem(String id, String path, Map<String, String> headers, ByteString body, long tokens) {

    public JobItem {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(path, "path must not be null");
        Objects.requireNonNull(body, "body must not be null");
        headers = Collections.unmodifiableSortedMap(new TreeMap<>(headers));
    }
}
