package org.cornelcrank.routing;

import org.cornelcrank.core.CallerCommand;

/**
 * Requests the list of quarantined requests; the reply is {@link QuarantineListed}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ListQuarantine() implements CallerCommand {}
