package org.cornelcrank.server.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.RefusalCode;

/**
 * Splits a stream of bytes into lines, without their line ends.
 *
 * <p>Invariant: holds at most {@code maxLineBytes} of an incomplete line. Not thread-safe.
 */
final class LineSplitter {

    private final int maxLineBytes;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    LineSplitter(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Returns the lines that the bytes complete; empty lines are skipped. */
    List<byte[]> accept(byte[] bytes) {
        List<byte[]> lines = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                append(bytes, start, i);
                takePending().ifPresent(lines::add);
                start = i + 1;
            }
        }
        append(bytes, start, bytes.length);
        return lines;
    }

    /** Returns the last line if it has no line end; otherwise empty. */
    Optional<byte[]> finish() {
        return takePending();
    }

    private void append(byte[] bytes, int start, int end) {
        if (pending.size() + end - start > maxLineBytes) {
            throw RefusedException.notRun(
                    RefusalCode.TOO_LARGE, "a line must have at most " + maxLineBytes + " bytes; nothing was accepted");
        }
        pending.write(bytes, start, end - start);
    }

    private Optional<byte[]> takePending() {
        byte[] line = pending.toByteArray();
        pending.reset();
        int length = line.length > 0 && line[line.length - 1] == '\r' ? line.length - 1 : line.length;
        return length == 0 ? Optional.empty() : Optional.of(Arrays.copyOf(line, length));
    }
}
