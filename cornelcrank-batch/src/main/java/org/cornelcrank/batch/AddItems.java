package org.cornelcrank.batch;

import java.util.List;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Command that appends lines to an open file, one item per line; the reply is {@link ItemsAdded}.
 *
 * <p>{@code firstItem} is the zero-based number of the first line within the file. Repeating the command with the same
 * lines has no effect. The reply is sent once the lines are stored. Immutable, thus thread-safe.
 */
public record AddItems(FileId file, int firstItem, List<ByteString> lines) implements CallerCommand {

    public AddItems {
        lines = List.copyOf(lines);
    }
}
