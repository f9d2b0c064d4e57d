package org.cornelcrank.core;

import java.util.Objects;

/**
 * Says who makes a request, as established from its API key.
 *
 * <p>Immutable, thus thread-safe.
 */
public record Caller(TeamPath team, String keyId, Scope scope) {

    public Caller {
        Objects.requireNonNull(team, "team must not be null");
        Objects.requireNonNull(scope, "scope must not be null");
    }

    /** Says what a key allows. */
    public enum Scope {
        /** Inference and jobs of the key's team. */
        CALLER,
        /** Settings, dumps and explanations of the whole deployment. */
        OPERATOR
    }
}
