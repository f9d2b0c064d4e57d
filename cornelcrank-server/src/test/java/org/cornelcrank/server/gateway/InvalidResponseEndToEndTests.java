package org.cornelcrank.server.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Lets a target send responses that are not valid, over real sockets; the request must not be repeated. */
class InvalidResponseEndToEndTests {

    private static final TargetId TARGET = new TargetId("raw");
    private static final long RELAY_TIMEOUT_MS = 10_000;
    private static final String BODY = "body";

    /** Without a relay, and through one. */
    private static final List<Optional<HostId>> WAYS = List.of(Optional.empty(), Optional.of(RelayedAttempts.RELAY));

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

    /** Guards against a caller that receives a status which does not exist, or an unasked change of protocol. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "001", "099", "2", "20", "600", "700", "999", "1000", "2000", "0200", "+200", "-200", "20x",
                "0x200", "2e2", "101"
            })
    void statusThatIsNotAFinalOneIsNoResponse(String status) throws Exception {
        assertIsNoResponse("HTTP/1.1 " + status + " Some\r\n" + fields("Content-Length: 4\r\n") + BODY);
        assertIsNoResponse("HTTP/1.1 " + status + " Some\r\n" + fields("") + BODY);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 201, 206, 226, 299, 399, 400, 451, 500, 599})
    void finalStatusIsForwarded(int status) throws Exception {
        assertIsForwarded("HTTP/1.1 " + status + " Some\r\n" + fields("Content-Length: 4\r\n") + BODY, status, BODY);
    }

    @ParameterizedTest
    @ValueSource(ints = {204, 205, 304})
    void finalStatusWithoutABodyIsForwarded(int status) throws Exception {
        assertIsForwarded("HTTP/1.1 " + status + " Some\r\n" + fields("Content-Length: 0\r\n"), status, "");
    }

    static Stream<String> invalidStatusLines() {
        return Stream.of(
                "HTTP/0.9 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/1 200 OK",
                "HTTP/1.10 200 OK",
                "HTTP/11 200 OK",
                "http/1.1 200 OK",
                "Http/1.1 200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1  200 OK",
                " HTTP/1.1 200 OK",
                "\r\nHTTP/1.1 200 OK",
                "HTTP/1.1 200 O\u0001K",
                "HTTP/1.1 200 O\u007fK",
                "HTTP/1.1 200 O\rK",
                "XHTTP/1.1 200 OK",
                "HTTP/1.1 200OK");
    }

    @ParameterizedTest
    @MethodSource("invalidStatusLines")
    void lineThatIsNoStatusLineMakesTheResponseInvalid(String line) throws Exception {
        assertIsNoResponse(line + "\r\n" + fields("Content-Length: 4\r\n") + BODY);
    }

    static Stream<String> invalidFields() {
        return Stream.of(
                "X Y: 1",
                "X\tY: 1",
                "X : 1",
                "X\t: 1",
                "X Y",
                "X",
                ": 1",
                "X\u0001Y: 1",
                "\u0001X: 1",
                "X\u0000: 1",
                "X\u000bY: 1",
                "X\fY: 1",
                "X\rY: 1",
                "X\u007fY: 1",
                "X(Y): 1",
                "X\"Y: 1",
                "X/Y: 1",
                "X@Y: 1",
                "X\u00e4: 1",
                "X: a\u0001b",
                "X: a\u0000b",
                "X: a\rb",
                "X: a\u007fb",
                " X: 1",
                "\tX: 1",
                " ",
                "Content-Length Y: 2",
                "Content-Length : 2",
                "Content-Length\t: 2",
                "Content Length: 2",
                "Connection Y: close",
                "Transfer Encoding: chunked",
                "Transfer-Encoding : chunked");
    }

    /** Guards against a field or a framing that the target has not sent, as a field name was cut. */
    @ParameterizedTest
    @MethodSource("invalidFields")
    void lineThatIsNoFieldMakesTheResponseInvalid(String line) throws Exception {
        assertIsNoResponse("HTTP/1.1 200 OK\r\n" + fields(line + "\r\n") + BODY);
        assertIsNoResponse("HTTP/1.1 200 OK\r\n" + line + "\r\n" + fields("Content-Length: 4\r\n") + BODY);
    }

