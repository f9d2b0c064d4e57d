package org.cornelcrank.server;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Request;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Response;
import org.cornelcrank.platform.fake.RawRunnerStandIn.Script;
import org.cornelcrank.standin.ListedHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Breaks off the responses of a model engine and compares the bytes that a caller of the OpenAI API receives. */
class BrokenEngineResponseEndToEndTests {

    private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    private static final String OPENING =
            "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n";
    private static final String DONE = "data: [DONE]\n\n";
    private static final int TOKENS = 6;
    private static final List<String> MALFORMED_HEADS = List.of(
            "HTTP/1.1 000 Trouble\r\n",
            "HTTP/1.1 1000 Trouble\r\n",
            "HTTP/1.1 101 Trouble\r\n",
            "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
            "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 1\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length Y: 2\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
            "HTTP/1.1 429 Full\r\nX Y: 1\r\n");

    /** The longest request that a daemon accepts. */
    private static final int UPLOAD_BYTES = 4 * 1024 * 1024;

    private static final String SOUND = OPENING + tokens(1, TOKENS) + DONE;

    private final List<Script> scripts = new CopyOnWriteArrayList<>();
    private final List<Integer> resumedFrom = new CopyOnWriteArrayList<>();
    private LoopbackFleet fleet;
    private RawRunnerStandIn engine;

    @BeforeEach
    void start() throws Exception {
        fleet = LoopbackFleet.start(1);
        engine = new RawRunnerStandIn("raw", this::respond);
        List<ListedHost> hosts = new ArrayList<>(fleet.hostList.visibleHosts());
        for (String service : List.of(LoopbackFleet.MODEL, LoopbackFleet.PLAIN_SERVICE)) {
            hosts.removeIf(host -> host.services().contains(service));
            hosts.add(new ListedHost(
                    "raw-" + service, "target", "kerala-south", "tvm-a", engine.address(), List.of(service), false));
        }
        fleet.hostList.setHosts(hosts);
        awaitResponses();
    }

    /** Waits until the daemon sends requests to the engine, which it may not do while the last ones have failed. */
    private void awaitResponses() throws Exception {
        fleet.await("the engine responds", () -> complete("warm-up").body().equals(SOUND));
        fleet.await(
                "the plain service responds",
                () -> send("POST /s/" + LoopbackFleet.PLAIN_SERVICE + "/1", "x").status() == 200);
        resumedFrom.clear();
    }

    @AfterEach
    void stop() {
        fleet.close();
        engine.close();
    }

