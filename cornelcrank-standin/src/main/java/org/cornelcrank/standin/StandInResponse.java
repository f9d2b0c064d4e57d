package org.cornelcrank.standin;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import reactor.core.publisher.Flux;

/** What a stand-in answers to one request. Immutable, thus thread-safe. */
sealed interface StandInResponse {

    ObjectMapper JSON = new ObjectMapper();
    TypeReference<Map<String, Object>> JSON_OBJECT = new TypeReference<>() {};

    int status();

    Map<String, String> headers();

    /** An answer whose body is there as a whole. */
    record Whole(int status, Map<String, String> headers, byte[] body) implements StandInResponse {}

    /** An answer of server-sent events, each of which is sent at once. */
    record Events(int status, Map<String, String> headers, Flux<String> events) implements StandInResponse {}

    /** Returns an answer with a JSON body. */
    static StandInResponse json(int status, Object body) {
        return json(status, Map.of(), body);
    }

    /** Returns an answer with headers and a JSON body. */
    static StandInResponse json(int status, Map<String, String> headers, Object body) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Type", "application/json");
        return new Whole(status, all, jsonBytes(body));
    }

    /** Returns a failure in the error shape of the OpenAI interface. */
    static StandInResponse error(int status, String message) {
        return error(status, Map.of(), message);
    }

    /** Returns a failure with headers. */
    static StandInResponse error(int status, Map<String, String> headers, String message) {
        return json(status, headers, Map.of("error", Map.of("message", message, "type", "stand_in_error")));
    }

    private static byte[] jsonBytes(Object body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("answer must be writable as JSON: " + body, e);
        }
    }
}
