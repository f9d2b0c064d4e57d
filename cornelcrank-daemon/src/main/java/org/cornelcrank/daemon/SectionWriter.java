package org.cornelcrank.daemon;

import java.util.ArrayList;
import java.util.List;

import org.cornelcrank.core.StateWriter;

/**
 * Collects the dump section of one state machine.
 *
 * <p>Not thread-safe.
 */
final class SectionWriter implements StateWriter {

    private final String name;
    private final List<StateDump.Field> fields = new ArrayList<>();
    private final List<StateDump.Table> tables = new ArrayList<>();

    SectionWriter(String name) {
        this.name = name;
    }

    @Override
    public StateWriter field(String fieldName, Object value) {
        fields.add(new StateDump.Field(fieldName, String.valueOf(value)));
        return this;
    }

    @Override
    public StateWriter table(String tableName, String... columns) {
        tables.add(new StateDump.Table(tableName, List.of(columns), new ArrayList<>()));
        return this;
    }

    @Override
    public StateWriter row(Object... cells) {
        if (tables.isEmpty()) {
            throw new IllegalStateException("a table must be started before its first row");
        }
        StateDump.Table table = tables.get(tables.size() - 1);
        if (cells.length != table.columns().size()) {
            throw new IllegalArgumentException(
                    "row must have " + table.columns().size() + " cells but had " + cells.length);
        }
        List<String> row = new ArrayList<>(cells.length);
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        table.rows().add(row);
        return this;
    }

    StateDump.Section section() {
        return new StateDump.Section(name, fields, tables);
    }
}
