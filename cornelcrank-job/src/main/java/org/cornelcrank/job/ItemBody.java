package org.cornelcrank.job;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;

/**
 * The body of an item as it was submitted.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ItemBody(ByteString body) implements CallerReply {}
