package org.cornelcrank.routing;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.TargetId;

/**
 * Reports to the I/O layer that the caller has received the complete response of a target.
 *
 * <p>{@code status} is the target's HTTP status; {@code attempts} counts all attempts including the last. Immutable,
 * thus thread-safe.
 */
public record OnlineEnded(TargetId target, int status, int tokens, int attempts) implements CallerReply {}
