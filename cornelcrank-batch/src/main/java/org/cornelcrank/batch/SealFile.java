package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Command that completes a file upload, after which jobs can be created from it; the reply is {@link FileSealed}.
 *
 * <p>{@code contentDigest} is the digest of all lines. The reply names an earlier file of the team if that has the same
 * content; the command is refused as a conflict if the idempotency key was used for other content. Immutable, thus
 * thread-safe.
 */
public record SealFile(FileId file, int itemCount, String contentDigest) implements CallerCommand {}
