package org.cornelcrank.batch;

import java.util.List;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;

/**
 * Answers {@link ReadFile} with lines in the order of the upload.
 *
 * <p>{@code nextItem} is where to read on; {@code complete} says that no line follows. A page may hold fewer lines than
 * were asked for. Immutable, thus thread-safe.
 */
public record FilePage(List<ByteString> lines, int nextItem, boolean complete) implements CallerReply {

    public FilePage {
        lines = List.copyOf(lines);
    }
}
