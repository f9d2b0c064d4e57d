package org.cornelcrank.server;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Script;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a daemon process with the memory of a deployed one while half of its targets send without end, all at once. */
class DaemonMemoryEndToEndTests {

    private static final int REQUESTS_PER_FAULTY_TARGET = 64;
    private static final int FAULTY_TARGETS = 4;
    private static final int MIN_SOUND_REQUESTS = 10;
    private static final int SOUND_LANES = 4;
    private static final int SOUND_BODY_BYTES = 3 * 1024 * 1024;

    /** The smallest host of a deployment has that much for the whole process. */
    private static final long MAX_RESIDENT_BYTES = 330L * 1024 * 1024;

    /** Just under what a target may send for one request. */
    private static final int ALMOST_LIMIT_BYTES = 4 * 1024 * 1024 - 64 * 1024;

    private static final String FILLER = "x".repeat(8 * 1024);
    private static final String SOUND_BODY = "s".repeat(SOUND_BODY_BYTES);
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String UNTIL_CLOSE = "Connection: close\r\n";
    private static final String EVENTS_UNTIL_CLOSE = "Content-Type: text/event-stream\r\n" + UNTIL_CLOSE;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final long DEADLINE_MS = 8_000;
    private static final long FAULTY_DEADLINE_MS = 5_000;
    private static final String SOUND = "200 sound";

    @TempDir
    private Path directory;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StoreStandIn store = new StoreStandIn(2);
    private final List<RawRunnerStandIn> runners = new ArrayList<>();
    private GatewayChildProcess daemon;

    @BeforeEach
    void start() throws IOException {
        store.put(
                "op",
                "config",
                RoutesStandIn.table(1, "idem", "unsafe", "stream-once")
                        .replaceFirst("(?s)(\"r-idem\".*?)\"service\":\"svc\"", "$1\"service\":\"sound-svc\""));
        daemon = new GatewayChildProcess(store.address(), directory);
        GatewayFleet.await(daemon::ready);
    }

    @AfterEach
    void stop() {
        daemon.close();
        runners.forEach(RawRunnerStandIn::close);
        store.close();
    }

    private void register(String id, String service, Script script) throws IOException {
        RawRunnerStandIn runner = new RawRunnerStandIn(id, script);
        runners.add(runner);
        store.put(
                "servers",
                id,
                runner.entry(service, GatewayChildProcess.ZONE)
                        .replace("\"slots\":4", "\"slots\":" + REQUESTS_PER_FAULTY_TARGET));
    }

    /** Writes the head of a success and then the same bytes, and keeps the connection open after that many. */
    private static Script body(String headers, String repeated, int maxBytes) {
        return (request, response) -> {
            response.head(request, headers);
            for (int bytes = 0; bytes < maxBytes; bytes += repeated.length()) {
                response.write(repeated);
            }
            Thread.sleep(TIMEOUT.toMillis());
        };
    }

    private static Script endless(String first, String repeated) {
        return (request, response) -> {
            response.write(first);
            while (true) {
                response.write(repeated);
            }
        };
    }

    /** Responds to streams with events without end, and to other requests as the script does. */
    private static Script orEvents(Script script, String event) {
        return (request, response) -> {
            if (request.line().contains("/stream")) {
                response.head(request, EVENTS_UNTIL_CLOSE);
                for (int number = 1; ; number++) {
                    response.write("id: " + number + "\n" + event);
                }
            }
            script.respond(request, response);
        };
    }

    private CompletableFuture<HttpResponse<String>> send(String route, String requestId, long deadlineMs) {
        return http.sendAsync(
                HttpRequest.newBuilder(daemon.uri("/" + route + "/1"))
                        .timeout(TIMEOUT)
                        .setHeader("Host", RoutesStandIn.HOST)
                        .header("Request-Id", requestId)
                        .header("Deadline-Ms", Long.toString(deadlineMs))
                        .POST(HttpRequest.BodyPublishers.ofString(requestId))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the status, and whether the body is that of the sound target. */
    private static String outcome(CompletableFuture<HttpResponse<String>> sent) {
        try {
            HttpResponse<String> response = sent.join();
            return response.statusCode() + (response.body().equals(SOUND_BODY) ? " sound" : "");
        } catch (CompletionException e) {
            return e.getCause().getClass().getSimpleName();
        }
    }

    @Test
    void responsesWithoutEndOfHalfOfTheTargetsExhaustNoMemoryAndHarmNoSoundRequest() throws IOException {
        String length = "Content-Length: 1000000000\r\n";
        String chunk = "2000\r\n" + FILLER + "\r\n";
        register("faulty-0", "svc", orEvents(body(length, FILLER, ALMOST_LIMIT_BYTES), "data: " + FILLER + "\n\n"));
        register("faulty-1", "svc", orEvents(body(UNTIL_CLOSE, FILLER, ALMOST_LIMIT_BYTES), FILLER));
        register("faulty-2", "svc", orEvents(body(CHUNKED, chunk, ALMOST_LIMIT_BYTES), "data: " + FILLER + "\n\n"));
        register("faulty-3", "svc", orEvents(endless("HTTP/1.1 200 OK\r\nX-Long: ", FILLER), FILLER));
        for (int i = 0; i < FAULTY_TARGETS; i++) {
            register("sound-" + i, "sound-svc", (request, response) -> response.whole(request, SOUND_BODY));
        }
        for (int i = 0; i < FAULTY_TARGETS; i++) {
            String requestId = "warm-up-" + i;
            GatewayFleet.await(
                    () -> outcome(send("idem", requestId, DEADLINE_MS)).equals(SOUND));
        }
        List<CompletableFuture<HttpResponse<String>>> faulty = new ArrayList<>();
        for (int i = 0; i < FAULTY_TARGETS * REQUESTS_PER_FAULTY_TARGET; i++) {
            faulty.add(send(i % 8 == 0 ? "stream-once" : "unsafe", "f" + i, FAULTY_DEADLINE_MS));
        }
        Map<String, Integer> sound = new TreeMap<>();
        for (int i = 0; i < MIN_SOUND_REQUESTS || !faulty.stream().allMatch(CompletableFuture::isDone); i++) {
            List<CompletableFuture<HttpResponse<String>>> lanes = new ArrayList<>();
            for (int lane = 0; lane < SOUND_LANES; lane++) {
                lanes.add(send("idem", "s" + i + "-" + lane, DEADLINE_MS));
            }
            lanes.forEach(sent -> sound.merge(outcome(sent), 1, Integer::sum));
        }
        Map<String, Integer> failed = new TreeMap<>();
        faulty.forEach(sent -> failed.merge(outcome(sent), 1, Integer::sum));
        String seen = "alive " + daemon.alive() + ", sound " + sound + ", others " + failed + ", memory errors "
                + daemon.output().lines().filter(line -> line.contains("OutOf")).count() + ", resident MiB "
                + (daemon.alive() ? daemon.peakResidentBytes() >> 20 : 0) + ", evicted "
                + daemon.metric("attempts_responses_evicted_total") + ", held "
                + daemon.metric("attempts_response_bytes");
        assertThat(daemon.alive()).as(seen).isTrue();
        assertThat(daemon.output().contains("OutOf")).as(seen).isFalse();
        assertThat(sound.keySet()).as(seen).containsExactly(SOUND);
        assertThat(failed.keySet()).as(seen).isSubsetOf("200", "502", "503", "504", "IOException");
        assertThat(daemon.peakResidentBytes()).as(seen).isLessThan(MAX_RESIDENT_BYTES);
        GatewayFleet.await(() -> daemon.metric("attempts_response_bytes") == 0);
    }
}
