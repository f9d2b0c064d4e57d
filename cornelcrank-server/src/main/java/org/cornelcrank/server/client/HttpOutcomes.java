package org.cornelcrank.server.client;

import java.net.ConnectException;

import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Interprets errors and responses of failed HTTP requests.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class HttpOutcomes {

    private static final long MS_PER_SECOND = 1_000;

    private HttpOutcomes() {}

    /** Returns whether connecting failed, so that no byte of the request can have reached the server. */
    public static boolean isConnectFailure(Throwable error) {
        return error instanceof ConnectException || error.getCause() instanceof ConnectException;
    }

    /** Returns the delay of the {@code Retry-After} header in ms; zero if it is absent or not a number of seconds. */
    public static long retryAfterMs(HttpClientResponse response) {
        try {
            return Long.parseLong(response.responseHeaders().get(HttpHeaderNames.RETRY_AFTER, "0")) * MS_PER_SECOND;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
