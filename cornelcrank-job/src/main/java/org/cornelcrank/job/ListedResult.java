package org.cornelcrank.job;

import com.google.protobuf.ByteString;

/**
 * The result of one item in the job's list of results.
 *
 * <p>{@code text} holds the data of all events, joined by line feeds, and is empty for an item that was given up.
 * Immutable, thus thread-safe.
 */
public record ListedResult(String itemId, boolean completed, ByteString text) {}
