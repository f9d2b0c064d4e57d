package org.cornelcrank.daemon;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.Subject;

/**
 * Asks all daemons what they decided about a subject, and why.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ExplainSubject(Subject subject) implements CallerCommand {}
