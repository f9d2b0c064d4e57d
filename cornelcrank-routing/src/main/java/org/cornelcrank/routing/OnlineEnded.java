package org.cornelcrank.routing;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.TargetId;

/**
 * Tells the edge that a target's whole answer has gone to the caller.
 *
 * <p>{@code status} is the target's HTTP status, {@code attempts} counts all attempts with the last. Immutable, thus
 * thread-safe.
 */
public record OnlineEnded(TargetId target, int status, int tokens, int attempts) implements CallerReply {}
