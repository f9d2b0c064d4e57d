package org.cornelcrank.server.http;

import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.RefusalCode;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Determines the deadlines of requests.
 *
 * <p>Stateless, thus thread-safe.
 */
final class Deadlines {

    private static final String DEADLINE_MS = "Cornelcrank-Deadline-Ms";
    private static final long MAX_DEADLINE_MS = 3_600_000;

    private Deadlines() {}

    static long deadlineAtMs(HttpServerRequest request, TeamPolicy policy, long nowMs) {
        String header = request.requestHeaders().get(DEADLINE_MS);
        if (header == null) {
            return nowMs + policy.deadlineMs();
        }
        try {
            long deadlineMs = Long.parseLong(header);
            if (deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS) {
                return nowMs + deadlineMs;
            }
        } catch (NumberFormatException e) {
            // Falls through to the refusal below, as for a number out of range.
        }
        throw RefusedException.notRun(
                RefusalCode.INVALID_REQUEST,
                DEADLINE_MS + " must be a whole number of ms from 1 to " + MAX_DEADLINE_MS + " but was '" + header
                        + "'");
    }
}
