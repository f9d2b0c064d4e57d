package org.cornelcrank.routing;

import org.cornelcrank.core.CallerCommand;

/**
 * Lets a quarantined request run again; answered by {@link QuarantineListed} with what remains.
 *
 * <p>Immutable, thus thread-safe.
 */
public record LiftQuarantine(long fingerprint) implements CallerCommand {}
