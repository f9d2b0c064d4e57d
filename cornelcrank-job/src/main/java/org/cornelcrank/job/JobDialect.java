package org.cornelcrank.job;

import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.CallerCommand;

/**
 * Reads and writes calls about jobs as a platform's callers know them.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface JobDialect {

    /** Reads a call about a job that was submitted before. */
    CallResult readCall(String method, String uri, HttpHeaders headers, long nowMs);

    /** Reads the body of a submission to a host. */
    SubmissionResult readSubmission(String host, byte[] body);

    /** Writes a page of results. */
    byte[] write(JobPage page);

    /** Returns the media type of a page of results. */
    String pageType();

    /** What came of reading a call. */
    sealed interface CallResult {

        /** The call is about no job. */
        record Other() implements CallResult {}

        /** The call is good. */
        record Valid(CallerCommand command) implements CallResult {}

        /** The call cannot be understood; the reason says what is allowed. */
        record Invalid(String reason) implements CallResult {}
    }

    /** What came of reading a submission. */
    sealed interface SubmissionResult {

        /** The submission is good. */
        record Valid(JobContent content) implements SubmissionResult {}

        /** The submission cannot be understood; the reason says what is allowed. */
        record Invalid(String reason) implements SubmissionResult {}
    }
}
