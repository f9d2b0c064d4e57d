package org.cornelcrank.daemon;

import java.util.List;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.HostId;

/**
 * The state of one daemon at one point in time, as sections of fields and tables.
 *
 * <p>Contains no payloads and no API keys. Immutable, thus thread-safe.
 */
public record StateDump(HostId host, long atMs, List<Section> sections) implements CallerReply {

    public StateDump {
        sections = List.copyOf(sections);
    }

    /** The state of one state machine. */
    public record Section(String name, List<Field> fields, List<Table> tables) {}

    /** One named value. */
    public record Field(String name, String value) {}

    /** Rows with the same columns. */
    public record Table(String name, List<String> columns, List<List<String>> rows) {}
}
