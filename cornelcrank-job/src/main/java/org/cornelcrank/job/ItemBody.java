package org.cornelcrank.job;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;

/**
 * The submitted body of an item, in reply to {@link ReadItemBody}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ItemBody(ByteString body) implements CallerReply {}
