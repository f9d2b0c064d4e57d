package org.cornelcrank.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The properties of an inference request that an engine uses.
 *
 * <p>Immutable, thus thread-safe.
 */
record CompletionRequest(
        boolean chat,
        String model,
        String prompt,
        int maxTokens,
        boolean stream,
        List<Long> prefixHashes,
        String resumeKey,
        int resumeFrom) {

    static final String CHAT_PATH = "/v1/chat/completions";
    static final String TEXT_PATH = "/v1/completions";
    static final int NEW_GENERATION = -1;

    static final int CHARACTERS_PER_TOKEN = 4;
    private static final int MAX_OUTPUT_TOKENS = 100_000;
    private static final int HEXADECIMAL = 16;

    /**
     * Parses a request.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    static CompletionRequest parse(StandInRequest request) {
        JsonNode body = parseBody(request);
        boolean chat = request.path().equals(CHAT_PATH);
        String prompt =
                chat ? chatPrompt(body.path("messages")) : body.path("prompt").asText("");
        if (prompt.isEmpty()) {
            throw new IllegalArgumentException(chat ? "messages must not be empty" : "prompt must not be empty");
        }
        int maxTokens = body.path("max_tokens")
                .asInt(body.path("max_completion_tokens").asInt(GeneratedText.defaultTokens(prompt)));
        if (maxTokens < 1 || maxTokens > MAX_OUTPUT_TOKENS) {
            throw new IllegalArgumentException("max_tokens must be from 1 to " + MAX_OUTPUT_TOKENS);
        }
        String resumeFrom = request.headers().get("Cornelcrank-Resume-From");
        return new CompletionRequest(
                chat,
                body.path("model").asText(""),
                prompt,
                maxTokens,
                body.path("stream").asBoolean(false),
                prefixHashes(request.headers().get("Cornelcrank-Prefix-Hashes")),
                request.headers().get("Cornelcrank-Resume-Key"),
                resumeFrom == null ? NEW_GENERATION : Integer.parseInt(resumeFrom));
    }

    /** Returns the length of the prompt in tokens of four characters, rounded up. */
    int promptTokens() {
        return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /** Returns whether this request resumes a generation that the engine retains. */
    boolean resumes() {
        return resumeKey != null && resumeFrom != NEW_GENERATION;
    }

    private static JsonNode parseBody(StandInRequest request) {
        try {
            JsonNode body = StandInResponse.JSON.readTree(request.body());
            if (body == null || !body.isObject()) {
                throw new IllegalArgumentException("body must be a JSON object");
            }
            return body;
        } catch (IOException e) {
            throw new IllegalArgumentException("body must be a JSON object", e);
        }
    }

    private static String chatPrompt(JsonNode messages) {
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            prompt.append(message.path("role").asText())
                    .append(": ")
                    .append(content.isTextual() ? content.asText() : content.toString())
                    .append('\n');
        }
        return prompt.toString();
    }

    private static List<Long> prefixHashes(String header) {
        List<Long> hashes = new ArrayList<>();
        if (header != null && !header.isBlank()) {
            for (String part : header.split(",")) {
                hashes.add(Long.parseUnsignedLong(part.trim(), HEXADECIMAL));
            }
        }
        return hashes;
    }
}
