package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Asks for the state of an uploaded file; answered by {@link FileInfo}.
 *
 * <p>The files of a job's results have no state of their own: see {@link JobOutputFile}. Immutable, thus thread-safe.
 */
public record GetFile(FileId file) implements CallerCommand {}
