package org.cornelcrank.core;

import com.google.protobuf.ByteString;

/**
 * A record as the platform's log keeps it.
 *
 * <p>Immutable, thus thread-safe.
 */
public record LogRecord(long offset, long appendedAtMs, ByteString payload) {}
