package org.cornelcrank.server;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.RunnerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests streams whose target falls silent for longer than the read timeout and goes on, over real sockets. */
class SilentTargetEndToEndTests {

    private static final long SILENCE_MS = 1_300;
    private static final int VERSION = 2;

    private final List<RawRunnerStandIn> runners = new ArrayList<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private GatewayFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(1, "i-1");
        fleet.putTable(
                RoutesStandIn.table(VERSION, "stream").replace("\"targetLatencyMs\":1000", "\"targetLatencyMs\":300"));
        awaitDumpLine("\\W*routesVersion\\W+" + VERSION);
        fleet.register(fleet.runners.get("i-1"), "unused-svc", "draining");
        awaitDumpLine("\\s*i-1 .* true .*");
    }

    @AfterEach
    void stop() {
        ended.countDown();
        fleet.close();
        runners.forEach(RawRunnerStandIn::close);
    }

    private void awaitDumpLine(String pattern) throws IOException {
        GatewayFleet.await(
                () -> fleet.get(fleet.metricsUri(0, "/dump")).body().lines().anyMatch(line -> line.matches(pattern)));
    }

    private void startRunner(String id, String field, String value, RawRunnerStandIn.Script script) throws IOException {
        RawRunnerStandIn runner = new RawRunnerStandIn(id, script);
        runners.add(runner);
        fleet.store.put("servers", id, runner.entry("svc", "dc-a").replace(field, value));
        awaitDumpLine("\\s*" + id + " .*");
    }

    private static int lastEvent(RawRunnerStandIn.Request request) {
        return Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
    }

    private static String events(int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(number -> "id: %d\ndata: piece %d\n\n".formatted(number, number))
                .collect(Collectors.joining());
    }

    private static void begin(RawRunnerStandIn.Request request, RawRunnerStandIn.Response response) throws IOException {
        response.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        write(response, lastEvent(request) + 1, lastEvent(request) + 2);
    }

    private static void write(RawRunnerStandIn.Response response, int from, int to) throws IOException {
        String events = events(from, to);
        response.write(Integer.toHexString(events.length()) + "\r\n" + events + "\r\n");
    }

    private static void finish(RawRunnerStandIn.Request request, RawRunnerStandIn.Response response)
            throws IOException {
        write(response, lastEvent(request) + 3, RunnerStandIn.EVENTS);
        response.write("0\r\n\r\n");
    }

    private static void respondWithSilence(RawRunnerStandIn.Request request, RawRunnerStandIn.Response response)
            throws IOException {
        begin(request, response);
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SILENCE_MS);
        GatewayFleet.await(() -> System.nanoTime() > untilNanos);
        finish(request, response);
    }

    private RawResponse stream() throws IOException {
        try (KeptConnection connection = new KeptConnection(fleet.connect(0))) {
            connection.send("POST /stream/1 HTTP/1.1\r\nHost: " + GatewayFleet.HOST
                    + "\r\nRequest-Id: silent\r\nContent-Length: 1\r\n\r\nx");
            return connection.read();
        }
    }

    private static void assertComplete(RawResponse response) {
        assertThat(response.complete()).as("%s", response).isTrue();
        assertThat(response.body()).isEqualTo(events(1, RunnerStandIn.EVENTS));
    }

    /** Guards against streams that are cut as their target is silent for a while and no other one may resume them. */
    @ParameterizedTest
    @CsvSource({"ready, draining", "v1, v2", "svc, other-svc"})
    void streamThatNoOtherTargetMayResumeIsNotCutWhileItsTargetIsSilent(String field, String other) throws Exception {
        startRunner("raw-1", "", "", SilentTargetEndToEndTests::respondWithSilence);
        startRunner("raw-2", '"' + field + '"', '"' + other + '"', SilentTargetEndToEndTests::respondWithSilence);
        assertComplete(stream());
    }

    /** Guards against streams that are cut as one target refuses to resume them, although another one is idle. */
    @Test
    void streamGoesOnAtAThirdTargetIfTheSecondRefusesToResumeIt() throws Exception {
        AtomicBoolean refused = new AtomicBoolean();
        for (String id : List.of("raw-1", "raw-2", "raw-3")) {
            startRunner(id, "", "", (request, response) -> {
                if (lastEvent(request) == 0) {
                    begin(request, response);
                    ended.await();
                } else if (refused.compareAndSet(false, true)) {
                    response.refusal(request, "");
                } else {
                    begin(request, response);
                    finish(request, response);
                }
            });
        }
        assertComplete(stream());
        assertThat(refused).isTrue();
    }
}
