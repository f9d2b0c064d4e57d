package org.cornelcrank.server.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.cornelcrank.core.RefusalCode;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Query parameters of a request.
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

    /** Returns a parameter, or fails with a refusal if it is missing. */
    String requireText(String name) {
        return text(name)
                .orElseThrow(() -> RefusedException.notRun(
                        RefusalCode.INVALID_REQUEST, "query parameter '" + name + "' is missing"));
    }

    /** Returns a whole number within a range, or fails with a refusal that states the range. */
    long number(String name, long defaultValue, long min, long max) {
        Optional<String> value = text(name);
        if (value.isEmpty()) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(value.get());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Falls through to the refusal below, as for a number out of range.
        }
        throw RefusedException.notRun(
                RefusalCode.INVALID_REQUEST,
                "query parameter '" + name + "' must be a whole number from " + min + " to " + max + " but was '"
                        + value.get() + "'");
    }
}