    static Stream<Arguments> failures() {
        String body = "{\"error\":{\"message\":\"of the engine\"}}";
        return Stream.of(
                Arguments.of("rejection", failure(400, body)),
                Arguments.of("rejection without a body", failure(404, "")),
                Arguments.of("failure", failure(500, body)),
                Arguments.of("generation that is no longer retained", failure(410, body)),
                Arguments.of("other type", (Script) (request, response) -> response.write(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n" + length("<p>of the engine</p>\n\n</p>\n\n"))),
                Arguments.of("redirection", (Script) (request, response) ->
                        response.write("HTTP/1.1 302 Found\r\nLocation: /\r\n" + length("of the engine\n\n"))));
    }

    private static Script failure(int status, String body) {
        return (request, response) -> response.write("HTTP/1.1 " + status + " Failed\r\n" + length(body));
    }

    /** Guards against a stream that ends as if it were complete when the next answer is a failure. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("failures")
    void streamThatBreaksOffBeforeAFailureIsVisiblyBroken(String name, Script failure) throws Exception {
        for (String begun : List.of("", OPENING, OPENING + tokens(1, 2))) {
            scripts.add((request, response) -> breakOff(response, begun));
            for (int i = 0; i < 4; i++) {
                scripts.add(failure);
            }
            RawResponse received = complete("broken " + name + begun.length());
            scripts.clear();
            assertThat(received.status() == 200 && received.complete())
                    .as("%s", received)
                    .isFalse();
            if (received.status() == 200) {
                assertThat(received.body()).startsWith(begun).doesNotContain("of the engine", "[DONE]");
            }
        }
    }

    static Stream<Arguments> otherBytes() {
        String head = "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n";
        return Stream.of(
                Arguments.of("head of another response", head + "error"),
                Arguments.of("text", "Internal Server Error\n\n"),
                Arguments.of("head within an event", "data: {\"choi" + head + "error\n\n"));
    }

    /** Guards against the head or the text of an error in the middle of a stream. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("otherBytes")
    void bytesThatAreNoEventNeverReachTheCaller(String name, String bytes) throws Exception {
        scripts.add((request, response) -> breakOff(response, OPENING + tokens(1, 2) + bytes));
        RawResponse received = complete("other bytes " + name);
        assertThat(received.body()).isEqualTo(SOUND);
        assertThat(received.complete()).isTrue();
    }

    /** Guards against tokens that are left out when a stream is resumed for the second time. */
    @Test
    void streamThatBreaksOffTwiceGoesOnWhereItBrokeOff() throws Exception {
        scripts.add((request, response) -> breakOff(response, OPENING + tokens(1, 2)));
        scripts.add((request, response) -> breakOff(response, OPENING + tokens(3, 4)));
        RawResponse received = complete("twice");
        assertThat(received.body()).isEqualTo(SOUND);
        assertThat(resumedFrom).containsExactly(0, 2, 4);
    }

    static Stream<Arguments> ends() {
        return Stream.of(
                Arguments.of("reset", (Script) (request, response) -> {
                    response.write(STREAM + "Transfer-Encoding: chunked\r\n\r\n" + chunk(SOUND));
                    response.reset();
                }),
                Arguments.of("closed", (Script) (request, response) -> {
                    response.write(STREAM + "Transfer-Encoding: chunked\r\n\r\n" + chunk(SOUND));
                    response.end();
                }),
                Arguments.of("further events", (Script) (request, response) -> response.write(
                        STREAM + "Transfer-Encoding: chunked\r\n\r\n" + chunk(SOUND + tokens(1, 2)) + "0\r\n\r\n")));
    }

    /** Guards against a stream that goes on behind its end marker. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("ends")
    void streamIsCompleteWithItsEndMarker(String name, Script script) throws Exception {
        scripts.add(script);
        RawResponse received = complete("marked " + name);
        assertThat(received.body()).isEqualTo(SOUND);
        assertThat(received.complete()).isTrue();
        assertThat(resumedFrom).hasSize(1);
    }

    /** Guards against a success that is made of a head which breaks off; the call must not run twice either. */
    @Test
    void callWhoseResponseBreaksOffIsNeverASuccessAndRunsOnce() throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody";
        for (int cut = 0; cut < whole.length(); cut++) {
            String part = whole.substring(0, cut);
            boolean reset = cut % 4 == 0;
            int before = engine.requests();
            scripts.add((request, response) -> {
                response.write(part);
                if (reset) {
                    response.reset();
                } else {
                    response.end();
                }
            });
            int ran = resumedFrom.size();
            RawResponse received = send("POST /s/" + LoopbackFleet.PLAIN_SERVICE + "/" + cut, "x" + cut);
            scripts.clear();
            assertThat(received.status()).as("cut at %d, %s", cut, received).isGreaterThanOrEqualTo(500);
            assertThat(resumedFrom.size() - ran).as("runs, cut at %d", cut).isLessThanOrEqualTo(1);
            assertThat(engine.requests()).isGreaterThanOrEqualTo(before);
        }
    }

    /** Guards against a response that does not exist in the protocol; the call must not run twice or count as not run. */
    @Test
    void callWithAMalformedResponseIsNeverASuccessAndRunsOnce() throws Exception {
        for (String head : MALFORMED_HEADS) {
            awaitResponses();
            scripts.add((request, response) -> {
                response.write(head + "Connection: close\r\n\r\nbody");
                response.end();
            });
            RawResponse received = send("POST /s/" + LoopbackFleet.PLAIN_SERVICE + "/2", head);
            assertThat(received.status()).as("%s, %s", head, received).isBetween(500, 599);
            assertThat(received.headers()).doesNotContainEntry("cornelcrank-verdict", "not-run");
            assertThat(resumedFrom).as(head).hasSize(1);
        }
    }

    /**
     * Guards against a malformed head that begins a stream; the engine's next response is sound, but the daemon may not
     * send a request again to the only engine after several failures.
     */
    @Test
    void streamWithAMalformedHeadIsTriedAgainOrFails() throws Exception {
        int triedAgain = 0;
        for (String head : MALFORMED_HEADS) {
            awaitResponses();
            scripts.add((request, response) -> {
                response.write(head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" + SOUND);
                response.end();
            });
            RawResponse received = complete("malformed");
            assertThat(resumedFrom).as(head).isNotEmpty();
            if (received.status() == 200) {
                assertThat(resumedFrom).as(head).containsExactly(0, 0);
                assertThat(received.body()).isEqualTo(SOUND);
                assertThat(received.complete()).isTrue();
                triedAgain++;
            } else {
                assertThat(received.status()).as("%s, %s", head, received).isBetween(500, 599);
                assertThat(received.headers()).doesNotContainEntry("cornelcrank-verdict", "not-run");
            }
        }
        assertThat(triedAgain).isPositive();
    }

    /** Guards against a part of a response that looks complete, as the reset is noticed by the writes of the request. */
    @Test
    void responseThatIsResetDuringTheUploadIsNeverASuccess() throws Exception {
        String upload = "u".repeat(UPLOAD_BYTES);
        for (int delayMs : new int[] {0, 1, 2, 5, 50}) {
            engine.setEarlyScript((request, response) -> {
                if (request.line().startsWith("POST /upload")) {
                    response.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart");
                    response.reset(delayMs);
                }
            });
            RawResponse received = send("POST /s/" + LoopbackFleet.PLAIN_SERVICE + "/upload" + delayMs, upload);
            assertThat(received.status()).as("%s", received).isBetween(500, 599);
        }
    }

    private RawResponse complete(String prompt) throws IOException {
        return send("POST /v1/chat/completions", LoopbackFleet.chat(prompt, true, TOKENS));
    }

    private RawResponse send(String line, String body) throws IOException {
        URI uri = URI.create("http://" + fleet.daemons.get(0).httpAddress());
        try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream()
                    .write((line + " HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer " + LoopbackFleet.CALLER_KEY
                                    + "\r\nContent-Type: application/json\r\nConnection: close\r\n" + length(body))
                            .getBytes(StandardCharsets.UTF_8));
            return RawResponse.read(socket.getInputStream());
        }
    }

    private void respond(Request request, Response response) throws IOException, InterruptedException {
        if (request.line().startsWith("GET /load ")) {
            response.write(json("{\"measuredAtMs\":%d,\"slots\":8,\"running\":0,\"queued\":0,\"loaded\":[\"%s\"],"
                            .formatted(System.currentTimeMillis(), LoopbackFleet.MODEL)
                    + "\"leaving\":false,\"fencingNumber\":0}"));
        } else if (!request.line().startsWith("POST /") || request.line().startsWith("POST /orders ")) {
            response.write(json("{\"events\":[],\"next\":0,\"oldest\":0}"));
        } else {
            int from = Integer.parseInt(request.headers().getOrDefault("cornelcrank-resume-from", "0"));
            resumedFrom.add(from);
            Script script = scripts.isEmpty() ? null : scripts.remove(0);
            if (script != null) {
                script.respond(request, response);
            } else if (request.line().startsWith("POST /v1/")) {
                response.write(STREAM + "Transfer-Encoding: chunked\r\n\r\n"
                        + chunk(OPENING + tokens(from + 1, TOKENS) + DONE) + "0\r\n\r\n");
            } else {
                response.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + length("body"));
            }
        }
    }

    /** Writes events and closes the connection before the last chunk. */
    private static void breakOff(Response response, String events) throws IOException {
        response.write(STREAM + "Transfer-Encoding: chunked\r\n\r\n" + (events.isEmpty() ? "" : chunk(events)));
        response.end();
    }

    private static String json(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + length(body);
    }

    private static String length(String body) {
        return "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String tokens(int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj("data: {\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n"::formatted)
                .collect(Collectors.joining());
    }
}
