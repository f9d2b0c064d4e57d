package org.cornelcrank.core;

import com.google.protobuf.ByteString;

/**
 * A record as stored in the platform's log.
 *
 * <p>Immutable, thus thread-safe.
 */
public record LogRecord(long offset, long appendedAtMs, ByteString payload) {}
