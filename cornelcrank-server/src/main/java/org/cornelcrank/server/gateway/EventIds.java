package org.cornelcrank.server.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.cornelcrank.server.target.SseEventSplitter;

/**
 * Reads the ids and the data of server-sent events.
 *
 * <p>Stateless, thus thread-safe.
 */
final class EventIds {

    /** Marks an event without a numeric id. */
    static final long NONE = -1;

    private static final String ID = "id:";
    private static final String DATA = "data:";

    private EventIds() {}

    /** Returns the id of a complete event, or {@link #NONE} if it has no numeric id. */
    static long of(byte[] event) {
        for (String line : lines(event)) {
            if (line.startsWith(ID)) {
                try {
                    return Long.parseLong(line.substring(ID.length()).strip());
                } catch (NumberFormatException e) {
                    return NONE;
                }
            }
        }
        return NONE;
    }

    /** Returns whether the event consists of comments only, which keep a connection alive. */
    static boolean isComment(byte[] event) {
        return Arrays.stream(lines(event)).allMatch(line -> line.isEmpty() || line.startsWith(":"));
    }

    /** Returns the data of a complete event; several data lines are joined by line feeds. */
    static String data(byte[] event) {
        StringBuilder data = new StringBuilder();
        boolean first = true;
        for (String line : lines(event)) {
            if (line.startsWith(DATA)) {
                String value = line.substring(DATA.length());
                data.append(first ? "" : "\n").append(value.startsWith(" ") ? value.substring(1) : value);
                first = false;
            }
        }
        return data.toString();
    }

    /**
     * Checks that an event follows the last one. An event that was received before may belong to another run, with
     * other data, and so may all events behind it.
     *
     * @throws IllegalStateException if an event between the two is missing, or if the event was received before
     */
    static void requireNext(long id, long lastId) {
        if (id != lastId + 1) {
            throw new IllegalStateException("expected event " + (lastId + 1) + " but received event " + id);
        }
    }

    /**
     * Checks that a stream has an event, in this response or before the one at which it was resumed.
     *
     * @throws IllegalStateException if it has none
     */
    static void requireAny(long lastId) {
        if (lastId <= 0) {
            throw new IllegalStateException("the response ended without an event");
        }
    }

    /**
     * Checks that a stream did not end in the middle of an event.
     *
     * @throws IllegalStateException if it did
     */
    static void requireComplete(SseEventSplitter splitter) {
        if (!splitter.isEmpty()) {
            throw new IllegalStateException("the response ended in the middle of an event");
        }
    }

    private static String[] lines(byte[] event) {
        return new String(event, StandardCharsets.UTF_8).split("\r?\n");
    }
}
