package org.cornelcrank.server.target;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of bytes into complete server-sent events, each with the blank line that ends it.
 *
 * <p>Invariant: holds at most {@code maxEventBytes} of an incomplete event. Not thread-safe: one splitter for each
 * stream.
 */
public final class SseEventSplitter {

    private final int maxEventBytes;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty;

    /**
     * Creates a splitter.
     *
     * @param maxEventBytes maximum length of an event, in bytes
     */
    public SseEventSplitter(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Adds the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return the events that these bytes complete, in order
     * @throws IllegalStateException if an event is longer than the limit
     */
    public List<byte[]> accept(byte[] bytes) {
        List<byte[]> events = new ArrayList<>(1);
        for (byte next : bytes) {
            pending.write(next);
            if (next == '\n') {
                if (lineEmpty) {
                    events.add(pending.toByteArray());
                    pending.reset();
                }
                lineEmpty = !lineEmpty;
            } else if (next != '\r') {
                lineEmpty = false;
            }
        }
        if (pending.size() > maxEventBytes) {
            throw new IllegalStateException("an event must have at most " + maxEventBytes + " bytes");
        }
        return events;
    }

    /** Returns how much memory an incomplete event takes at most, in bytes: its array grows by doubling. */
    public long heldBytes() {
        return 2L * pending.size();
    }

    /** Returns whether no incomplete event is held. */
    public boolean isEmpty() {
        return pending.size() == 0;
    }
}
