package org.cornelcrank.job;

import java.util.List;
import java.util.Objects;

/**
 * What a job is made of: the host whose routes apply, and its items in order.
 *
 * <p>Immutable, thus thread-safe.
 */
public record JobContent(String host, List<JobItem> items) {

    public JobContent {
        Objects.requireNonNull(host, "host must not be null");
        items = List.copyOf(items);
    }
}
