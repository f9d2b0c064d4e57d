package org.cornelcrank.core;

/**
 * Receives the state of a duty for a dump, as named fields and tables.
 *
 * <p>Not thread-safe.
 */
public interface StateWriter {

    /** Writes one field; the name carries the unit. */
    StateWriter field(String name, Object value);

    /** Starts a table with the given columns; rows follow until the next table or field. */
    StateWriter table(String name, String... columns);

    /** Writes one row of the present table, a cell for each column. */
    StateWriter row(Object... cells);
}
