package org.cornelcrank.server;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a runner that writes the first bytes of an earlier response just before the next one, over real sockets. */
class CutCopyEndToEndTests {

    private static final int MAX_REQUESTS = 64;
    private static final int FAILURE = 500;

    private final AtomicInteger spoiled = new AtomicInteger();
    private GatewayFleet fleet;
    private RawRunnerStandIn runner;

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(1, "sound");
        runner = new RawRunnerStandIn("raw", (request, response) -> response.whole(request, "body"));
    }

    @AfterEach
    void stop() {
        fleet.close();
        runner.close();
    }

    static Stream<Arguments> beginnings() {
        return Stream.of(
                Arguments.of("within the reason", "HTTP/1.1 200 O"),
                Arguments.of("after the status line", "HTTP/1.1 200 OK\r\n"),
                Arguments.of("within the name of a header", "HTTP/1.1 200 OK\r\nResponse-Sig"),
                Arguments.of("within the value of a header", "HTTP/1.1 200 OK\r\nContent-Type: text/pl"),
                Arguments.of("before the version", "HT"),
                Arguments.of("within the status", "HTTP/1.1 2"),
                Arguments.of("after the status", "HTTP/1.1 200"));
    }

    /** Guards against a success that is made of the first bytes of another response and of the target's own failure. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("beginnings")
    void firstBytesOfAnotherResponseNeverTurnAFailureIntoASuccess(String name, String beginning) throws IOException {
        runner.setScript((request, response) -> {
            if (request.number() == 1) {
                response.whole(request, "body");
                return;
            }
            spoiled.incrementAndGet();
            response.write(beginning + "HTTP/1.1 500 Error\r\nRequest-Id: " + request.id()
                    + "\r\nResponse-Signature: of-a-failure\r\nContent-Length: 6\r\n\r\nfailed");
        });
        fleet.register(runner);
        for (int i = 0; spoiled.get() == 0 && i < MAX_REQUESTS; i++) {
            HttpResponse<String> response = fleet.post(0, "unsafe", "u" + i, "x");
            String signature =
                    response.headers().firstValue("Response-Signature").orElse("");
            assertThat(signature.equals("of-a-failure") ? response.statusCode() : FAILURE)
                    .isEqualTo(FAILURE);
        }
        assertThat(spoiled.get()).isPositive();
    }
}
