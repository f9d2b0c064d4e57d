package org.cornelcrank.core;

/**
 * Receives the state of a state machine for a dump, as named fields and tables.
 *
 * <p>Not thread-safe.
 */
public interface StateWriter {

    /** Writes one field; its name includes the unit. */
    StateWriter field(String name, Object value);

    /** Starts a table with the given columns; subsequent rows belong to it. */
    StateWriter table(String name, String... columns);

    /** Writes one row of the current table, with one cell per column. */
    StateWriter row(Object... cells);
}
