package org.cornelcrank.routing;

import org.cornelcrank.core.CallerCommand;

/**
 * Lifts the quarantine of a request; the reply is {@link QuarantineListed} with the remaining ones.
 *
 * <p>Immutable, thus thread-safe.
 */
public record LiftQuarantine(long fingerprint) implements CallerCommand {}
