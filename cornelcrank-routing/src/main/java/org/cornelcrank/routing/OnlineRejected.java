package org.cornelcrank.routing;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;

/**
 * Reports to the I/O layer that a target rejected the request as invalid, with the target's error body.
 *
 * <p>Immutable, thus thread-safe.
 */
public record OnlineRejected(TargetId target, Verdict verdict, int status, ByteString body) implements CallerReply {}
