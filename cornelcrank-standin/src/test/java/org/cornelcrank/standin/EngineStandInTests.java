package org.cornelcrank.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests the stand-in for a model engine over real sockets. */
class EngineStandInTests {

    private static final String CHAT = "/v1/chat/completions";
    private static final String PROMPT = "user: which counter?\n";

    private EngineStandIn engine = started(EngineSettings.defaults("saarthi-lm")
            .withTimeModel(new EngineTimeModel(10, 1_000, 0))
            .withSlots(1));

    @AfterEach
    void stop() {
        engine.close();
    }

    @Test
    void completeResponseContainsTheTextOfThePrompt() throws Exception {
        JsonNode response = new StandInClient(engine).json("POST", CHAT, body(12, false));
        assertThat(response.path("choices")
                        .get(0)
                        .path("message")
                        .path("content")
                        .asText())
                .isEqualTo(GeneratedText.of(PROMPT, 12));
        assertThat(response.path("usage").path("completion_tokens").asInt()).isEqualTo(12);
    }

    @Test
    void streamHasOneEventPerTokenAndEndsWithDone() throws Exception {
        var response = new StandInClient(engine).send("POST", CHAT, body(12, true));
        assertThat(response.headers().firstValue("Content-Type").orElse("")).startsWith("text/event-stream");
        String[] events = response.body().split("\n\n");
        assertThat(events).hasSize(14);
        assertThat(events[13]).isEqualTo("data: [DONE]");
        assertThat(events[0]).contains(GeneratedText.token(PROMPT, 0));
    }

    @Test
    void disconnectedStreamWithAResumeKeyFreesItsSlotAndCanBeResumed() throws Exception {
        StandInClient client = new StandInClient(engine);
        disconnectAfterFirstBytes(body(400, true), "k1");
        assertThat(client.send("POST", CHAT, body(3, false)).statusCode()).isEqualTo(200);
        JsonNode remainder = client.json(
                "POST", CHAT, body(400, false), "Cornelcrank-Resume-Key", "k1", "Cornelcrank-Resume-From", "1");
        assertThat(remainder
                        .path("choices")
                        .get(0)
                        .path("message")
                        .path("content")
                        .asText())
                .isEqualTo(GeneratedText.of(PROMPT, 400)
                        .substring(GeneratedText.token(PROMPT, 0).length()));
        assertThat(engine.counters().generatedTokens()).isEqualTo(403);
    }

    @Test
    void unknownResumeKeyRunsNothing() throws Exception {
        var response = new StandInClient(engine)
                .send("POST", CHAT, body(4, false), "Cornelcrank-Resume-Key", "gone", "Cornelcrank-Resume-From", "3");
        assertThat(response.statusCode()).isEqualTo(410);
        assertThat(engine.counters().started()).isZero();
    }

    @Test
    void markedRequestClosesAllConnectionsAndTheEngineRestarts() throws Exception {
        StandInClient client = new StandInClient(engine);
        String marked = body(4, false).replace("which", EngineStandIn.CRASH_MARK);
        assertThatThrownBy(() -> client.send("POST", CHAT, marked)).isInstanceOf(IOException.class);
        assertThat(awaitLoadReport(client).path("running").asInt()).isZero();
        assertThat(client.send("POST", CHAT, body(4, false)).statusCode()).isEqualTo(200);
        assertThat(engine.counters().crashes()).isEqualTo(1);
    }

    @Test
    void onlyAnEngineThatChecksFencingRejectsAnOldOrder() throws Exception {
        StandInClient client = new StandInClient(engine);
        assertThat(client.send("POST", "/orders", order(9)).statusCode()).isEqualTo(200);
        assertThat(client.send("POST", "/orders", order(8)).statusCode()).isEqualTo(409);
        engine.close();
        engine = started(EngineSettings.defaults("saarthi-lm")
                .withModels(new EngineSettings.Models(Set.of("saarthi-lm"), Set.of(), 0, 100, false)));
        StandInClient clientWithoutFencing = new StandInClient(engine);
        assertThat(clientWithoutFencing.send("POST", "/orders", order(9)).statusCode())
                .isEqualTo(200);
        assertThat(clientWithoutFencing.send("POST", "/orders", order(8)).statusCode())
                .isEqualTo(200);
    }

    @Test
    void cachedPrefixesAreReportedToTheCaller() throws Exception {
        StandInClient client = new StandInClient(engine);
        client.send("POST", CHAT, body(1, false), "Cornelcrank-Prefix-Hashes", "a,b");
        var second = client.send("POST", CHAT, body(1, false), "Cornelcrank-Prefix-Hashes", "a,b,c");
        assertThat(second.headers().firstValue("Cornelcrank-Cached-Prefixes")).contains("2");
    }

    private void disconnectAfterFirstBytes(String body, String key) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(engine.url() + CHAT))
                .header("Cornelcrank-Resume-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        var response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofInputStream());
        response.body().readNBytes(200);
        response.body().close();
    }

    private static JsonNode awaitLoadReport(StandInClient client) throws InterruptedException {
        while (true) {
            try {
                return client.json("GET", "/load", "");
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
    }

    private static String body(int tokens, boolean stream) {
        return "{\"model\":\"saarthi-lm\",\"max_tokens\":" + tokens + ",\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"which counter?\"}]}";
    }

    private static String order(int fencingNumber) {
        return "{\"role\":\"mixed\",\"loaded\":[\"saarthi-lm\"],\"fencingNumber\":" + fencingNumber + "}";
    }

    private static EngineStandIn started(EngineSettings settings) {
        EngineStandIn engine = new EngineStandIn(settings);
        engine.start();
        return engine;
    }
}
