package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Ends the upload of a file, after which jobs can be made of it.
 *
 * <p>{@code contentDigest} is the digest of all of its lines. Answered by {@link FileSealed}, with an earlier file of the
 * team if that has the same content; refused as a conflict if the idempotency key was used for other content.
 * Immutable, thus thread-safe.
 */
public record SealFile(FileId file, int itemCount, String contentDigest) implements CallerCommand {}
