package org.cornelcrank.server;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Request;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Script;
import org.cornelcrank.platform.fake.RunnerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a daemon with one sound runner and one that sends bytes which are no response, over real sockets. */
class TargetBytesEndToEndTests {

    /** The number of requests after which a given one of two runners has almost certainly been chosen. */
    private static final int MAX_REQUESTS = 64;

    /** The stated limit of a response, and what the sockets between the processes may hold besides. */
    private static final long MAX_WRITTEN_BYTES = (4 + 16) * 1024 * 1024;

    private static final String FILLER = "x".repeat(8 * 1024);
    private static final String BODY = "body";
    private static final String STREAM_UNTIL_CLOSE = "Content-Type: text/event-stream\r\nConnection: close\r\n";
    private static final String WHOLE_STREAM = "id: 1\ndata: first\n\nid: 2\ndata: last\n\n";
    private static final String SOUND_STREAM = IntStream.rangeClosed(1, RunnerStandIn.EVENTS)
            .mapToObj("id: %1$d\ndata: piece %1$d\n\n"::formatted)
            .collect(Collectors.joining());
    private static final String SOUND_TEXT = IntStream.rangeClosed(1, RunnerStandIn.EVENTS)
            .mapToObj("piece %d"::formatted)
            .collect(Collectors.joining("\\n"));

