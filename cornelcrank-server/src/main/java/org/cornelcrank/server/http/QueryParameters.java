package org.cornelcrank.server.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.cornelcrank.core.RefusalCode;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads the parameters of a request's query.
 *
 * <p>Immutable, thus thread-safe.
 */
final class QueryParameters {

    private final Map<String, List<String>> values;

    QueryParameters(HttpServerRequest request) {
        this.values = new QueryStringDecoder(request.uri()).parameters();
    }

    Optional<String> text(String name) {
        List<String> found = values.getOrDefault(name, List.of());
        return found.isEmpty() ? Optional.empty() : Optional.of(found.get(0));
    }

    /** Returns a text, or fails with a refusal that names it. */
    String requireText(String name) {
        return text(name)
                .orElseThrow(() -> RefusedException.notRun(
                        RefusalCode.INVALID_REQUEST, "query parameter '" + name + "' is missing"));
    }

    /** Returns a whole number within bounds, or fails with a refusal that says what is allowed. */
    long number(String name, long fallback, long least, long most) {
        Optional<String> given = text(name);
        if (given.isEmpty()) {
            return fallback;
        }
        try {
            long number = Long.parseLong(given.get());
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Refused below, as a number out of range is.
        }
        throw RefusedException.notRun(
                RefusalCode.INVALID_REQUEST,
                "query parameter '" + name + "' must be a whole number from " + least + " to " + most + " but was '"
                        + given.get() + "'");
    }
}
