package org.cornelcrank.server.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * Counts the tokens of an engine's event stream and detects its end marker.
 *
 * <p>Invariant: the opening event of a resumed stream, which carries no token, is skipped, because the caller has
 * received it from the earlier attempt; nothing behind the end marker is part of the stream. Not thread-safe: one for
 * each attempt.
 */
final class TokenStream {

    private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final int DATA_PREFIX_LENGTH = "data:".length();

    private static final Pattern FIELD = Pattern.compile("(data|event|id|retry)?:|(data|event|id|retry)$");

    private final ObjectMapper json;
    private final int fromToken;
    private final boolean resumed;
    private int tokens;
    private boolean done;

    TokenStream(ObjectMapper json, int fromToken) {
        this.json = json;
        this.fromToken = fromToken;
        this.resumed = fromToken > 0;
        this.tokens = fromToken;
    }

    /**
     * Processes an event and returns whether it must be forwarded to the caller.
     *
     * @throws IllegalStateException if the bytes are no event, such as the head or the text of another response
     */
    boolean accept(byte[] event) {
        if (done) {
            return false;
        }
        requireFields(event);
        if (startsWith(event, DONE)) {
            done = true;
            return true;
        }
        if (carriesToken(event)) {
            tokens++;
            return true;
        }
        return !(resumed && isOpening(event));
    }

    /** Returns how many tokens the caller has received, including those of earlier attempts. */
    int tokens() {
        return tokens;
    }

    /** Returns how many tokens the caller has received from this attempt. */
    int tokensOfAttempt() {
        return tokens - fromToken;
    }

    /** Returns whether the engine has marked the stream as complete. */
    boolean done() {
        return done;
    }

    private static void requireFields(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        if (!text.lines().allMatch(line -> line.isEmpty() || FIELD.matcher(line).lookingAt())) {
            throw new IllegalStateException("an event must consist of fields and comments");
        }
    }

    private boolean carriesToken(byte[] event) {
        JsonNode choice = choice(event);
        return !choice.at("/delta/content").asText("").isEmpty()
                || !choice.path("text").asText("").isEmpty();
    }

    private boolean isOpening(byte[] event) {
        return choice(event).at("/delta/role").isTextual();
    }

    private JsonNode choice(byte[] event) {
        try {
            JsonNode node = json.readTree(event, DATA_PREFIX_LENGTH, Math.max(0, event.length - DATA_PREFIX_LENGTH));
            return node == null ? MissingNode.getInstance() : node.at("/choices/0");
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    private static boolean startsWith(byte[] event, byte[] prefix) {
        return event.length >= prefix.length && Arrays.equals(event, 0, prefix.length, prefix, 0, prefix.length);
    }
}
