package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Binds a job's key to a file and an endpoint in the key's partition, before the job is opened in the file's.
 *
 * <p>Sent between daemons only. Answered by {@link JobKeyBound} with what the key was first bound to. Immutable, thus
 * thread-safe.
 */
record BindJobKey(String key, FileId file, String endpoint) implements CallerCommand {}