    private GatewayFleet fleet;
    private RawRunnerStandIn runner;

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(1, "sound");
        runner =
                new RawRunnerStandIn("raw", (request, response) -> response.whole(request, new String(request.body())));
    }

    @AfterEach
    void stop() {
        fleet.close();
        runner.close();
    }

    static Stream<Arguments> endless() {
        return Stream.of(
                Arguments.of("status line", (Script) (request, response) -> endless(response, "HTTP/1.1 200 ", FILLER)),
                Arguments.of("bytes", (Script) (request, response) -> endless(response, "", FILLER)),
                Arguments.of("header", (Script)
                        (request, response) -> endless(response, "HTTP/1.1 200 OK\r\nX-Long: ", FILLER)),
                Arguments.of("headers", (Script)
                        (request, response) -> endless(response, "HTTP/1.1 200 OK\r\n", "X-More: more\r\n")),
                Arguments.of("interim responses", (Script)
                        (request, response) -> endless(response, "", "HTTP/1.1 100 Continue\r\n\r\n")),
                Arguments.of("body without length", (Script) (request, response) -> {
                    response.head(request, "Connection: close\r\n");
                    endless(response, "", FILLER);
                }),
                Arguments.of("chunks", (Script) (request, response) -> {
                    response.head(request, "Transfer-Encoding: chunked\r\n");
                    endless(response, "", "2000\r\n" + FILLER + "\r\n");
                }),
                Arguments.of("chunk extension", (Script) (request, response) -> {
                    response.head(request, "Transfer-Encoding: chunked\r\n");
                    endless(response, "4;x=", FILLER);
                }),
                Arguments.of("trailers", (Script) (request, response) -> {
                    response.head(request, "Transfer-Encoding: chunked\r\n");
                    endless(response, "4\r\nbody\r\n0\r\n", "X-More: more\r\n");
                }),
                Arguments.of("body of a failure", (Script) (request, response) -> endless(
                        response,
                        "HTTP/1.1 500 Error\r\nRequest-Id: " + request.id()
                                + "\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n",
                        FILLER)));
    }

    private static void endless(RawRunnerStandIn.Response response, String first, String repeated) throws IOException {
        response.write(first);
        while (true) {
            response.write(repeated);
        }
    }

    /** The request may have run and must not be repeated; those at the sound runner are not affected. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("endless")
    void responseWithoutEndIsCutOffAndItsRequestMayHaveRun(String name, Script script) throws IOException {
        runner.setScript(script);
        fleet.register(runner);
        List<Integer> failures = new ArrayList<>();
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            int status = fleet.status(0, "unsafe", "u" + i, Map.of());
            if (status != 200) {
                failures.add(status);
            }
        }
        assertThat(failures).containsExactly(502);
        assertThat(runner.requests()).isEqualTo(1);
        GatewayFleet.await(() -> runner.closedByPeer() == 1);
        assertThat(runner.writtenBytes()).isLessThan(MAX_WRITTEN_BYTES);
        assertThat(fleet.post(0, "stream", "after", "x").statusCode()).isEqualTo(200);
    }

    static Stream<Arguments> endlessEvents() {
        return Stream.of(
                Arguments.of("numbered events", true, "data: %s\n\n".formatted(FILLER)),
                Arguments.of("events without number", false, "data: %s\n\n".formatted(FILLER)),
                Arguments.of("one event", false, FILLER));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessEvents")
    void streamWithoutEndIsCutOffAndVisiblyBroken(String name, boolean numbered, String event) throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, "Content-Type: text/event-stream\r\nConnection: close\r\n");
            for (int number = 1; ; number++) {
                response.write((numbered ? "id: " + number + "\n" : "") + event);
            }
        });
        fleet.register(runner);
        int broken = 0;
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            int status = fleet.status(0, "once", "o" + i, Map.of());
            broken += status == 200 ? 0 : 1;
        }
        assertThat(broken).isEqualTo(1);
        GatewayFleet.await(() -> runner.closedByPeer() == 1);
        assertThat(runner.writtenBytes()).isLessThan(MAX_WRITTEN_BYTES);
    }

    static Stream<String> malformedHeads() {
        return Stream.of(
                "HTTP/1.1 000 Trouble\r\n",
                "HTTP/1.1 1000 Trouble\r\n",
                "HTTP/1.1 101 Trouble\r\n",
                "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
                "HTTP/1.1 200 OK\r\nX\u0001Y: 1\r\n",
                "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 1\r\n",
                "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n");
    }

    /** Guards against a response that does not exist in the protocol and yet reaches a caller. */
    @ParameterizedTest
    @MethodSource("malformedHeads")
    void responseWithAMalformedHeadReachesNobody(String head) throws IOException {
        runner.setScript((request, response) -> response.write(head + "Request-Id: " + request.id()
                + "\r\nResponse-Signature: signed-by-raw\r\nContent-Length: 4\r\n\r\n" + BODY));
        fleet.register(runner);
        HttpResponse<String> response = postUntilTheRunnerResponds("unsafe");
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.headers().map()).doesNotContainKey("Response-Signature");
        assertThat(response.body()).doesNotContain(BODY);
        assertThat(runner.requests()).isEqualTo(1);
        assertThat(fleet.get(fleet.metricsUri(0, "/metrics")).body())
                .containsPattern("responses_rejected_malformed\\S* 1");
    }

    @Test
    void bytesAfterACompleteResponseEndTheConnectionAndReachNobody() throws IOException {
        runner.setScript((request, response) -> {
            response.whole(request, new String(request.body()));
            endless(response, "", FILLER);
        });
        assertEachCallerGetsItsOwnResponse();
        GatewayFleet.await(() -> runner.closedByPeer() == runner.connections());
        assertThat(runner.writtenBytes()).isLessThan(runner.connections() * MAX_WRITTEN_BYTES);
    }

    @Test
    void secondCopyOfAResponseOnAnIdleConnectionReachesNobody() throws IOException {
        runner.setScript((request, response) -> {
            response.whole(request, new String(request.body()));
            Thread.sleep(5);
            response.whole(request, new String(request.body()));
        });
        assertEachCallerGetsItsOwnResponse();
    }

    @Test
    void secondCopyOfAResponseOnAConnectionInUseAgainReachesNobody() throws IOException {
        List<Request> former = new ArrayList<>();
        runner.setScript((request, response) -> {
            if (request.number() > 1) {
                response.whole(former.get(former.size() - 1), "a former body");
            }
            former.add(request);
            response.whole(request, new String(request.body()));
        });
        assertEachCallerGetsItsOwnResponse();
    }

    @Test
    void secondCopyWithoutAnIdOnAConnectionInUseAgainReachesNobody() throws IOException {
        runner.setScript((request, response) -> {
            if (request.number() > 1) {
                response.write("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno");
            }
            response.whole(request, new String(request.body()));
        });
        assertEachCallerGetsItsOwnResponse();
    }

    static Stream<Arguments> copiesWithoutAnId() {
        return Stream.of(
                Arguments.of("refusal", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
                Arguments.of(
                        "refusal with a delay",
                        "HTTP/1.1 429 Many\r\nNot-Executed: 1\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n"),
                Arguments.of("misdirection", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"),
                Arguments.of("unsigned failure", "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno"),
                Arguments.of(
                        "failure",
                        "HTTP/1.1 500 Error\r\nResponse-Signature: signed-by-raw\r\nContent-Length: 2\r\n\r\nno"),
                Arguments.of(
                        "announcement to leave",
                        "HTTP/1.1 500 Error\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\nContent-Length: 0\r\n\r\n"));
    }

    /** A copy that states no id must neither be taken for the due response nor count as proof that nothing ran. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("copiesWithoutAnId")
    void copyWithoutAnIdOnAConnectionInUseAgainReachesNobody(String name, String copy) throws IOException {
        runner.setScript((request, response) -> {
            if (request.number() > 1) {
                response.write(copy);
            }
            response.whole(request, new String(request.body()));
        });
        assertEachCallerGetsItsOwnResponse();
        assertThat(runner.connections()).isGreaterThan(1);
    }

    /** The copy bears the id of the request, as a refused one comes again with its id on the same connection. */
    @Test
    void copyOfARefusalIsNotTakenForTheResponseToTheNextRunOfItsRequest() throws IOException {
        fleet.setBehaviour(RunnerStandIn.Behaviour.FULL);
        AtomicInteger repeated = new AtomicInteger();
        Set<String> refused = ConcurrentHashMap.newKeySet();
        Map<RawRunnerStandIn.Response, Set<String>> seen = new ConcurrentHashMap<>();
        runner.setScript((request, response) -> {
            boolean again = !seen.computeIfAbsent(response, key -> ConcurrentHashMap.newKeySet())
                    .add(request.id());
            if (refused.add(request.id())) {
                response.refusal(request, "");
                return;
            }
            repeated.incrementAndGet();
            if (again) {
                response.write(RawRunnerStandIn.refusalText(request, ""));
            }
            response.whole(request, new String(request.body()));
        });
        fleet.register(runner);
        for (int i = 0; repeated.get() < 4 && i < 2 * MAX_REQUESTS; i++) {
            String id = "again-" + i / 2;
            HttpResponse<String> response = fleet.post(0, "unsafe", id, BODY);
            assertThat(runner.runs(id)).isEqualTo(response.statusCode() == 503 ? 0 : 1);
            assertThat(response.statusCode()).isIn(200, 502, 503);
        }
        assertThat(repeated.get()).isPositive();
    }

    static Stream<Arguments> cutCopies() {
        String refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX-Copy: ";
        String failure = "HTTP/1.1 500 Error\r\nResponse-Signature: signed-by-raw\r\nContent-Length: 9\r\n\r\nno";
        return Stream.of(
                Arguments.of("refusal cut in a header, in one write", refusal, 0L),
                Arguments.of("refusal cut in a header, while idle", refusal, 5L),
                Arguments.of("refusal cut in its status line, in one write", refusal.substring(0, 13), 0L),
                Arguments.of("refusal cut in its first header, in one write", refusal.substring(0, 22), 0L),
                Arguments.of("refusal cut behind a header, in one write", refusal.substring(0, 36), 0L),
                Arguments.of("failure cut in its body, in one write", failure, 0L),
                Arguments.of("failure cut in its body, while idle", failure, 5L),
                Arguments.of("one byte, in one write", "H", 0L),
                Arguments.of("interim response, in one write", "HTTP/1.1 103 Early Hints\r\n\r\n", 0L));
    }

    /** The rest of the next response would complete the copy: no connection may carry a request after such bytes. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("cutCopies")
    void partOfACopyBehindACompleteResponseEndsTheConnection(String name, String part, long delayMs)
            throws IOException {
        runner.setScript((request, response) -> {
            String body = new String(request.body());
            if (delayMs == 0) {
                response.write(response.wholeText(request, body) + part);
            } else {
                response.whole(request, body);
                Thread.sleep(delayMs);
                response.write(part);
            }
        });
        assertEachCallerGetsItsOwnResponse();
        if (delayMs == 0) {
            assertThat(runner.connections()).isEqualTo(runner.requests());
        }
    }

    @Test
    void partOfACopyBehindAResponseInChunksEndsTheConnection() throws IOException {
        runner.setScript((request, response) -> response.write("HTTP/1.1 200 OK\r\nRequest-Id: " + request.id()
                + "\r\nResponse-Signature: signed-by-raw\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(request.body().length) + "\r\n" + new String(request.body())
                + "\r\n0\r\n\r\nHTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX-Copy: "));
        assertEachCallerGetsItsOwnResponse();
        assertThat(runner.connections()).isEqualTo(runner.requests());
    }

    /** The copy is written byte by byte, partly while no response is due and partly behind the next request. */
    @Test
    void copyThatIsSplitAnywhereReachesNobody() throws IOException {
        AtomicInteger cut = new AtomicInteger();
        AtomicReference<String> rest = new AtomicReference<>("");
        runner.setScript((request, response) -> {
            String body = new String(request.body());
            response.write(request.number() > 1 ? rest.get() : "");
            String copy = response.wholeText(request, "a former body");
            int length = cut.addAndGet(3) % copy.length();
            rest.set(copy.substring(length));
            response.write(response.wholeText(request, body) + copy.substring(0, length));
        });
        fleet.register(runner);
        for (int i = 0; runner.requests() < 30 && i < 3 * MAX_REQUESTS; i++) {
            assertResponseIsOfTheRunnerThatRan("i" + i, BODY + i, fleet.post(0, "idem", "i" + i, BODY + i));
        }
        assertThat(runner.requests()).isPositive();
    }

    static Stream<Arguments> responsesWithAnotherInside() {
        return Stream.of(
                Arguments.of("body that ends with its connection", (Script) (request, response) -> {
                    response.head(request, "Connection: close\r\n");
                    response.write(request.body());
                    response.whole(request, new String(request.body()));
                    response.end();
                }),
                Arguments.of("body that ends with its connection, copy without an id", (Script) (request, response) -> {
                    response.head(request, "Connection: close\r\n");
                    response.write(request.body());
                    response.write("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno");
                    response.end();
                }),
                Arguments.of(
                        "spoiled body of a length that the second response fills", (Script) (request, response) -> {
                            String second = response.wholeText(request, new String(request.body()));
                            response.head(request, "Content-Length: " + (4 + second.length()) + "\r\n");
                            response.write("half" + second);
                        }),
                Arguments.of("spoiled chunk that the second response fills", (Script) (request, response) -> {
                    String second = response.wholeText(request, new String(request.body()));
                    response.head(request, "Transfer-Encoding: chunked\r\n");
                    response.write(Integer.toHexString(4 + second.length()) + "\r\nhalf" + second + "\r\n0\r\n\r\n");
                }),
                Arguments.of("spoiled head that the second response completes", (Script)
                        (request, response) -> response.write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX-Spoiled: "
                                + response.wholeText(request, new String(request.body())))),
                Arguments.of("spoiled head, cut behind a header", (Script)
                        (request, response) -> response.write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                                + response.wholeText(request, new String(request.body())))));
    }

    /** Guards against a body or a head that is made up of two responses and looks complete. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("responsesWithAnotherInside")
    void responseInWhichAnotherOneBeginsIsNeverComplete(String name, Script script) throws IOException {
        runner.setScript(script);
        assertEachCallerGetsItsOwnResponse();
    }

    static Stream<Arguments> streamsWithAnotherInside() {
        String first = "id: 1\ndata: piece 1\n\n";
        String two = first + "id: 2\ndata: piece 2\n\n";
        String spoiled = first + "id: 2\ndata: pie";
        return Stream.of(
                Arguments.of("behind an event", STREAM_UNTIL_CLOSE, two, two),
                Arguments.of("within an event", STREAM_UNTIL_CLOSE, spoiled, two),
                Arguments.of("within the id of an event", STREAM_UNTIL_CLOSE, first + "id: 2", two),
                Arguments.of("before the first event", STREAM_UNTIL_CLOSE, "", two));
    }

    /** Guards against a second response that is delivered as events, or makes a partial event complete. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("streamsWithAnotherInside")
    void streamInWhichAnotherResponseBeginsGoesOnElsewhere(String name, String headers, String events, String again)
            throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, headers);
            response.write(events);
            response.head(request, headers);
            response.write(again);
            response.end();
        });
        fleet.register(runner);
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            assertThat(fleet.post(0, "stream", "h" + i, "x").body()).isEqualTo(SOUND_STREAM);
        }
        for (int i = 0; runner.requests() == 1 && i < MAX_REQUESTS; i++) {
            assertThat(textOfItem("job-h" + i)).isEqualTo(SOUND_TEXT);
        }
        assertThat(runner.requests()).isGreaterThan(1);
    }

    /** Events without an id cannot resume, so that the stream must be visibly broken. */
    @Test
    void streamWithoutIdsInWhichAnotherResponseBeginsIsVisiblyBroken() throws IOException {
        runner.setScript((request, response) -> {
            for (int i = 0; i < 2; i++) {
                response.head(request, STREAM_UNTIL_CLOSE);
                response.write("data: first\n\ndata: last\n\n");
            }
            response.end();
        });
        fleet.register(runner);
        List<Integer> failures = new ArrayList<>();
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            int status = fleet.status(0, "once", "n" + i, Map.of());
            if (status != 200) {
                failures.add(status);
            }
        }
        assertThat(failures).hasSize(1).isSubsetOf(502, -1);
    }

    /** The refusal ends the exchange; what the runner writes once it has read the body belongs to nobody. */
    @Test
    void responseAfterAnEarlyRefusalReachesNobody() throws IOException {
        runner.setEarlyScript((request, response) -> response.refusal(request, ""));
        runner.setScript((request, response) -> response.whole(request, "a refused body"));
        fleet.register(runner);
        String body = "b".repeat(90_000);
        for (int i = 0; runner.requests() < 4 && i < MAX_REQUESTS; i++) {
            HttpResponse<String> response = fleet.post(0, "unsafe", "early-" + i, body);
            assertResponseIsOfTheRunnerThatRan("early-" + i, body, response);
            assertThat(response.headers().firstValue("Response-Signature")).hasValue("signed-by-sound");
            assertThat(fleet.runs("early-" + i)).isEqualTo(1);
        }
        assertThat(runner.requests()).isPositive();
    }

    /** The response to a HEAD request has no body, whatever its length says: a body is no part of it. */
    @Test
    void bodyOfAResponseToAHeadRequestEndsTheConnection() throws IOException {
        runner.setScript(
                (request, response) -> response.write(response.wholeText(request, "no".repeat(request.number()))));
        fleet.register(runner);
        for (int i = 0; runner.requests() < 6 && i < MAX_REQUESTS; i++) {
            String id = "head-" + i;
            HttpResponse<String> response = fleet.send(fleet.request(0, "/idem/1")
                    .header("Request-Id", id)
                    .method("HEAD", HttpRequest.BodyPublishers.noBody())
                    .build());
            assertResponseIsOfTheRunnerThatRan(id, "", response);
        }
        assertThat(runner.requests()).isPositive();
        assertThat(runner.connections()).isEqualTo(runner.requests());
    }

    /** The attempt is cancelled while its response is due: its connection must not be used again. */
    @Test
    void responseThatArrivesAfterItsCallerHasGoneReachesNobody() throws IOException {
        runner.setScript((request, response) -> {
            if (request.id().startsWith("gone-")) {
                Thread.sleep(300);
            }
            response.write(response.wholeText(request, new String(request.body())));
        });
        fleet.register(runner);
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            int ran = fleet.runners.get("sound").requests();
            try (Socket socket = fleet.connect(0)) {
                socket.getOutputStream()
                        .write(("POST /idem/1 HTTP/1.1\r\nHost: " + GatewayFleet.HOST + "\r\nRequest-Id: gone-" + i
                                        + "\r\nContent-Length: 1\r\n\r\nx")
                                .getBytes(StandardCharsets.ISO_8859_1));
                GatewayFleet.await(() ->
                        runner.requests() > 0 || fleet.runners.get("sound").requests() > ran);
            }
        }
        assertEachCallerGetsItsOwnResponse();
    }

    @Test
    void interimResponsesBeforeAResponseDoNotChangeIt() throws IOException {
        runner.setScript((request, response) -> response.write("HTTP/1.1 100 Continue\r\n\r\n"
                + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                + response.wholeText(request, new String(request.body()))));
        assertEachCallerGetsItsOwnResponse();
    }

    /** Guards against an interim response that is taken for the final one. */
    @Test
    void interimResponseWithTheIdOfItsRequestIsNotTheFinalOne() throws IOException {
        runner.setScript((request, response) -> {
            response.write("HTTP/1.1 103 Early Hints\r\nRequest-Id: " + request.id() + "\r\n\r\n");
            Thread.sleep(5);
            response.whole(request, new String(request.body()));
        });
        fleet.register(runner);
        HttpResponse<String> response = postUntilTheRunnerResponds("unsafe");
        assertThat(response.headers().firstValue("Response-Signature")).hasValue("signed-by-raw");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(BODY);
    }

    /** Guards against a status that means "not run" for a request whose target has not stated that. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void statusThatMeansNotRunIsNotForwardedIfTheRequestMayHaveRun(int status) throws IOException {
        runner.setScript((request, response) -> response.write("HTTP/1.1 " + status + " Failed\r\nRequest-Id: "
                + request.id() + "\r\nResponse-Signature: signed-by-raw\r\nContent-Length: 0\r\n\r\n"));
        fleet.register(runner);
        HttpResponse<String> response = postUntilTheRunnerResponds("unsafe");
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(runner.requests()).isEqualTo(1);
    }

    /** Sends requests that may be repeated and ones that may not; the latter may fail, but never as not run. */
    private void assertEachCallerGetsItsOwnResponse() throws IOException {
        fleet.register(runner);
        for (int i = 0; runner.requests() < 6 && i < MAX_REQUESTS; i++) {
            HttpResponse<String> repeatable = fleet.post(0, "idem", "i" + i, BODY + i);
            assertResponseIsOfTheRunnerThatRan("i" + i, BODY + i, repeatable);
            assertThat(repeatable.statusCode()).isEqualTo(200);
            HttpResponse<String> single = fleet.post(0, "unsafe", "s" + i, BODY + i);
            assertResponseIsOfTheRunnerThatRan("s" + i, BODY + i, single);
            assertThat(fleet.runs("s" + i) + runner.runs("s" + i)).isLessThanOrEqualTo(1);
        }
        assertThat(runner.requests()).isPositive();
    }

    /** Compares status, signature and body with what the runners wrote for the request: none wrote a failure. */
    private void assertResponseIsOfTheRunnerThatRan(String id, String body, HttpResponse<String> response)
            throws IOException {
        String signature = response.headers().firstValue("Response-Signature").orElse("none");
        switch (response.statusCode()) {
            case 200 -> {
                assertThat(signature).isIn("signed-by-sound", "signed-by-raw");
                assertThat(signature.equals("signed-by-raw") ? runner.runs(id) : fleet.runs(id))
                        .isPositive();
                assertThat(response.body()).isEqualTo(body);
            }
            case 502 -> {
                assertThat(signature).isEqualTo("none");
                // A copy that arrives once the request is sent ends its attempt before the runner has read the request.
                GatewayFleet.await(() -> runner.runs(id) > 0);
            }
            default -> throw new AssertionError(
                    "status %d of %s, which ran %d times at one runner and %d times at the other"
                            .formatted(response.statusCode(), id, runner.runs(id), fleet.runs(id)));
        }
    }

    static Stream<Arguments> brokenOff() {
        return Stream.of(
                Arguments.of("within its length", "Content-Length: 100\r\n", "half"),
                Arguments.of("within a chunk", "Transfer-Encoding: chunked\r\n", "8\r\nhalf"),
                Arguments.of("before the last chunk", "Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n"),
                Arguments.of(
                        "within an event",
                        "Content-Type: text/event-stream\r\nConnection: close\r\n",
                        "id: 1\ndata: whole\n\nid: 2\ndata: ha"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenOff")
    void responseThatBreaksOffNeverLooksComplete(String name, String headers, String part) throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, headers);
            response.write(part);
            throw new IOException("made to break");
        });
        fleet.register(runner);
        List<Integer> failures = new ArrayList<>();
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            int status = fleet.status(0, "once", "b" + i, Map.of());
            if (status != 200) {
                failures.add(status);
            }
        }
        assertThat(failures).hasSize(1).isSubsetOf(502, -1);
        assertThat(runner.requests()).isEqualTo(1);
    }

    @Test
    void bodyThatIsResetBeforeItsConnectionEndsIsNeverComplete() throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, "Connection: close\r\n");
            response.write("half");
            response.reset();
        });
        fleet.register(runner);
        List<Integer> failures = new ArrayList<>();
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            int status = fleet.status(0, "unsafe", "r" + i, Map.of());
            if (status != 200) {
                failures.add(status);
            }
        }
        assertThat(failures).containsExactly(502);
        assertThat(runner.requests()).isEqualTo(1);
    }

    /** The reset comes after whole events only, so that the bytes alone would look like the end of the stream. */
    @Test
    void streamThatIsResetBetweenTwoEventsIsVisiblyBroken() throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, STREAM_UNTIL_CLOSE);
            response.write("id: 1\ndata: whole\n\n");
            response.reset();
        });
        fleet.register(runner);
        List<Integer> failures = new ArrayList<>();
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            int status = fleet.status(0, "once", "e" + i, Map.of());
            if (status != 200) {
                failures.add(status);
            }
        }
        assertThat(failures).hasSize(1).isSubsetOf(502, -1);
    }

    @Test
    void bodyThatEndsWithItsConnectionIsCompleteAndSigned() throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, "Connection: close\r\n");
            response.write(request.body());
            response.end();
        });
        fleet.register(runner);
        HttpResponse<String> response = postUntilTheRunnerResponds("unsafe");
        assertThat(response.headers().firstValue("Response-Signature")).hasValue("signed-by-raw");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(BODY);
    }

    @Test
    void streamThatEndsWithItsConnectionIsCompleteAndSigned() throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, STREAM_UNTIL_CLOSE);
            response.write(WHOLE_STREAM);
            response.end();
        });
        fleet.register(runner);
        HttpResponse<String> response = postUntilTheRunnerResponds("once");
        assertThat(response.headers().firstValue("Response-Signature")).hasValue("signed-by-raw");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(WHOLE_STREAM);
    }

    private HttpResponse<String> postUntilTheRunnerResponds(String route) throws IOException {
        for (int i = 0; i < MAX_REQUESTS; i++) {
            HttpResponse<String> response = fleet.post(0, route, "c" + i, BODY);
            if (runner.requests() > 0) {
                return response;
            }
        }
        throw new AssertionError("the runner must be chosen");
    }

    static Stream<Arguments> brokenStreams() {
        return Stream.of(
                Arguments.of("ended within an event", (Script) (request, response) -> {
                    response.head(request, STREAM_UNTIL_CLOSE);
                    response.write("id: 1\ndata: piece 1\n\nid: 2\ndata: pie");
                    response.end();
                }),
                Arguments.of("reset within an event", (Script) (request, response) -> {
                    response.head(request, STREAM_UNTIL_CLOSE);
                    response.write("id: 1\ndata: piece 1\n\nid: 2\ndata: pie");
                    response.reset();
                }),
                Arguments.of("reset between two events", (Script) (request, response) -> {
                    response.head(request, STREAM_UNTIL_CLOSE);
                    response.write("id: 1\ndata: piece 1\n\n");
                    response.reset();
                }),
                Arguments.of("spoiled behind two events of a block", (Script) (request, response) -> {
                    response.head(request, STREAM_UNTIL_CLOSE);
                    response.write("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n\u0001 no event\n\n");
                    response.end();
                }),
                Arguments.of("missing an event behind two events of a block", (Script) (request, response) -> {
                    response.head(request, STREAM_UNTIL_CLOSE);
                    response.write("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 4\ndata: piece 4\n\n");
                    response.end();
                }));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenStreams")
    void streamThatBreaksOffGoesOnElsewhere(String name, Script script) throws IOException {
        runner.setScript(script);
        fleet.register(runner);
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            assertThat(fleet.post(0, "stream", "g" + i, "x").body()).isEqualTo(SOUND_STREAM);
        }
        assertThat(runner.requests()).isPositive();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenStreams")
    void itemWhoseStreamBreaksOffGoesOnElsewhere(String name, Script script) throws IOException {
        runner.setScript(script);
        fleet.register(runner);
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            assertThat(textOfItem("job-" + i)).isEqualTo(SOUND_TEXT);
        }
        assertThat(runner.requests()).isPositive();
    }

    /** Guards against a text that holds events twice; a long comment separates the first event from the last block. */
    @Test
    void itemWhoseStreamIsSpoiledBehindEventsOfALaterBlockGoesOnElsewhere() throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, STREAM_UNTIL_CLOSE);
            response.write("id: 1\ndata: piece 1\n\n: " + FILLER.repeat(16)
                    + "\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n\u0001 no event\n\n");
            response.end();
        });
        fleet.register(runner);
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            assertThat(textOfItem("job-" + i)).isEqualTo(SOUND_TEXT);
        }
        assertThat(runner.requests()).isPositive();
    }

    @Test
    void itemWhoseStreamEndsWithItsConnectionIsComplete() throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, STREAM_UNTIL_CLOSE);
            response.write(WHOLE_STREAM);
            response.end();
        });
        fleet.register(runner);
        String text = SOUND_TEXT;
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            text = textOfItem("job-" + i);
        }
        assertThat(runner.requests()).isPositive();
        assertThat(text).isEqualTo("first\\nlast");
    }

    /** Submits a job of one item and returns the text of its result as it is written in JSON. */
    private String textOfItem(String job) throws IOException {
        String body = Base64.getEncoder().encodeToString(BODY.getBytes(StandardCharsets.UTF_8));
        String items =
                "{\"items\":[{\"id\":\"%s-a\",\"path\":\"/batch/stream/1\",\"headers\":{\"Model\":\"m\"},\"body\":\"%s\",\"tokens\":9}]}"
                        .formatted(job, body);
        assertThat(fleet.post(0, "batch", job, items).statusCode()).isEqualTo(202);
        HttpRequest read = fleet.request(0, "/v1/lots/" + job + "?after=0")
                .header("Wait-Ms", "200")
                .build();
        GatewayFleet.await(() -> fleet.send(read).body().contains("\"next\":1"));
        String page = fleet.send(read).body();
        assertThat(page).contains("\"state\":\"completed\"");
        int start = page.indexOf("\"text\":\"") + "\"text\":\"".length();
        return page.substring(start, page.indexOf('"', start));
    }

    /** A byte now and then is no progress: the stream goes on at the sound runner. */
    @Test
    void streamThatOnlyTricklesGoesOnElsewhere() throws IOException {
        runner.setScript((request, response) -> {
            response.head(request, "Content-Type: text/event-stream\r\nConnection: close\r\n");
            response.write("id: 1\ndata: piece 1\n\n");
            while (true) {
                response.write(":");
                Thread.sleep(50);
            }
        });
        fleet.register(runner);
        for (int i = 0; runner.requests() == 0 && i < MAX_REQUESTS; i++) {
            assertThat(fleet.post(0, "stream", "t" + i, "x").body())
                    .startsWith("id: 1\n")
                    .contains("id: " + RunnerStandIn.EVENTS + "\n");
        }
        assertThat(runner.requests()).isPositive();
    }
}
