package org.cornelcrank.server;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.cornelcrank.platform.fake.RunnerStandIn;
import org.cornelcrank.platform.fake.RunnerStandIn.Behaviour;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests two daemons with callers, runners and the store over real sockets. */
class GatewayEndToEndTests {

    /** The number of requests after which a given one of two runners has almost certainly been chosen. */
    private static final int MAX_REQUESTS = 64;

    private static final String COMPLETE_STREAM = IntStream.rangeClosed(1, RunnerStandIn.EVENTS)
            .mapToObj(number -> "id: %d\ndata: piece %d\n\n".formatted(number, number))
            .collect(Collectors.joining());

    private static final int STEADY_CALLERS = 6;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private GatewayFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(2, "i-1", "i-2");
    }

    @AfterEach
    void stop() {
        fleet.close();
        threads.shutdownNow();
    }

    @Test
    void streamIsCompleteAndSigned() throws IOException {
        HttpResponse<String> response = fleet.post(0, "stream", "s1", "prompt");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(COMPLETE_STREAM);
        assertThat(response.headers().firstValue("Request-Id")).hasValue("s1");
        assertThat(response.headers().firstValue("Response-Signature"))
                .hasValue("signed-by-" + fleet.runnerOf("s1").id());
    }

    @Test
    void plainRequestReachesItsRunnerUnchanged() throws IOException {
        assertThat(fleet.post(1, "idem", "p1", "a body").body()).isEqualTo("a body");
        assertThat(fleet.runs("p1")).isEqualTo(1);
    }

    @Test
    void unknownRouteOrHostIsNotFound() throws IOException {
        assertThat(fleet.post(0, "nowhere", "n1", "x").statusCode()).isEqualTo(404);
        HttpRequest otherHost = fleet.request(0, "/idem/1")
                .setHeader("Host", "b.example")
                .header("Request-Id", "n2")
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build();
        assertThat(fleet.send(otherHost).statusCode()).isEqualTo(404);
    }

    @Test
    void requestWithoutIdOrWithTooLongBodyIsRejected() throws IOException {
        HttpRequest noId = fleet.request(0, "/idem/1")
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build();
        assertThat(fleet.send(noId).statusCode()).isEqualTo(400);
        assertThat(fleet.post(0, "idem", "b1", "x".repeat(100_001)).statusCode())
                .isEqualTo(413);
        assertThat(fleet.runs("b1")).isZero();
    }

    @Test
    void fullRunnerIsSkipped() throws IOException {
        fleet.runners.get("i-1").setBehaviour(Behaviour.FULL);
        for (int i = 0; i < 6; i++) {
            assertThat(fleet.post(0, "unsafe", "f" + i, "x").statusCode()).isEqualTo(200);
            assertThat(fleet.runs("f" + i)).isEqualTo(1);
        }
    }

    @Test
    void addressTakenByAnotherRunnerIsSkipped() throws IOException {
        fleet.runners.get("i-1").setBehaviour(Behaviour.OTHER);
        for (int i = 0; i < 6; i++) {
            assertThat(fleet.post(0, "unsafe", "o" + i, "x").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void requestIsNotRunIfAllRunnersAreFull() throws IOException {
        fleet.setBehaviour(Behaviour.FULL);
        HttpResponse<String> response = fleet.post(0, "unsafe", "a1", "x");
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Response-Signature")).isEmpty();
        assertThat(fleet.runs("a1")).isZero();
    }

    @Test
    void idempotentRequestIsRetriedElsewhereAfterATruncatedResponse() throws IOException {
        fleet.runners.get("i-1").setBehaviour(Behaviour.INTERRUPTING);
        for (int i = 0; i < 4; i++) {
            HttpResponse<String> response = fleet.post(0, "idem", "i" + i, "body");
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("body");
        }
    }

    @Test
    void requestThatMayHaveRunIsNeitherRepeatedNorReportedAsNotRun() throws IOException {
        fleet.setBehaviour(Behaviour.INTERRUPTING);
        assertThat(fleet.post(0, "unsafe", "u1", "x").statusCode()).isEqualTo(502);
        assertThat(fleet.runs("u1")).isEqualTo(1);
    }

    @Test
    void responseToAnotherRequestIsNeverForwarded() throws IOException {
        fleet.setBehaviour(Behaviour.CROSSED);
        assertThat(fleet.post(0, "unsafe", "x1", "x").statusCode()).isEqualTo(502);
        assertThat(fleet.runs("x1")).isEqualTo(1);
    }

    @Test
    void unsignedSuccessIsNeverForwarded() throws IOException {
        fleet.setBehaviour(Behaviour.UNSIGNED);
        assertThat(fleet.post(0, "once", "y1", "x").statusCode()).isEqualTo(502);
        assertThat(fleet.post(0, "unsafe", "y2", "x").statusCode()).isEqualTo(502);
        fleet.runners.get("i-2").setBehaviour(Behaviour.NORMAL);
        for (int i = 0; i < 3; i++) {
            assertThat(fleet.post(0, "idem", "z" + i, "body").body()).isEqualTo("body");
        }
    }

    @Test
    void runnersOwnFailureIsForwardedUnchanged() throws IOException {
        fleet.setBehaviour(Behaviour.FAILING);
        HttpResponse<String> response = fleet.post(0, "unsafe", "w1", "x");
        assertThat(response.statusCode()).isEqualTo(500);
        assertThat(response.body()).isEqualTo("failed");
        assertThat(response.headers().firstValue("Response-Signature")).isPresent();
        assertThat(fleet.runs("w1")).isEqualTo(1);
    }

    @Test
    void truncatedStreamResumesAtAnotherRunnerInTheSameResponse() throws IOException {
        RunnerStandIn interrupting = fleet.runners.get("i-1");
        interrupting.setBehaviour(Behaviour.INTERRUPTING);
        for (int i = 0; i < 6 || interrupting.runs() == 0 && i < MAX_REQUESTS; i++) {
            assertThat(fleet.post(0, "stream", "r" + i, "x").body()).isEqualTo(COMPLETE_STREAM);
        }
        assertThat(interrupting.runs()).isPositive();
    }

    /** The first attempt breaks off, since no other runner has its version; its caller goes on at another daemon. */
    @Test
    void streamGoesOnOnlyAtARunnerOfTheVersionThatBeganIt() throws IOException {
        RunnerStandIn interrupting = fleet.runners.get("i-1");
        RunnerStandIn other = fleet.runners.get("i-2");
        other.setVersion("v2");
        fleet.register(other, "ready");
        for (int daemon = 0; daemon < 2; daemon++) {
            String dump = fleet.metricsUri(daemon, "/dump");
            GatewayFleet.await(() -> fleet.get(dump)
                    .body()
                    .lines()
                    .anyMatch(line -> line.strip().startsWith("i-2 ") && line.contains(" v2 ")));
            String otherDaemon = "host-" + (1 - daemon) + " ";
            GatewayFleet.await(() -> fleet.get(dump)
                    .body()
                    .lines()
                    .anyMatch(line -> line.strip().startsWith(otherDaemon) && line.contains(" ALIVE ")));
        }
        interrupting.setBehaviour(Behaviour.INTERRUPTING);
        String first = "";
        for (int i = 0; interrupting.runs(first) == 0 && i < MAX_REQUESTS; i++) {
            first = "begun-" + i;
            fleet.status(0, "stream", first, Map.of("Deadline-Ms", "8000"));
        }
        assertThat(other.runs(first)).isZero();
        interrupting.setBehaviour(Behaviour.NORMAL);
        HttpResponse<String> rest = fleet.send(fleet.request(1, "/stream/1")
                .header("Request-Id", "taken-up")
                .header("Deadline-Ms", "8000")
                .header("Resumes", first)
                .header("Last-Event-Id", "2")
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build());
        assertThat(rest.statusCode()).isEqualTo(200);
        assertThat(COMPLETE_STREAM).endsWith(rest.body());
        assertThat(interrupting.runs("taken-up")).isEqualTo(1);
        assertThat(other.runs("taken-up")).isZero();
    }

    @Test
    void streamOfASplitRouteGoesOnAtTheServiceThatBeganIt() throws IOException {
        RunnerStandIn other = fleet.runners.get("i-2");
        fleet.register(other, "other-svc", "ready");
        fleet.putRoutes(2, "idem", "stream-split");
        GatewayFleet.await(() -> fleet.post(0, "stream-split", "warm-up", "x").statusCode() == 200);
        GatewayFleet.await(() -> {
            fleet.post(0, "stream-split", "both-" + System.nanoTime(), "x");
            return other.runs() > 0;
        });
        assertThat(fleet.post(0, "stream-split", "first", "x").statusCode()).isEqualTo(200);
        RunnerStandIn began = fleet.runnerOf("first");
        for (int i = 0; i < 16; i++) {
            String next = "next-" + i;
            Map<String, String> headers = Map.of("Deadline-Ms", "8000", "Resumes", "first", "Last-Event-Id", "2");
            assertThat(fleet.status(0, "stream-split", next, headers)).isEqualTo(200);
            assertThat(began.runs(next)).isEqualTo(1);
        }
    }

    @Test
    void streamThatCannotResumeEndsWithAnError() {
        fleet.setBehaviour(Behaviour.INTERRUPTING);
        assertThatThrownBy(() -> fleet.post(0, "once", "v1", "x")).isInstanceOf(IOException.class);
        assertThat(fleet.runs("v1")).isEqualTo(1);
    }

    /** A run counts against the limit of attempts only if its target is still running afterwards. */
    @Test
    void streamWithOneAttemptResumesElsewhereOnlyIfItsRunnerIsGone() throws IOException {
        fleet.setBehaviour(Behaviour.INTERRUPTING);
        assertThatThrownBy(() -> fleet.post(0, "stream-once", "n1", "x")).isInstanceOf(IOException.class);
        assertThat(fleet.runs("n1")).isEqualTo(1);
        fleet.setBehaviour(Behaviour.NORMAL);
        fleet.runners.get("i-1").setBehaviour(Behaviour.CRASHING);
        for (int i = 0; fleet.runners.get("i-1").runs() == 0 || i < 4; i++) {
            assertThat(fleet.post(0, "stream-once", "g" + i, "x").body()).isEqualTo(COMPLETE_STREAM);
        }
    }

    /** No other request contacts the runner afterwards, which would show that it is gone. */
    @Test
    void crashUnderARequestThatMayNotBeRepeatedIsNoticed() throws IOException {
        fleet.setBehaviour(Behaviour.CRASHING);
        assertThatThrownBy(() -> fleet.post(0, "once", "c1", "x")).isInstanceOf(IOException.class);
        assertThat(fleet.runs("c1")).isEqualTo(1);
        GatewayFleet.await(
                () -> fleet.get(fleet.metricsUri(0, "/metrics")).body().contains("routing_targets_gone"));
    }

    @Test
    void slowRunnerIsAwaitedIfNoOtherMayRunTheRequest() throws IOException {
        fleet.runners.values().forEach(runner -> runner.setEventMs(2_500));
        HttpRequest request = fleet.request(0, "/stream-once/1")
                .header("Request-Id", "p1")
                .header("Last-Event-Id", Integer.toString(RunnerStandIn.EVENTS - 2))
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build();
        assertThat(fleet.send(request).body()).startsWith("id: 4\n").contains("id: 5\n");
        assertThat(fleet.runs("p1")).isEqualTo(1);
    }

    @Test
    void requestMovesFromAnUnresponsiveRunnerToAnother() throws IOException {
        fleet.runners.get("i-1").setBehaviour(Behaviour.UNRESPONSIVE);
        for (int i = 0; i < 3; i++) {
            assertThat(fleet.post(0, "idem", "q" + i, "body").body()).isEqualTo("body");
        }
    }

    @Test
    void callerDisconnectStopsItsStream() throws Exception {
        fleet.runners.values().forEach(runner -> runner.setEventMs(500));
        CompletableFuture<HttpResponse<String>> call = fleet.http()
                .sendAsync(
                        fleet.request(0, "/stream/1")
                                .header("Request-Id", "h1")
                                .POST(HttpRequest.BodyPublishers.ofString("x"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        GatewayFleet.await(() -> fleet.runs("h1") == 1);
        call.cancel(true);
        GatewayFleet.await(() -> fleet.runnerOf("h1").interruptedRequests().contains("h1"));
    }

    @Test
    void drainingRunnerReceivesNoNewRequests() throws IOException {
        fleet.register(fleet.runners.get("i-1"), "draining");
        GatewayFleet.await(() -> fleet.get(fleet.metricsUri(0, "/dump")).body().contains("i-1"));
        GatewayFleet.await(() -> {
            int before = fleet.runners.get("i-1").runs();
            for (int i = 0; i < 4; i++) {
                fleet.post(0, "idem", "l" + System.nanoTime(), "x");
            }
            return fleet.runners.get("i-1").runs() == before;
        });
    }

    @Test
    void runnerThatStatesInASuccessThatItLeavesReceivesNothingMore() throws IOException {
        assertLeavesAfter("idem", Behaviour.NORMAL);
    }

    @Test
    void runnerThatStatesInAFailureThatItLeavesReceivesNothingMore() throws IOException {
        assertLeavesAfter("unsafe", Behaviour.FAILING);
    }

    @Test
    void runnerThatStatesInTheHeadOfAStreamThatItLeavesReceivesNothingMore() throws IOException {
        assertLeavesAfter("stream", Behaviour.NORMAL);
    }

    /** The refused request is retried elsewhere, and no later one starts at the runner. */
    @Test
    void runnerThatStatesInARefusalThatItLeavesReceivesNothingMore() throws IOException {
        assertLeavesAfter("unsafe", Behaviour.FULL);
    }

    /** The stream is interrupted at the runner that leaves and resumes at the other. */
    @Test
    void streamDoesNotResumeAtARunnerThatHasStatedThatItLeaves() throws IOException {
        assertLeavesAfter("stream", Behaviour.INTERRUPTING);
    }

    @Test
    void runnerThatLeftIsUsedAgainOnceItIsListedAfterARestart() throws IOException {
        assertLeavesAfter("idem", Behaviour.NORMAL);
        RunnerStandIn runner = fleet.runners.get("i-1");
        runner.restart();
        fleet.register(runner, "ready");
        int before = runner.runs();
        GatewayFleet.await(() -> {
            fleet.post(0, "idem", "again-" + System.nanoTime(), "x");
            return runner.runs() > before;
        });
    }

    @Test
    void itemsDoNotRunOnARunnerThatHasStatedThatItLeaves() throws IOException {
        RunnerStandIn runner = assertLeavesAfter("idem", Behaviour.NORMAL);
        GatewayFleet.await(() -> fleet.get(fleet.metricsUri(1, "/dump"))
                .body()
                .lines()
                .anyMatch(line -> line.strip().startsWith("i-1 ") && line.contains(" true ")));
        int before = runner.runs();
        for (int i = 0; i < 4; i++) {
            String job = "job-leaving-" + i;
            assertThat(submit(0, job).statusCode()).isEqualTo(202);
            GatewayFleet.await(() -> read(1, job).body().contains("\"next\":2"));
        }
        assertThat(runner.runs()).isEqualTo(before);
    }

    /** Sends requests until the first runner has stated that it leaves, and checks that it then receives no more. */
    private RunnerStandIn assertLeavesAfter(String route, Behaviour behaviour) throws IOException {
        RunnerStandIn runner = fleet.runners.get("i-1");
        runner.setBehaviour(behaviour);
        runner.setLeaving(true);
        int before = runner.requests();
        for (int i = 0; runner.requests() == before && i < MAX_REQUESTS; i++) {
            fleet.post(0, route, "first-" + i, "x");
        }
        assertThat(runner.requests()).isGreaterThan(before);
        int afterStatement = runner.requests();
        for (int i = 0; i < MAX_REQUESTS / 2; i++) {
            for (String each : List.of("idem", "unsafe", "stream", "once")) {
                assertThat(fleet.post(0, each, each + i, "x").statusCode()).isEqualTo(200);
            }
        }
        assertThat(runner.requests()).isEqualTo(afterStatement);
        return runner;
    }

    /** A limit this low allows one request in five seconds, as only a response can end it. */
    @ParameterizedTest
    @EnumSource(
            value = Behaviour.class,
            names = {"NORMAL", "FULL"})
    void runnerThatStatesALimitGetsNoMoreRequestsFromAnyDaemon(Behaviour behaviour) throws IOException {
        RunnerStandIn runner = fleet.runners.get("i-1");
        runner.setBehaviour(behaviour);
        runner.setRateLimit("0.125");
        int before = runner.requests();
        for (int i = 0; runner.requests() == before && i < MAX_REQUESTS; i++) {
            fleet.post(0, "idem", "first-" + i, "x");
        }
        for (int daemon = 0; daemon < 2; daemon++) {
            String dump = fleet.metricsUri(daemon, "/dump");
            GatewayFleet.await(() -> fleet.get(dump)
                    .body()
                    .lines()
                    .anyMatch(line -> line.strip().startsWith("i-1 ") && line.contains(" 0.125 ")));
        }
        int limitedAfter = runner.requests();
        long limitedAtNanos = System.nanoTime();
        for (int i = 0; i < MAX_REQUESTS; i++) {
            assertThat(fleet.post(i % 2, "idem", "later-" + i, "x").statusCode())
                    .isEqualTo(200);
        }
        long elapsedS = Duration.ofNanos(System.nanoTime() - limitedAtNanos).toSeconds();
        assertThat(runner.requests() - limitedAfter).isLessThanOrEqualTo((int) (elapsedS / 5) + 1);
    }

    @Test
    void newRouteTableTakesEffectAndUnreadableOneIsIgnored() throws IOException {
        assertThat(fleet.post(0, "idem", "c1", "x").statusCode()).isEqualTo(200);
        fleet.putRoutes(2, "stream");
        GatewayFleet.await(() -> fleet.post(0, "idem", "c2", "x").statusCode() == 404);
        fleet.store.put("op", "config", "{broken");
        assertThat(fleet.post(0, "stream", "c3", "x").statusCode()).isEqualTo(200);
    }

    @Test
    void onlineRequestsContinueWithoutTheStore() throws IOException {
        fleet.store.refuseWith(503);
        assertThat(fleet.post(0, "stream", "o1", "x").body()).isEqualTo(COMPLETE_STREAM);
        HttpResponse<String> job = submit(0, "job-0");
        assertThat(job.statusCode()).isEqualTo(503);
        assertThat(job.headers().firstValue("Retry-After")).isPresent();
    }

    /** Guards against callers that are told for good that there is no route, by a daemon that cannot read new ones. */
    @Test
    void requestWithoutARouteMayBeTriedElsewhereIfTheRoutesCannotBeRead() throws IOException {
        assertThat(fleet.post(0, "added", "n1", "x").statusCode()).isEqualTo(404);
        fleet.store.refuseWith(503);
        GatewayFleet.await(() -> fleet.post(0, "added", "n2", "x").statusCode() == 503);
        HttpResponse<String> refused = fleet.post(0, "added", "n3", "x");
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.headers().firstValue("Retry-After")).isPresent();
    }

    @Test
    void jobIsAcceptedAtOneDaemonAndReadAtTheOther() throws IOException {
        assertThat(submit(0, "job-1").statusCode()).isEqualTo(202);
        assertThat(submit(1, "job-1").statusCode()).isEqualTo(202);
        GatewayFleet.await(() -> read(1, "job-1").body().contains("\"next\":2"));
        String page = read(0, "job-1").body();
        assertThat(page)
                .contains("\"total\":2")
                .contains("\"state\":\"completed\"")
                .contains("piece 1\\npiece 2\\npiece 3\\npiece 4\\npiece 5");
        assertThat(read(1, "job-1").body()).isEqualTo(page);
        HttpRequest body = fleet.request(1, "/v1/items/job-1?id=job-1-a").build();
        assertThat(fleet.send(body).body()).isEqualTo("body");
        HttpRequest end = fleet.request(0, "/v1/lots/job-1")
                .method("DELETE", HttpRequest.BodyPublishers.noBody())
                .build();
        assertThat(fleet.send(end).statusCode()).isEqualTo(200);
        assertThat(fleet.send(end).statusCode()).isEqualTo(200);
        assertThat(read(1, "job-none").statusCode()).isEqualTo(404);
    }

    @Test
    void malformedSubmissionIsRejectedAndNothingRuns() throws IOException {
        HttpRequest broken = fleet.request(0, "/batch/x")
                .header("Request-Id", "job-2")
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"items\":[{\"id\":\"a\",\"path\":\"/batch/stream/1\"," + "\"body\":\"!\"}]}"))
                .build();
        assertThat(fleet.send(broken).statusCode()).isEqualTo(400);
        assertThat(read(0, "job-2").statusCode()).isEqualTo(404);
    }

    @Test
    void stopInterruptsNoStream() throws Exception {
        fleet.runners.values().forEach(runner -> runner.setEventMs(100));
        CompletableFuture<HttpResponse<String>> call = fleet.http()
                .sendAsync(
                        fleet.request(0, "/stream/1")
                                .header("Request-Id", "d1")
                                .POST(HttpRequest.BodyPublishers.ofString("x"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        GatewayFleet.await(() -> fleet.runs("d1") == 1);
        CompletableFuture<Void> stop =
                CompletableFuture.runAsync(() -> fleet.daemons.get(0).stop());
        GatewayFleet.await(() -> !fleet.ready(0));
        assertThat(call.get(30, TimeUnit.SECONDS).body()).isEqualTo(COMPLETE_STREAM);
        stop.get(30, TimeUnit.SECONDS);
    }

    /** A connection that has been accepted but has sent no request must end with the daemon, too. */
    @Test
    void stopClosesConnectionsWithoutARequest() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < STEADY_CALLERS; i++) {
            sockets.add(fleet.connect(0));
        }
        GatewayFleet.await(() -> fleet.status(0, "idem", "after-connects", Map.of()) == 200);
        fleet.daemons.get(0).stop();
        for (Socket socket : sockets) {
            try (socket) {
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    /** Callers that send one request after the other must neither be cut off nor keep the daemon from ending. */
    @Test
    void stopUnderSteadyTrafficInterruptsNoRequest() throws Exception {
        fleet.runners.values().forEach(runner -> runner.setEventMs(60));
        AtomicBoolean stopped = new AtomicBoolean();
        List<String> interrupted = new CopyOnWriteArrayList<>();
        List<CompletableFuture<Void>> callers = IntStream.range(0, STEADY_CALLERS)
                .mapToObj(caller ->
                        CompletableFuture.runAsync(() -> callUntilStopped(caller, stopped, interrupted), threads))
                .toList();
        GatewayFleet.await(() -> fleet.runners.values().stream().allMatch(runner -> runner.runs() > 2));
        fleet.daemons.get(0).stop();
        stopped.set(true);
        CompletableFuture.allOf(callers.toArray(CompletableFuture[]::new)).get(30, TimeUnit.SECONDS);
        assertThat(interrupted).isEmpty();
    }

    /** Calls the first daemon and records each request that a runner ran but whose response is not complete. */
    private void callUntilStopped(int caller, AtomicBoolean stopped, List<String> interrupted) {
        for (int number = 0; !stopped.get(); number++) {
            String id = "steady-" + caller + "-" + number;
            try {
                HttpResponse<String> response = fleet.post(0, "once", id, "x");
                boolean whole = response.statusCode() == 200
                        ? response.body().equals(COMPLETE_STREAM)
                        : response.statusCode() == 503 && fleet.runs(id) == 0;
                if (!whole) {
                    interrupted.add(id + " " + response.statusCode());
                }
            } catch (IOException e) {
                if (fleet.runs(id) > 0) {
                    interrupted.add(id + " " + e);
                }
            }
        }
    }

    @Test
    void metricsAndStateAreExposed() throws IOException {
        fleet.post(0, "idem", "m1", "x");
        assertThat(fleet.get(fleet.metricsUri(0, "/metrics")).body()).contains("gateway_call_durations");
        assertThat(fleet.get(fleet.metricsUri(0, "/dump")).body()).contains("directory", "routesVersion", "partitions");
    }

    private HttpResponse<String> submit(int daemon, String id) throws IOException {
        String item =
                "{\"id\":\"%s\",\"path\":\"/batch/stream/1\",\"headers\":{\"Model\":\"m\"},\"body\":\"%s\",\"tokens\":9}";
        String body = Base64.getEncoder().encodeToString("body".getBytes());
        return fleet.send(fleet.request(daemon, "/batch/" + id)
                .header("Request-Id", id)
                .POST(HttpRequest.BodyPublishers.ofString("{\"items\":[" + item.formatted(id + "-a", body) + ","
                        + item.formatted(id + "-b", body) + "]}"))
                .build());
    }

    private HttpResponse<String> read(int daemon, String id) throws IOException {
        return fleet.send(fleet.request(daemon, "/v1/lots/" + id + "?after=0")
                .header("Wait-Ms", "200")
                .build());
    }
}
