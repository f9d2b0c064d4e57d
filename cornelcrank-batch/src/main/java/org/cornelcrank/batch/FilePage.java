package org.cornelcrank.batch;

import java.util.List;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;

/**
 * Reply to {@link ReadFile} with lines in the order of the upload.
 *
 * <p>{@code nextItem} is the item to continue from; {@code complete} states that no line follows. A page may hold fewer
 * lines than requested. Immutable, thus thread-safe.
 */
public record FilePage(List<ByteString> lines, int nextItem, boolean complete) implements CallerReply {

    public FilePage {
        lines = List.copyOf(lines);
    }
}
