package org.cornelcrank.daemon;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.Subject;

/**
 * Requests the decisions of all daemons about a subject, with their reasons.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ExplainSubject(Subject subject) implements CallerCommand {}
