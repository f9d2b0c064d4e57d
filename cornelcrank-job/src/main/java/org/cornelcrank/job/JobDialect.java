package org.cornelcrank.job;

import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.CallerCommand;

/**
 * Translates HTTP calls about jobs from and to the format of a platform.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface JobDialect {

    /** Reads a call about a job that has been submitted. */
    CallResult readCall(String method, String uri, HttpHeaders headers, long nowMs);

    /** Reads the body of a job submission to a host. */
    SubmissionResult readSubmission(String host, byte[] body);

    /** Writes a page of results. */
    byte[] write(JobPage page);

    /** Returns the media type of a page of results. */
    String pageType();

    /** The result of reading a call. */
    sealed interface CallResult {

        /** The call is not about a job. */
        record NotAJobCall() implements CallResult {}

        /** The call is valid. */
        record Valid(CallerCommand command) implements CallResult {}

        /** The call is malformed; the reason states what is allowed. */
        record Invalid(String reason) implements CallResult {}
    }

    /** The result of reading a submission. */
    sealed interface SubmissionResult {

        /** The submission is valid. */
        record Valid(JobContent content) implements SubmissionResult {}

        /** The submission is malformed; the reason states what is allowed. */
        record Invalid(String reason) implements SubmissionResult {}
    }
}
