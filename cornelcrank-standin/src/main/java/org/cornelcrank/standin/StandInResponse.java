package org.cornelcrank.standin;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import reactor.core.publisher.Flux;

/** The response of a stand-in to a request. Immutable, thus thread-safe. */
sealed interface StandInResponse {

    ObjectMapper JSON = new ObjectMapper();
    TypeReference<Map<String, Object>> JSON_OBJECT = new TypeReference<>() {};

    int status();

    Map<String, String> headers();

    /** A response with a complete body. */
    record Complete(int status, Map<String, String> headers, byte[] body) implements StandInResponse {}

    /** A response of server-sent events, each of which is sent immediately. */
    record Events(int status, Map<String, String> headers, Flux<String> events) implements StandInResponse {}

    /** Returns a response with a JSON body. */
    static StandInResponse json(int status, Object body) {
        return json(status, Map.of(), body);
    }

    /** Returns a response with headers and a JSON body. */
    static StandInResponse json(int status, Map<String, String> headers, Object body) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Type", "application/json");
        return new Complete(status, all, jsonBytes(body));
    }

    /** Returns an error response in the format of the OpenAI API. */
    static StandInResponse error(int status, String message) {
        return error(status, Map.of(), message);
    }

    /** Returns an error response with headers. */
    static StandInResponse error(int status, Map<String, String> headers, String message) {
        return json(status, headers, Map.of("error", Map.of("message", message, "type", "stand_in_error")));
    }

    private static byte[] jsonBytes(Object body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("response must be writable as JSON: " + body, e);
        }
    }
}
