package org.cornelcrank.batch;

import java.util.Map;
import java.util.Optional;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Command that creates a job, which runs each item of a sealed file once; the reply is {@link JobInfo}.
 *
 * <p>The job's key is the idempotency key, or the file's id if there is none. Repeating the command with the same key
 * returns the existing job, or is refused as a conflict if the file or the endpoint differs. Immutable, thus
 * thread-safe.
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