    static Stream<String> invalidFramings() {
        return Stream.of(
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: chunked, identity",
                "Transfer-Encoding: chunked;x=1",
                "Transfer-Encoding:",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
                "Transfer-Encoding: chunked\r\nContent-Length: 4",
                "Content-Length: 4\r\nTransfer-Encoding: chunked",
                "Content-Length: 4\r\nContent-Length: 2",
                "Content-Length: 4, 2",
                "Content-Length: +4",
                "Content-Length: -4",
                "Content-Length: 0x4",
                "Content-Length: 4x",
                "Content-Length: 4 4",
                "Content-Length: 99999999999999999999",
                "Content-Length:");
    }

    /** Guards against a body whose end or coding is a guess. */
    @ParameterizedTest
    @MethodSource("invalidFramings")
    void framingThatIsNotDefinedMakesTheResponseInvalid(String framing) throws Exception {
        assertIsNoResponse("HTTP/1.1 200 OK\r\n" + fields(framing + "\r\n") + "4\r\nbody\r\n0\r\n\r\n");
    }

    static Stream<String> contradictions() {
        return Stream.of(
                "HTTP/1.0 200 OK\r\n" + fields("Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n",
                "HTTP/1.1 204 OK\r\n" + fields("Content-Length: 4\r\n") + BODY,
                "HTTP/1.1 204 OK\r\n" + fields("Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n");
    }

    /** Guards against a body that is left out, or taken from another version of the protocol. */
    @ParameterizedTest
    @MethodSource("contradictions")
    void framingThatContradictsTheStatusLineMakesTheResponseInvalid(String response) throws Exception {
        assertIsNoResponse(response);
    }

    static Stream<String> invalidChunks() {
        return Stream.of(
                "4\u0001\r\nbody\r\n0\r\n\r\n",
                "4\u0001x\r\nbody\r\n0\r\n\r\n",
                "4 x\r\nbody\r\n0\r\n\r\n",
                " 4\r\nbody\r\n0\r\n\r\n",
                "+4\r\nbody\r\n0\r\n\r\n",
                "0x4\r\nbody\r\n0\r\n\r\n",
                "-4\r\nbody\r\n0\r\n\r\n",
                "4,\r\nbody\r\n0\r\n\r\n",
                ";x\r\nbody\r\n0\r\n\r\n",
                "\r\nbody\r\n0\r\n\r\n",
                "3\r\nbody\r\n0\r\n\r\n",
                "4\r\nbody0\r\n\r\n",
                "4\r\nbodyx\r\n0\r\n\r\n",
                "4;x=\u0001\r\nbody\r\n0\r\n\r\n",
                "100000004\r\nbody\r\n0\r\n\r\n",
                "4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n",
                "4\r\nbody\r\n0\r\nX : 1\r\n\r\n",
                "4\r\nbody\r\n0\r\n X: 1\r\n\r\n",
                "4\r\nbody\r\n0\r\nX\u0001: 1\r\n\r\n",
                "4\r\nbody\r\n0\r\nX: \u0001\r\n\r\n",
                "4\r\nbody\r\n0\r\nX\r\n\r\n");
    }

    /** Guards against a length of a chunk, or an end of the chunks, that is a guess. */
    @ParameterizedTest
    @MethodSource("invalidChunks")
    void chunksThatAreNotValidMakeTheResponseInvalid(String chunks) throws Exception {
        assertIsNoResponse("HTTP/1.1 200 OK\r\n" + fields("Transfer-Encoding: chunked\r\n") + chunks);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "4\r\nbody\r\n0\r\n\r\n",
                "004\r\nbody\r\n000\r\n\r\n",
                "4 \t\r\nbody\r\n0\r\n\r\n",
                "4;x;y=1; z = \"a b\"\r\nbody\r\n0;last\r\n\r\n",
                "2\r\nbo\r\n2\r\ndy\r\n0\r\nX-Checksum: 1\r\nY:\r\n\r\n",
            })
    void validChunksAreForwarded(String chunks) throws Exception {
        for (String coding : new String[] {"chunked", "Chunked", "\tchunked "}) {
            assertIsForwarded(
                    "HTTP/1.1 200 OK\r\n" + fields("Transfer-Encoding: " + coding + "\r\n") + chunks, 200, BODY);
        }
    }

    static Stream<String> soundHeads() {
        return Stream.of(
                "HTTP/1.1 200\r\n" + "Content-Length: 4\r\n",
                "HTTP/1.1 200 \r\n" + "Content-Length: 4\r\n",
                "HTTP/1.1 200 Sehr gut \u00e4\t!\r\n" + "Content-Length: 4\r\n",
                "HTTP/1.0 200 OK\r\n" + "Content-Length: 4\r\n",
                "HTTP/1.0 200 OK\r\n",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\n" + "Content-Length: \t 4 \t\r\n",
                "HTTP/1.1 200 OK\r\n" + "content-length:4\r\n",
                "HTTP/1.1 200 OK\r\n" + "Content-Length: 4\r\nX:\r\nX-!#$%&'*+.^_`|~9: \u00e4 \t b\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + "Content-Length: 4\r\n",
                "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 200 OK\r\n"
                        + "Content-Length: 4\r\n");
    }

    @ParameterizedTest
    @MethodSource("soundHeads")
    void unusualButValidHeadIsForwarded(String head) throws Exception {
        assertIsForwarded(head + fields("") + BODY, 200, BODY);
    }

    /** Writes the bytes and ends the connection; a body that lacks a length thus ends cleanly. */
    private void assertIsNoResponse(String text) throws Exception {
        for (Optional<HostId> relay : WAYS) {
            GatewayCall call = call(text);
            AttemptOutcome outcome = run(call, relay);
            assertThat(outcome).as("%s, held %s", outcome, call.held()).isInstanceOf(AttemptOutcome.Failed.class);
            AttemptOutcome.Failed failed = (AttemptOutcome.Failed) outcome;
            assertThat(call.held()).isNull();
            assertThat(failed.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(failed.kind()).as(failed.detail()).isEqualTo(FailureKind.CONNECTION_LOST);
        }
    }

    private void assertIsForwarded(String text, int status, String body) throws Exception {
        for (Optional<HostId> relay : WAYS) {
            GatewayCall call = call(text);
            AttemptOutcome outcome = run(call, relay);
            assertThat(call.held()).as("%s", outcome).isNotNull();
            assertThat(call.held().status()).isEqualTo(status);
            assertThat(new String(call.held().body(), StandardCharsets.ISO_8859_1))
                    .isEqualTo(body);
            assertThat(call.held().headers().getAll("Response-Signature")).containsExactly("signed-by-raw");
        }
    }

    private GatewayCall call(String text) {
        String id = "r" + ++requests;
        runner.setScript((request, response) -> {
            response.write(text.replace("REQUEST", request.id()));
            response.end();
        });
        return attempts.call(id, "x");
    }

    private AttemptOutcome run(GatewayCall call, Optional<HostId> relay) throws InterruptedException {
        AttemptId attempt = attempts.dispatch(call, TARGET, runner.address(), relay);
        return attempts.outcome(attempt);
    }

    /** Returns what follows the status line of a signed response whose connection is not used again. */
    private static String fields(String further) {
        return "Request-Id: REQUEST\r\nResponse-Signature: signed-by-raw\r\nConnection: close\r\n" + further + "\r\n";
    }
}
