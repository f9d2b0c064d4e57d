package org.cornelcrank.batch;

import java.util.Map;
import java.util.Optional;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Creates a job that runs each item of a sealed file once.
 *
 * <p>The job's key is the idempotency key, or the file's id where there is none: the same key again gets the first job, and
 * is refused as a conflict if the file or the endpoint differ. Answered by {@link JobInfo}. Immutable, thus thread-safe.
 */
public record CreateJob(
        FileId input,
        String endpoint,
        Optional<String> idempotencyKey,
        long completionWindowMs,
        Map<String, String> metadata)
        implements CallerCommand {

    public CreateJob {
        metadata = Map.copyOf(metadata);
    }
}
