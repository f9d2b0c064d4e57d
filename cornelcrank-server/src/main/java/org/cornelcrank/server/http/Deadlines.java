package org.cornelcrank.server.http;

import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.RefusalCode;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Works out until when a caller waits.
 *
 * <p>Stateless, thus thread-safe.
 */
final class Deadlines {

    private static final String DEADLINE_MS = "Cornelcrank-Deadline-Ms";
    private static final long MAX_DEADLINE_MS = 3_600_000;

    private Deadlines() {}

    static long deadlineAtMs(HttpServerRequest request, TeamPolicy policy, long nowMs) {
        String given = request.requestHeaders().get(DEADLINE_MS);
        if (given == null) {
            return nowMs + policy.deadlineMs();
        }
        try {
            long deadlineMs = Long.parseLong(given);
            if (deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS) {
                return nowMs + deadlineMs;
            }
        } catch (NumberFormatException e) {
            // Refused below, as a number out of range is.
        }
        throw RefusedException.notRun(
                RefusalCode.INVALID_REQUEST,
                DEADLINE_MS + " must be a whole number of ms from 1 to " + MAX_DEADLINE_MS + " but was '" + given
                        + "'");
    }
}
