package org.cornelcrank.job;

import java.util.List;
import java.util.Objects;

/**
 * The content of a job: the host whose routes apply, and its items in order.
 *
 * <p>Immutable, thus thread-safe.
 */
public record JobContent(String host, List<JobItem> items) {

    public JobContent {
        Objects.requireNonNull(host, "host must not be null");
        items = List.copyOf(items);
    }
}
