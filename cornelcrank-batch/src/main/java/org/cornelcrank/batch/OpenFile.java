package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.CallerCommand;

/**
 * Opens a file of batch items, to which items are then added.
 *
 * <p>{@code headDigest} is the digest of the first 64 KiB of the upload; together with the team it chooses the file's
 * partition where there is no idempotency key, so that an upload sent again meets the first one. Answered by
 * {@link FileOpened}. Immutable, thus thread-safe.
 */
public record OpenFile(String fileName, Optional<String> idempotencyKey, String headDigest) implements CallerCommand {}
