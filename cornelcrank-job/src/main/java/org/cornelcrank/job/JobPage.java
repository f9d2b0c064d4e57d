package org.cornelcrank.job;

import java.util.List;

import org.cornelcrank.core.CallerReply;

/**
 * A page of the results of a job, from the requested position on.
 *
 * <p>{@code totalItems} is the number of the job's items. Immutable, thus thread-safe.
 */
public record JobPage(int totalItems, int fromPosition, List<ListedResult> results) implements CallerReply {

    public JobPage {
        results = List.copyOf(results);
    }

    /** Returns the position after the last result of the page. */
    public int nextPosition() {
        return fromPosition + results.size();
    }
}
