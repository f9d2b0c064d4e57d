package org.cornelcrank.server.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cornelcrank.core.Refusal;

/**
 * Renders refusals in the error format of the OpenAI API.
 *
 * <p>Thread-safe.
 */
public final class ErrorBodies {

    private static final int SERVER_ERRORS = 500;

    private final ObjectMapper json;

    public ErrorBodies(ObjectMapper json) {
        this.json = json;
    }

    /** Returns the body of an error response. */
    public byte[] body(Refusal refusal) {
        return tree(refusal).toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the event that ends a stream that has started. */
    public byte[] event(Refusal refusal) {
        return ("data: " + tree(refusal) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode tree(Refusal refusal) {
        ObjectNode root = json.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("message", refusal.message());
        error.put("type", refusal.code().httpStatus() >= SERVER_ERRORS ? "server_error" : "invalid_request_error");
        error.putNull("param");
        error.put("code", refusal.code().errorCode());
        error.put("verdict", refusal.verdict().headerValue());
        if (refusal.retryAfterMs() > 0) {
            error.put("retry_after_ms", refusal.retryAfterMs());
        }
        return root;
    }
}
