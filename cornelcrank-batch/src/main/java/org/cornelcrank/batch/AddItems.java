package org.cornelcrank.batch;

import java.util.List;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Adds lines to an open file, each line one item.
 *
 * <p>{@code firstItem} is the number of the first line within the file, from zero. Repeating the command with the same
 * lines changes nothing. Answered by {@link ItemsAdded} once the lines are kept. Immutable, thus thread-safe.
 */
public record AddItems(FileId file, int firstItem, List<ByteString> lines) implements CallerCommand {

    public AddItems {
        lines = List.copyOf(lines);
    }
}
