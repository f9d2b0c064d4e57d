package org.cornelcrank.server.target;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of bytes into whole server-sent events, each with the blank line that ends it.
 *
 * <p>Invariant: holds at most {@code maxEventBytes} of an event that is not yet whole. Not thread-safe: one splitter for
 * each stream.
 */
public final class SseEventSplitter {

    private final int maxEventBytes;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty;

    /**
     * Creates a splitter.
     *
     * @param maxEventBytes the longest event, in bytes
     */
    public SseEventSplitter(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Takes the next bytes.
     *
     * @param bytes the bytes
     * @return the events that they make whole, in order
     * @throws IllegalStateException if an event is longer than the bound
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

    /** Returns whether no part of an event is held. */
    public boolean empty() {
        return pending.size() == 0;
    }
}
