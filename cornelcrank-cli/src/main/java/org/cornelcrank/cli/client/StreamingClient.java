package org.cornelcrank.cli.client;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.Unpooled;
import org.cornelcrank.http.StrictResponses;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends chat requests with streamed responses to a daemon or directly to an engine.
 *
 * <p>Thread-safe.
 */
public final class StreamingClient {

    private static final int MAX_CONNECTIONS = 2_000;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(120);

    private final HttpClient http;
    private final String url;

    /** Creates a client with its own connection pool; an empty key or workload is not sent. */
    public StreamingClient(String url, String key, String workload) {
        this(
                HttpClient.create(ConnectionProvider.builder("streams")
                        .maxConnections(MAX_CONNECTIONS)
                        .pendingAcquireMaxCount(-1)
                        .build()),
                url,
                key,
                workload);
    }

    /** Creates a client that uses the connection pool of the given HTTP client. */
    public StreamingClient(HttpClient shared, String url, String key, String workload) {
        this.url = Objects.requireNonNull(url, "url must not be null");
        this.http = StrictResponses.of(shared).headers(headers -> {
            headers.set("Content-Type", "application/json");
            if (!key.isEmpty()) {
                headers.set("Authorization", "Bearer " + key);
            }
            if (!workload.isEmpty()) {
                headers.set("Cornelcrank-Workload", workload);
            }
        });
    }

    /** Returns the body of a chat request that asks for a streamed response. */
    public static byte[] chatBody(String model, String systemText, String userText, int maxTokens) {
        try {
            return DaemonClient.JSON.writeValueAsBytes(Map.of(
                    "model",
                    model,
                    "stream",
                    true,
                    "max_tokens",
                    maxTokens,
                    "messages",
                    List.of(
                            Map.of("role", "system", "content", systemText),
                            Map.of("role", "user", "content", userText))));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("text must be writable as JSON", e);
        }
    }

    /** Sends a request and waits for the complete response; must not be called on an event loop thread. */
    public StreamedResponse chat(String model, String systemText, String userText, int maxTokens) {
        return send(chatBody(model, systemText, userText, maxTokens)).block();
    }

    /** Sends a request body; a failure results in an incomplete response, not in an error. */
    public Mono<StreamedResponse> send(byte[] body) {
        return Mono.defer(() -> {
            StreamReader reader = new StreamReader(System.nanoTime());
            return http.post()
                    .uri(url + "/v1/chat/completions")
                    .send(ByteBufMono.fromCallable(() -> Unpooled.wrappedBuffer(body)))
                    .response((response, content) -> {
                        reader.setHead(
                                response.status().code(),
                                response.responseHeaders().get("Cornelcrank-Verdict", ""));
                        return content.asString(StandardCharsets.UTF_8).doOnNext(reader::accept);
                    })
                    .then(Mono.fromSupplier(reader::toResponse))
                    .timeout(RESPONSE_TIMEOUT)
                    .onErrorResume(error -> Mono.fromSupplier(reader::toResponse));
        });
    }
}
