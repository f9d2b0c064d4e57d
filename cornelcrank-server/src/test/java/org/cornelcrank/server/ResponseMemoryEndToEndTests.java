package org.cornelcrank.server;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks over real sockets that what a response holds is released however its attempt ends. */
class ResponseMemoryEndToEndTests {

    private static final int HELD_BYTES = 256 * 1024;
    private static final Pattern HELD = Pattern.compile("(?m)^attempts_response_bytes (\\S+)$");
    private static final String LONG_DEADLINE_MS = "8000";
    private static final String SHORT_DEADLINE_MS = "700";

    private final CountDownLatch mayEnd = new CountDownLatch(1);
    private GatewayFleet fleet;
    private RawRunnerStandIn runner;

    private enum End {
        SUCCESS,
        FAILURE,
        CONNECTION_LOST,
        TIMEOUT,
        CANCELLATION
    }

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(0);
        runner = new RawRunnerStandIn("raw", (request, response) -> response.whole(request, "warm"));
        fleet.register(runner);
        fleet.start("host");
        GatewayFleet.await(() -> fleet.ready(0));
        GatewayFleet.await(() -> fleet.status(0, "idem", "warm-up", Map.of()) == 200);
    }

    @AfterEach
    void stop() {
        mayEnd.countDown();
        fleet.close();
        runner.close();
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void memoryIsReleasedHoweverTheAttemptEnds(End end) throws Exception {
        runner.setScript((request, response) -> {
            String status = end == End.FAILURE ? "500 Error" : "200 OK";
            response.write("HTTP/1.1 " + status + "\r\nRequest-Id: " + request.id()
                    + "\r\nResponse-Signature: s\r\nContent-Length: " + (HELD_BYTES + 1) + "\r\n\r\n");
            response.write(new byte[HELD_BYTES]);
            mayEnd.await();
            if (end == End.CONNECTION_LOST) {
                response.reset();
            } else {
                response.write("x");
            }
        });
        try (Socket caller = fleet.connect(0)) {
            send(caller, end == End.TIMEOUT ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS);
            GatewayFleet.await(() -> heldBytes() >= HELD_BYTES);
            if (end == End.CANCELLATION) {
                caller.close();
            } else if (end != End.TIMEOUT) {
                mayEnd.countDown();
            }
            GatewayFleet.await(() -> heldBytes() == 0);
        }
    }

    /** Guards against events that stay counted after their caller has read them. */
    @Test
    void eventsThatTheCallerHasReadAreReleased() throws Exception {
        runner.setScript((request, response) -> {
            response.head(request, "Content-Type: text/event-stream\r\nConnection: close\r\n");
            response.write("id: 1\ndata: " + "x".repeat(HELD_BYTES / 2));
            mayEnd.await();
            response.write("\n\n");
            Thread.sleep(Long.parseLong(LONG_DEADLINE_MS));
        });
        try (Socket caller = fleet.connect(0)) {
            caller.getOutputStream()
                    .write(head("/stream-once/1", LONG_DEADLINE_MS).getBytes(StandardCharsets.US_ASCII));
            GatewayFleet.await(() -> heldBytes() >= HELD_BYTES / 2);
            mayEnd.countDown();
            assertThat(caller.getInputStream().readNBytes(HELD_BYTES / 2)).hasSize(HELD_BYTES / 2);
            GatewayFleet.await(() -> heldBytes() < HELD_BYTES / 2);
        }
    }

    private void send(Socket caller, String deadlineMs) throws IOException {
        caller.getOutputStream().write(head("/unsafe/1", deadlineMs).getBytes(StandardCharsets.US_ASCII));
    }

    private static String head(String path, String deadlineMs) {
        return "GET " + path + " HTTP/1.1\r\nHost: " + GatewayFleet.HOST + "\r\nRequest-Id: held\r\nDeadline-Ms: "
                + deadlineMs + "\r\n\r\n";
    }

    private double heldBytes() throws IOException {
        Matcher matcher =
                HELD.matcher(fleet.get(fleet.metricsUri(0, "/metrics")).body());
        return matcher.find() ? Double.parseDouble(matcher.group(1)) : Double.NaN;
    }
}
