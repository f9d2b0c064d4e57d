package org.cornelcrank.batch;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.Names;

/**
 * One line of a batch file in OpenAI's format: a request, and the caller's id for it.
 *
 * <p>{@code service} is the model that the body names, empty if it names none. Immutable, thus thread-safe.
 */
record ItemLine(String customId, String method, String url, String service, ByteString body) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses a line; empty if it is not a JSON object with a body. */
    static Optional<ItemLine> parse(ByteString line) {
        try {
            JsonNode root = MAPPER.readTree(line.toByteArray());
            JsonNode body = root.path("body");
            if (!body.isObject()) {
                return Optional.empty();
            }
            return Optional.of(new ItemLine(
                    root.path("custom_id").asText(""),
                    root.path("method").asText("POST"),
                    root.path("url").asText(""),
                    serviceOf(body),
                    ByteString.copyFrom(MAPPER.writeValueAsBytes(body))));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        } catch (IOException e) {
            throw new IllegalStateException("reading a line from memory must not fail", e);
        }
    }

    private static String serviceOf(JsonNode body) {
        String model = body.path("model").asText("");
        return Names.isName(model) ? model : "";
    }
}
