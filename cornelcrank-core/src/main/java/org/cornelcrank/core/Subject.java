package org.cornelcrank.core;

import java.util.Objects;

/**
 * Identifies the entity that a decision concerns, for explanations.
 *
 * <p>Immutable, thus thread-safe.
 */
public record Subject(Kind kind, String id) {

    public Subject {
        Objects.requireNonNull(kind, "kind must not be null");
        Objects.requireNonNull(id, "id must not be null");
    }

    /** The kinds of entities whose decisions can be explained. */
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
