package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.TeamPath;

/**
 * Describes an uploaded file.
 *
 * <p>{@code byteCount} is the total size of its lines. Immutable, thus thread-safe.
 */
public record FileInfo(
        FileId file,
        TeamPath team,
        String fileName,
        boolean sealed,
        int itemCount,
        long byteCount,
        long createdAtMs,
        long expiresAtMs)
        implements CallerReply {}
