package org.cornelcrank.server.gateway;

import java.nio.charset.StandardCharsets;

import org.cornelcrank.server.target.SseEventSplitter;

/**
 * Reads the ids and the data of server-sent events.
 *
 * <p>Stateless, thus thread-safe.
 */
final class EventIds {

    /** Stands for an event without an id. */
    static final long NONE = -1;

    private static final String ID = "id:";
    private static final String DATA = "data:";

    private EventIds() {}

    /** Returns the id of a whole event, {@link #NONE} if it has none that is a number. */
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

    /** Returns the data of a whole event, several lines joined by line feeds. */
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
     * Returns whether the event has come before.
     *
     * @throws IllegalStateException if an event between it and the last one is missing
     */
    static boolean isKnown(long id, long lastId) {
        if (id > lastId + 1) {
            throw new IllegalStateException("event " + (lastId + 1) + " must follow but " + id + " came");
        }
        return id <= lastId;
    }

    /**
     * Checks that a stream has not ended in the middle of an event.
     *
     * @throws IllegalStateException if it has
     */
    static void requireWhole(SseEventSplitter splitter) {
        if (!splitter.empty()) {
            throw new IllegalStateException("an answer must not end in the middle of an event");
        }
    }

    private static String[] lines(byte[] event) {
        return new String(event, StandardCharsets.UTF_8).split("\r?\n");
    }
}
