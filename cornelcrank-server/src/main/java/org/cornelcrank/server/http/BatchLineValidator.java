package org.cornelcrank.server.http;

import java.io.IOException;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.StableHash;

/**
 * Validates the lines of an uploaded file of batch items.
 *
 * <p>Invariant: all accepted lines use the same model, and no two have the same {@code custom_id}. Holds eight bytes
 * per line. Not thread-safe: one validator for each upload.
 */
final class BatchLineValidator {

    private static final Set<String> ENDPOINTS = Set.of("/v1/chat/completions", "/v1/completions");
    private static final int MAX_CUSTOM_ID_LENGTH = 512;
    private static final int INITIAL_LINES = 1_024;

    private final ObjectMapper json;
    private final Set<String> allowedModels;
    private long[] customIdHashes = new long[INITIAL_LINES];
    private int lines;
    private String model;

    BatchLineValidator(ObjectMapper json, Set<String> allowedModels) {
        this.json = json;
        this.allowedModels = Set.copyOf(allowedModels);
    }

    /** Accepts the next line, or fails with a refusal that states its line number. */
    void accept(byte[] line) {
        JsonNode item = parse(line);
        requireText(item, "custom_id", MAX_CUSTOM_ID_LENGTH);
        require(item.path("method").asText().equals("POST"), "'method' must be \"POST\"");
        require(ENDPOINTS.contains(item.path("url").asText()), "'url' must be one of " + new TreeSet<>(ENDPOINTS));
        require(item.path("body").isObject(), "'body' must be an object");
        acceptModel(item.path("body").path("model").asText());
        addCustomId(StableHash.of(item.path("custom_id").asText()));
    }

    /** Fails with a refusal if two lines have the same {@code custom_id}. */
    void requireDistinctIds() {
        long[] sorted = Arrays.copyOf(customIdHashes, lines);
        Arrays.sort(sorted);
        for (int i = 1; i < sorted.length; i++) {
            if (sorted[i] == sorted[i - 1]) {
                throw duplicate(sorted[i]);
            }
        }
    }

    int lines() {
        return lines;
    }

    private JsonNode parse(byte[] line) {
        try {
            JsonNode item = json.readTree(line);
            require(item != null && item.isObject(), "must be a JSON object");
            return item;
        } catch (IOException e) {
            throw invalidLine("must be one complete JSON object");
        }
    }

    private void acceptModel(String lineModel) {
        require(
                allowedModels.contains(lineModel),
                "model '" + lineModel + "' does not exist or is not open to this team");
        require(model == null || model.equals(lineModel), "model must be '" + model + "' as in the first line");
        model = lineModel;
    }

    private void requireText(JsonNode item, String field, int maxLength) {
        String text = item.path(field).asText("");
        require(
                !text.isEmpty() && text.length() <= maxLength,
                "'" + field + "' must be a string of 1 to " + maxLength + " characters");
    }

    private void addCustomId(long hash) {
        if (lines == customIdHashes.length) {
            customIdHashes = Arrays.copyOf(customIdHashes, lines * 2);
        }
        customIdHashes[lines] = hash;
        lines++;
    }

    private RefusedException duplicate(long hash) {
        int first = -1;
        for (int i = 0; i < lines; i++) {
            if (customIdHashes[i] == hash && first < 0) {
                first = i;
            } else if (customIdHashes[i] == hash) {
                return RefusedException.notRun(
                        RefusalCode.INVALID_REQUEST,
                        "lines " + (first + 1) + " and " + (i + 1) + " have the same custom_id; nothing was accepted");
            }
        }
        throw new IllegalStateException("expected a duplicate hash to occur on two lines");
    }

    private void require(boolean valid, String requirement) {
        if (!valid) {
            throw invalidLine(requirement);
        }
    }

    private RefusedException invalidLine(String requirement) {
        return RefusedException.notRun(
                RefusalCode.INVALID_REQUEST, "line " + (lines + 1) + ": " + requirement + "; nothing was accepted");
    }
}
