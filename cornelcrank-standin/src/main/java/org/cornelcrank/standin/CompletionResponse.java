package org.cornelcrank.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/**
 * Converts the tokens of one generation into the response to its caller, streamed or complete.
 *
 * <p>Not thread-safe: confined to the engine's worker.
 */
final class CompletionResponse implements Generation.Listener {

    private final CompletionRequest request;
    private final String id;
    private final MonoSink<StandInResponse> responseSink;
    private final Runnable onDisconnect;
    private final Sinks.Many<String> events = Sinks.many().unicast().onBackpressureBuffer();
    private final StringBuilder text = new StringBuilder();
    private Map<String, String> headers = Map.of();
    private int tokens;

    CompletionResponse(
            CompletionRequest request, String id, MonoSink<StandInResponse> responseSink, Runnable onDisconnect) {
        this.request = Objects.requireNonNull(request, "request must not be null");
        this.id = Objects.requireNonNull(id, "id must not be null");
        this.responseSink = Objects.requireNonNull(responseSink, "responseSink must not be null");
        this.onDisconnect = Objects.requireNonNull(onDisconnect, "onDisconnect must not be null");
    }

    @Override
    public void started(int cachedPrefixes) {
        headers = Map.of("Cornelcrank-Cached-Prefixes", Integer.toString(cachedPrefixes));
        if (request.stream()) {
            responseSink.success(
                    new StandInResponse.Events(200, headers, events.asFlux().doOnCancel(onDisconnect)));
        }
    }

    @Override
    public void token(int index) {
        String part = GeneratedText.token(request.prompt(), index);
        tokens++;
        if (request.stream()) {
            sendEvent(chunk(part, null));
        } else {
            text.append(part);
        }
    }

    @Override
    public void finished() {
        if (!request.stream()) {
            responseSink.success(StandInResponse.json(200, headers, completeBody()));
            return;
        }
        Map<String, Object> last = chunk("", "stop");
        last.put("usage", usage());
        sendEvent(last);
        events.tryEmitNext("data: [DONE]\n\n");
        events.tryEmitComplete();
    }

    private void sendEvent(Map<String, Object> chunk) {
        try {
            events.tryEmitNext("data: " + StandInResponse.JSON.writeValueAsString(chunk) + "\n\n");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("chunk must be writable as JSON", e);
        }
    }

    private Map<String, Object> chunk(String part, String finishReason) {
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", 0);
        if (request.chat()) {
            choice.put("delta", part.isEmpty() ? Map.of() : Map.of("content", part));
        } else {
            choice.put("text", part);
        }
        choice.put("finish_reason", finishReason);
        return envelope(request.chat() ? "chat.completion.chunk" : "text_completion", choice);
    }

    private Map<String, Object> completeBody() {
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", 0);
        if (request.chat()) {
            choice.put("message", Map.of("role", "assistant", "content", text.toString()));
        } else {
            choice.put("text", text.toString());
        }
        choice.put("finish_reason", "stop");
        Map<String, Object> body = envelope(request.chat() ? "chat.completion" : "text_completion", choice);
        body.put("usage", usage());
        return body;
    }

    private Map<String, Object> envelope(String object, Map<String, Object> choice) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", id);
        body.put("object", object);
        body.put("created", 0);
        body.put("model", request.model());
        body.put("choices", List.of(choice));
        return body;
    }

    private Map<String, Object> usage() {
        int prompt = request.promptTokens();
        Map<String, Object> usage = new LinkedHashMap<>();
        usage.put("prompt_tokens", prompt);
        usage.put("completion_tokens", tokens);
        usage.put("total_tokens", prompt + tokens);
        return usage;
    }
}
