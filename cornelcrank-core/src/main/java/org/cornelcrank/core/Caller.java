package org.cornelcrank.core;

import java.util.Objects;

/**
 * Identifies the sender of a request, as authenticated by its API key.
 *
 * <p>Immutable, thus thread-safe.
 */
public record Caller(TeamPath team, String keyId, Scope scope) {

    public Caller {
        Objects.requireNonNull(team, "team must not be null");
        Objects.requireNonNull(scope, "scope must not be null");
    }

    /** Specifies what an API key permits. */
    public enum Scope {
        /** Inference requests and batch jobs of the key's team. */
        CALLER,
        /** Settings, state dumps and explanations of the whole deployment. */
        OPERATOR
    }
}
