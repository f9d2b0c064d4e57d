package org.cornelcrank.server.gateway;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Collects the bytes of a body whose length is not known in advance.
 *
 * <p>Invariant: holds less than twice the collected bytes plus {@link #MIN_SEGMENT_BYTES}, and at most
 * {@link #MAX_SEGMENT_BYTES} more than the collected bytes, however small the parts are. Not thread-safe: one buffer for
 * each body.
 */
final class BodyBuffer {

    static final int MIN_SEGMENT_BYTES = 1024;
    static final int MAX_SEGMENT_BYTES = 64 * 1024;

    private final List<byte[]> segments = new ArrayList<>();
    private byte[] last = new byte[0];
    private int lastBytes;
    private int size;
    private int heldBytes;

    /** Appends the readable bytes of a part, which is read but not released. */
    void append(ByteBuf part) {
        while (part.isReadable()) {
            if (lastBytes == last.length) {
                addSegment();
            }
            int count = Math.min(part.readableBytes(), last.length - lastBytes);
            part.readBytes(last, lastBytes, count);
            lastBytes += count;
            size += count;
        }
    }

    private void addSegment() {
        last = new byte[Math.max(MIN_SEGMENT_BYTES, Math.min(size, MAX_SEGMENT_BYTES))];
        lastBytes = 0;
        heldBytes += last.length;
        segments.add(last);
    }

    /** Returns the number of collected bytes. */
    int size() {
        return size;
    }

    /** Returns how much memory the collected bytes take, in bytes. */
    int heldBytes() {
        return heldBytes;
    }

    /** Returns a copy of the collected bytes. */
    byte[] toByteArray() {
        byte[] all = new byte[size];
        int position = 0;
        for (byte[] segment : segments) {
            int count = Math.min(segment.length, size - position);
            System.arraycopy(segment, 0, all, position, count);
            position += count;
        }
        return all;
    }
}
