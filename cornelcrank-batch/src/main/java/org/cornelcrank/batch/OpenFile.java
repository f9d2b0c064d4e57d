package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.CallerCommand;

/**
 * Command that opens a file upload, to which items are then added; the reply is {@link FileOpened}.
 *
 * <p>{@code headDigest} is the digest of the first 64 KiB of the upload. If there is no idempotency key, it selects the
 * file's partition together with the team, so that a repeated upload goes to the same partition as the first one.
 * Immutable, thus thread-safe.
 */
public record OpenFile(String fileName, Optional<String> idempotencyKey, String headDigest) implements CallerCommand {}
