package org.cornelcrank.routing;

import org.cornelcrank.core.CallerCommand;

/**
 * Asks which requests are quarantined; answered by {@link QuarantineListed}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ListQuarantine() implements CallerCommand {}
