package org.cornelcrank.cli.client;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import org.cornelcrank.http.StrictResponses;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Calls a daemon over HTTP and throws {@link CommandFailure} for error responses.
 *
 * <p>Blocks the calling thread, which must not be an event loop thread. Thread-safe.
 */
public final class DaemonClient {

    public static final ObjectMapper JSON = new ObjectMapper();

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(90);

    private final String url;
    private final HttpClient http;

    public DaemonClient(String url, String key) {
        this.url = Objects.requireNonNull(url, "url must not be null").replaceAll("/+$", "");
        HttpClient client = StrictResponses.of(HttpClient.create()).responseTimeout(RESPONSE_TIMEOUT);
        this.http = key.isEmpty() ? client : client.headers(headers -> headers.set("Authorization", "Bearer " + key));
    }

    /** A complete response. The body must not be modified. */
    public record Response(int status, String verdict, byte[] body) {

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        public JsonNode json() {
            try {
                return JSON.readTree(body);
            } catch (IOException e) {
                throw new CommandFailure(ExitCode.FAILED, "the daemon's response is not JSON: " + text());
            }
        }
    }

    public Response get(String path) {
        return call(HttpMethod.GET, path, null, Map.of());
    }

    public Response delete(String path) {
        return call(HttpMethod.DELETE, path, null, Map.of());
    }

    public Response put(String path, Object body) {
        return call(HttpMethod.PUT, path, body, Map.of());
    }

    public Response post(String path, Object body, Map<String, String> headers) {
        return call(HttpMethod.POST, path, body, headers);
    }

    /** Uploads a JSONL file for a batch job. */
    public Response uploadBatchFile(Path file) {
        return exchange(http.post()
                .uri(url + "/v1/files")
                .sendForm((request, form) -> form.multipart(true)
                        .attr("purpose", "batch")
                        .file("file", file.getFileName().toString(), file.toFile(), "application/jsonl"))
                .responseSingle(DaemonClient::read));
    }

    public static String encode(String parameter) {
        return URLEncoder.encode(parameter, StandardCharsets.UTF_8);
    }

    private Response call(HttpMethod method, String path, Object body, Map<String, String> headers) {
        HttpClient.RequestSender sender = http.headers(all -> {
                    headers.forEach(all::set);
                    if (body != null) {
                        all.set("Content-Type", "application/json");
                    }
                })
                .request(method)
                .uri(url + path);
        return exchange(
                body == null
                        ? sender.responseSingle(DaemonClient::read)
                        : sender.send(ByteBufMono.fromCallable(() -> Unpooled.wrappedBuffer(bytes(body))))
                                .responseSingle(DaemonClient::read));
    }

    private Response exchange(Mono<Response> pending) {
        Response response;
        try {
            response = pending.block();
        } catch (RuntimeException e) {
            throw new CommandFailure(ExitCode.UNREACHABLE, "no daemon responds at " + url + ": " + reason(e));
        }
        if (response.status() >= 400) {
            throw toFailure(response);
        }
        return response;
    }

    private static Mono<Response> read(HttpClientResponse response, ByteBufMono body) {
        String verdict = response.responseHeaders().get("Cornelcrank-Verdict", "");
        int status = response.status().code();
        return body.asByteArray().defaultIfEmpty(new byte[0]).map(bytes -> new Response(status, verdict, bytes));
    }

    private static CommandFailure toFailure(Response response) {
        String message = "";
        try {
            message =
                    JSON.readTree(response.body()).path("error").path("message").asText("");
        } catch (IOException e) {
            // Without a JSON body only the status is reported.
        }
        String verdict = response.verdict().isEmpty() ? "" : " (" + response.verdict() + ")";
        return new CommandFailure(
                ExitCode.ofStatus(response.status()),
                "request refused with status " + response.status() + verdict
                        + (message.isEmpty() ? "" : ": " + message));
    }

    private static byte[] bytes(Object body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("body must be writable as JSON", e);
        }
    }

    private static String reason(Throwable error) {
        Throwable cause = error;
        while (cause.getCause() != null && cause.getCause() != cause) {
            cause = cause.getCause();
        }
        if (cause instanceof java.net.ConnectException) {
            return "connection refused";
        }
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }
}
