package org.cornelcrank.server.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.cornelcrank.core.RefusalCode;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads request bodies up to a size limit.
 *
 * <p>Thread-safe.
 */
final class RequestBodies {

    private final ObjectMapper json;
    private final RequestGate requests;
    private final int maxBodyBytes;

    RequestBodies(ObjectMapper json, RequestGate requests, int maxBodyBytes) {
        this.json = json;
        this.requests = requests;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the complete body, or fails with a refusal if it is too large or has not arrived when a stop ends requests. */
    Mono<byte[]> read(HttpServerRequest request) {
        if (request.requestHeaders().getInt(HttpHeaderNames.CONTENT_LENGTH, 0) > maxBodyBytes) {
            return Mono.error(tooLarge());
        }
        return request.receive()
                .asByteArray()
                .collect(ByteArrayOutputStream::new, this::append)
                .map(ByteArrayOutputStream::toByteArray)
                .takeUntilOther(requests.requestsEnded())
                .switchIfEmpty(Mono.error(() -> new RefusedException(RequestGate.STOPPING)));
    }

    /** Parses a body as a JSON object, or fails with a refusal if it is not one. */
    JsonNode parseObject(byte[] body) {
        try {
            JsonNode node = json.readTree(body);
            if (node != null && node.isObject()) {
                return node;
            }
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "body must be a JSON object");
        } catch (JsonProcessingException e) {
            throw RefusedException.notRun(
                    RefusalCode.INVALID_REQUEST, "body must be JSON: " + e.getOriginalMessage() + at(e));
        } catch (IOException e) {
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "body must be JSON");
        }
    }

    private static String at(JsonProcessingException error) {
        JsonLocation location = error.getLocation();
        return location == null ? "" : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
    }

    private void append(ByteArrayOutputStream buffer, byte[] chunk) {
        if (buffer.size() + chunk.length > maxBodyBytes) {
            throw tooLarge();
        }
        buffer.writeBytes(chunk);
    }

    private RefusedException tooLarge() {
        return RefusedException.notRun(RefusalCode.TOO_LARGE, "body must have at most " + maxBodyBytes + " bytes");
    }
}
