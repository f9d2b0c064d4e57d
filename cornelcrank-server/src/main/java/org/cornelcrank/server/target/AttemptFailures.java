package org.cornelcrank.server.target;

import java.util.concurrent.TimeoutException;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.server.client.HttpOutcomes;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Classifies failed attempts: how they failed, and whether the request may have run.
 *
 * <p>Stateless, thus thread-safe.
 */
final class AttemptFailures {

    private static final String ENGINE_PATHS = "/v1/";
    private static final String EVENT_STREAM = HttpHeaderValues.TEXT_EVENT_STREAM.toString();
    private static final int MAX_ERROR_BODY_BYTES = 16 * 1024;

    private AttemptFailures() {}

    /** Returns the outcome of an attempt that was ended by an error. */
    static AttemptOutcome.Failed ofError(Throwable error, int tokens, boolean bytesReachedCaller) {
        if (HttpOutcomes.isConnectFailure(error)) {
            return failed(Verdict.NOT_RUN, FailureKind.CONNECTION_REFUSED, 0, 0, false, 0, error.getMessage());
        }
        if (error instanceof TimeoutException) {
            return failed(
                    Verdict.MAY_HAVE_RUN,
                    FailureKind.TIMED_OUT,
                    0,
                    tokens,
                    bytesReachedCaller,
                    0,
                    "no response in time");
        }
        if (error instanceof ResponseTooLargeException) {
            return failed(
                    Verdict.MAY_HAVE_RUN,
                    FailureKind.ANSWER_TOO_LARGE,
                    0,
                    tokens,
                    bytesReachedCaller,
                    0,
                    error.getMessage());
        }
        return failed(
                Verdict.MAY_HAVE_RUN,
                FailureKind.CONNECTION_LOST,
                0,
                tokens,
                bytesReachedCaller,
                0,
                error.getClass().getSimpleName());
    }

    /** Returns the outcome of a response with a status of 400 or above. */
    static AttemptOutcome.Failed ofStatus(String path, HttpClientResponse response, byte[] body) {
        int status = response.status().code();
        boolean engine = path.startsWith(ENGINE_PATHS);
        if (status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
                || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            Verdict verdict = engine ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            return ofResponse(verdict, FailureKind.OVERLOADED, response, body);
        }
        if (engine && status == HttpResponseStatus.GONE.code()) {
            return ofResponse(Verdict.NOT_RUN, FailureKind.TARGET_ERROR, response, body);
        }
        if (status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            return ofResponse(Verdict.COMPLETED, FailureKind.REJECTED, response, body);
        }
        return ofResponse(Verdict.MAY_HAVE_RUN, FailureKind.TARGET_ERROR, response, body);
    }

    /** Returns whether a response is a stream of events. */
    static boolean isEventStream(HttpClientResponse response) {
        return response.status().equals(HttpResponseStatus.OK)
                && response.responseHeaders()
                        .get(HttpHeaderNames.CONTENT_TYPE, "")
                        .startsWith(EVENT_STREAM);
    }

    /** Returns the outcome of a response that is neither a failure nor the stream that was asked for. */
    static AttemptOutcome.Failed otherThanStream(HttpClientResponse response) {
        return failed(
                Verdict.MAY_HAVE_RUN,
                FailureKind.TARGET_ERROR,
                response.status().code(),
                0,
                false,
                0,
                "target responded with status " + response.status().code() + " and no stream of events");
    }

    /** Returns the outcome of an attempt that the daemon cancelled. */
    static AttemptOutcome.Failed cancelled(int tokens, boolean bytesReachedCaller) {
        return failed(Verdict.MAY_HAVE_RUN, FailureKind.CANCELLED, 0, tokens, bytesReachedCaller, 0, "cancelled");
    }

    /** Returns the outcome of a stream that ended before the engine marked it as complete. */
    static AttemptOutcome.Failed truncatedStream(int tokens, boolean bytesReachedCaller) {
        return failed(
                Verdict.MAY_HAVE_RUN,
                FailureKind.CONNECTION_LOST,
                0,
                tokens,
                bytesReachedCaller,
                0,
                "the stream ended before its end marker");
    }

    private static AttemptOutcome.Failed ofResponse(
            Verdict verdict, FailureKind kind, HttpClientResponse response, byte[] body) {
        ByteString keptBody = ByteString.copyFrom(body, 0, Math.min(body.length, MAX_ERROR_BODY_BYTES));
        return new AttemptOutcome.Failed(
                verdict,
                kind,
                response.status().code(),
                0,
                false,
                HttpOutcomes.retryAfterMs(response),
                keptBody,
                "target responded with status " + response.status().code());
    }

    private static AttemptOutcome.Failed failed(
            Verdict verdict,
            FailureKind kind,
            int status,
            int tokens,
            boolean bytesReachedCaller,
            long retryAfterMs,
            String detail) {
        return new AttemptOutcome.Failed(
                verdict, kind, status, tokens, bytesReachedCaller, retryAfterMs, ByteString.EMPTY, detail);
    }

    /** Thrown when a target's response is longer than the daemon accepts. */
    static final class ResponseTooLargeException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        ResponseTooLargeException(int maxResponseBytes) {
            super("response must have at most " + maxResponseBytes + " bytes");
        }
    }
}
