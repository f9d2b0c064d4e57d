package org.cornelcrank.server.client;

import java.net.ConnectException;

import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Reads from failed requests what may be concluded of them.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class HttpOutcomes {

    private static final long MS_PER_SECOND = 1_000;

    private HttpOutcomes() {}

    /** Returns whether no byte of the request can have reached the other side. */
    public static boolean isConnectFailure(Throwable error) {
        return error instanceof ConnectException || error.getCause() instanceof ConnectException;
    }

    /** Returns after how many ms the other side asks to come back, zero where it does not say. */
    public static long retryAfterMs(HttpClientResponse response) {
        try {
            return Long.parseLong(response.responseHeaders().get(HttpHeaderNames.RETRY_AFTER, "0")) * MS_PER_SECOND;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
