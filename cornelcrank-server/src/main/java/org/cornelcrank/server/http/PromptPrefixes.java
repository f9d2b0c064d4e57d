package org.cornelcrank.server.http;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.core.StableHash;

/**
 * Hashes prefixes of increasing length of a prompt, to find targets that have the prompt cached.
 *
 * <p>Stateless, thus thread-safe.
 */
final class PromptPrefixes {

    private static final int MAX_PREFIXES = 8;
    private static final int FIRST_PREFIX_LENGTH = 256;

    private PromptPrefixes() {}

    /** Returns the hashes for a chat's messages or a completion's prompt, shortest prefix first. */
    static List<Long> of(JsonNode body) {
        JsonNode messages = body.path("messages");
        return messages.isArray()
                ? ofMessages(messages)
                : ofPrompt(body.path("prompt").asText(""));
    }

    private static List<Long> ofMessages(JsonNode messages) {
        List<Long> hashes = new ArrayList<>(MAX_PREFIXES);
        StringBuilder prefix = new StringBuilder();
        for (JsonNode message : messages) {
            if (hashes.size() == MAX_PREFIXES) {
                break;
            }
            prefix.append(message.path("role").asText()).append('\n');
            prefix.append(message.path("content")).append('\n');
            hashes.add(StableHash.of(prefix.toString()));
        }
        return hashes;
    }

    private static List<Long> ofPrompt(String prompt) {
        List<Long> hashes = new ArrayList<>(MAX_PREFIXES);
        int length = FIRST_PREFIX_LENGTH;
        while (length < prompt.length() && hashes.size() < MAX_PREFIXES - 1) {
            hashes.add(StableHash.of(prompt.substring(0, length)));
            length *= 2;
        }
        if (!prompt.isEmpty()) {
            hashes.add(StableHash.of(prompt));
        }
        return hashes;
    }
}
