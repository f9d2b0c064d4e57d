package org.cornelcrank.server.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Lets a target respond before it has read a request that is longer than the sockets hold, over real sockets. */
class ResponseDuringUploadEndToEndTests {

    private static final TargetId TARGET = new TargetId("raw");
    private static final long RELAY_TIMEOUT_MS = 10_000;

    /** From what the sockets hold, as a whole or on one of the two connections through a peer, to more than all of it. */
    private static final int[] UPLOADS_BYTES = {1, 256 * 1024, 2 * 1024 * 1024, 24 * 1024 * 1024};

    private static final int LONGEST_UPLOAD_BYTES = UPLOADS_BYTES[UPLOADS_BYTES.length - 1];
    private static final long[] RESET_DELAYS_MS = {0, 1, 5, 50};

    /** Few, as the client of the targets holds each upload until the end of the test. */
    private static final int REPETITIONS = 2;

    private final RelayedAttempts attempts = new RelayedAttempts(RELAY_TIMEOUT_MS);
    private RawRunnerStandIn runner;
    private int requests;

    @BeforeEach
    void start() throws IOException {
        runner = new RawRunnerStandIn("raw", (request, response) -> {});
        attempts.relayDirectory.put(TARGET, runner.address());
        attempts.startRelay();
    }

    @AfterEach
    void stop() {
        attempts.close();
        runner.close();
    }

    static Stream<Arguments> responses() {
        return Stream.of("direct", "relayed")
                .flatMap(way -> Stream.of(
                        Arguments.of(way, "body until close", 200, "", "part"),
                        Arguments.of(way, "body until close, announced", 200, "Connection: close\r\n", "part"),
                        Arguments.of(
                                way, "events", 200, "Content-Type: text/event-stream\r\n", "id: 1\ndata: first\n\n"),
                        Arguments.of(way, "failure until close", 500, "", "part"),
                        Arguments.of(way, "length", 200, "Content-Length: 9\r\n", "part"),
                        Arguments.of(way, "chunks", 200, "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n")));
    }

    /** Guards against a part of a response that looks complete, as the reset is noticed by the writes of the request. */
    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("responses")
    void responseThatIsResetDuringTheUploadIsNeverComplete(
            String way, String name, int status, String fields, String part) throws Exception {
        for (int uploadBytes : UPLOADS_BYTES) {
            for (long delayMs : RESET_DELAYS_MS) {
                for (int i = 0; i < REPETITIONS; i++) {
                    runner.setEarlyScript((request, response) -> {
                        response.write(head(request.id(), status, fields) + part);
                        response.reset(delayMs);
                    });
                    assertConnectionLost(way, uploadBytes);
                }
            }
        }
    }

    /** The end of a connection says that a body is whole only if the target could have read the whole request. */
    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("responses")
    void responseWhoseConnectionIsClosedDuringTheUploadIsNeverComplete(
            String way, String name, int status, String fields, String part) throws Exception {
        for (int i = 0; i < REPETITIONS; i++) {
            runner.setEarlyScript((request, response) -> {
                response.write(head(request.id(), status, fields) + part);
                response.end();
            });
            assertConnectionLost(way, LONGEST_UPLOAD_BYTES);
        }
    }

    private void assertConnectionLost(String way, int uploadBytes) throws InterruptedException {
        GatewayCall call = attempts.call("r" + ++requests, "u".repeat(uploadBytes));
        AttemptOutcome outcome = run(call, way);
        assertThat(outcome).as("upload of %d bytes", uploadBytes).isInstanceOf(AttemptOutcome.Failed.class);
        AttemptOutcome.Failed failed = (AttemptOutcome.Failed) outcome;
        assertThat(failed.kind()).as(failed.detail()).isEqualTo(FailureKind.CONNECTION_LOST);
        assertThat(failed.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(call.held()).isNull();
    }

    /** Guards against a sound response that is dropped as its request has no body whose end could be noticed. */
    @ParameterizedTest
    @CsvSource({"direct,GET", "direct,POST", "direct,DELETE", "relayed,GET", "relayed,POST"})
    void responseUntilCloseToARequestWithoutABodyIsComplete(String way, String method) throws Exception {
        runner.setScript((request, response) -> {
            response.write(head(request.id(), 200, "Content-Type: text/event-stream\r\n") + "id: 1\ndata: one\n\n");
            response.end();
        });
        DispatchSource source = new DispatchSource.Prepared(
                "r" + ++requests, "a.example", method, "/path", Map.of(), ByteString.EMPTY, 0);
        AttemptOutcome outcome = attempts.outcome(attempts.dispatch(source, TARGET, runner.address(), relay(way)));
        assertThat(outcome).isInstanceOf(AttemptOutcome.Succeeded.class);
    }

    static Stream<Arguments> wholeResponses() {
        return Stream.of("direct", "relayed")
                .flatMap(way -> Stream.of(
                        Arguments.of(way, "Connection: close\r\n", "body"),
                        Arguments.of(way, "Content-Length: 4\r\n", "body"),
                        Arguments.of(way, "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")));
    }

    /** Guards against a sound response that is dropped, as its target began it before it had read the request. */
    @ParameterizedTest
    @MethodSource("wholeResponses")
    void responseThatBeginsEarlyAndEndsAfterTheUploadIsForwarded(String way, String fields, String body)
            throws Exception {
        runner.setEarlyScript((request, response) -> response.write(head(request.id(), 200, fields) + body.charAt(0)));
        runner.setScript((request, response) -> {
            assertThat(request.body()).hasSize(LONGEST_UPLOAD_BYTES);
            response.write(body.substring(1));
            response.end();
        });
        GatewayCall call = attempts.call("r" + ++requests, "u".repeat(LONGEST_UPLOAD_BYTES));
        AttemptOutcome outcome = run(call, way);
        assertThat(outcome).isInstanceOf(AttemptOutcome.Succeeded.class);
        assertThat(new String(call.held().body(), StandardCharsets.ISO_8859_1)).isEqualTo("body");
    }

    private AttemptOutcome run(GatewayCall call, String way) throws InterruptedException {
        return attempts.outcome(attempts.dispatch(call, TARGET, runner.address(), relay(way)));
    }

    private static Optional<HostId> relay(String way) {
        return way.equals("direct") ? Optional.empty() : Optional.of(RelayedAttempts.RELAY);
    }

    private static String head(String id, int status, String fields) {
        return "HTTP/1.1 " + status + " Some\r\nRequest-Id: " + id + "\r\nResponse-Signature: signed-by-raw\r\n"
                + fields + "\r\n";
    }
}
