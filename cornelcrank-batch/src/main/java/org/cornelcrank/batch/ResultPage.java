package org.cornelcrank.batch;

import java.util.List;

import org.cornelcrank.core.CallerReply;

/**
 * Reply to {@link ReadResults} with the ended items in the order of the input.
 *
 * <p>Items that have not ended are omitted. {@code nextItem} is the next ended item, or the job's total if there is
 * none yet; {@code complete} states that the job has ended and no result follows. A page may hold fewer lines than
 * requested. Immutable, thus thread-safe.
 */
public record ResultPage(List<ResultLine> lines, int nextItem, boolean complete) implements CallerReply {

    public ResultPage {
        lines = List.copyOf(lines);
    }
}
