package org.cornelcrank.batch;

import java.util.List;

import org.cornelcrank.core.CallerReply;

/**
 * Answers {@link ReadResults} with the ended items in the order of the input.
 *
 * <p>Items that have not ended are left out. {@code nextItem} is the next ended item, or the job's total if there is none
 * at present; {@code complete} says that the job has ended and no result follows. A page may hold fewer lines than were asked for. Immutable, thus thread-safe.
 */
public record ResultPage(List<ResultLine> lines, int nextItem, boolean complete) implements CallerReply {

    public ResultPage {
        lines = List.copyOf(lines);
    }
}
