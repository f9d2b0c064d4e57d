package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;

/**
 * Identifies a virtual file through which callers read a job's results or failures.
 *
 * <p>The files are views: {@link #file()} of a job {@code job-P-X} is {@code results-P-X} for results and
 * {@code failures-P-X} for failures, and their content is that of {@link ReadResults}. Immutable, thus thread-safe.
 */
public record JobOutputFile(JobId job, boolean failures) {

    private static final String JOB_PREFIX = "job-";
    private static final String RESULTS_PREFIX = "results-";
    private static final String FAILURES_PREFIX = "failures-";

    /** Parses a file id; empty if it is the id of an uploaded file. */
    public static Optional<JobOutputFile> parse(FileId file) {
        if (file.value().startsWith(RESULTS_PREFIX)) {
            return Optional.of(new JobOutputFile(jobAfter(RESULTS_PREFIX, file), false));
        }
        if (file.value().startsWith(FAILURES_PREFIX)) {
            return Optional.of(new JobOutputFile(jobAfter(FAILURES_PREFIX, file), true));
        }
        return Optional.empty();
    }

    /** Returns the id under which callers read the file. */
    public FileId file() {
        String prefix = failures ? FAILURES_PREFIX : RESULTS_PREFIX;
        return new FileId(prefix + job.value().substring(JOB_PREFIX.length()));
    }

    private static JobId jobAfter(String prefix, FileId file) {
        return new JobId(JOB_PREFIX + file.value().substring(prefix.length()));
    }
}
