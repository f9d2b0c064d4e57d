package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Command that binds a job's key to a file and an endpoint in the key's partition, before the job is opened in the
 * file's partition.
 *
 * <p>Sent between daemons only. The reply is {@link JobKeyBound} with the file and endpoint that the key was first
 * bound to. Immutable, thus thread-safe.
 */
record BindJobKey(String key, FileId file, String endpoint) implements CallerCommand {}
