package org.cornelcrank.batch;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.FileId;

/**
 * Command that returns the state of an uploaded file; the reply is {@link FileInfo}.
 *
 * <p>The output files of a job are not stored and have no such state: see {@link JobOutputFile}. Immutable, thus
 * thread-safe.
 */
public record GetFile(FileId file) implements CallerCommand {}
