package org.cornelcrank.core;

import java.util.Objects;

/**
 * Names what a decision was about, for the explanation of it.
 *
 * <p>Immutable, thus thread-safe.
 */
public record Subject(Kind kind, String id) {

    public Subject {
        Objects.requireNonNull(kind, "kind must not be null");
        Objects.requireNonNull(id, "id must not be null");
    }

    /** Lists what an operator can ask an explanation of. */
    public enum Kind {
        REQUEST,
        JOB,
        ITEM,
        CALL,
        TARGET,
        PARTITION,
        SETTING,
        HOST
    }
}
