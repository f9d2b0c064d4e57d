package org.cornelcrank.server.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.gateway.Drain;
import org.cornelcrank.server.loop.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import static org.assertj.core.api.Assertions.assertThat;

class RequestGateTests {

    private static final int MAX_BODY_BYTES = 100;

    /** Only ends a test that would hang. */
    private static final int HANG_LIMIT_MS = 30_000;

    private final MonotonicClock clock = new MonotonicClock();
    private final Drain drain = new Drain(0, 0);
    private final RequestGate gate = new RequestGate(drain, clock, MAX_BODY_BYTES);
    private final List<Refusal> refusals = new ArrayList<>();
    private final DisposableServer server = HttpServer.create()
            .bindAddress(() -> new InetSocketAddress("127.0.0.1", 0))
            .handle((request, response) ->
                    gate.admit(request, receivedAtMs -> response.status(200).send(), refusal -> {
                        refusals.add(refusal);
                        return response.status(503).send();
                    }))
            .bindNow();

    @AfterEach
    void close() {
        server.disposeNow();
    }

    @Test
    void requestIsHandledUntilTheDaemonStops() throws IOException {
        assertThat(statusOf("GET / HTTP/1.1\r\nHost: any\r\n\r\n")).contains(" 200 ");
        assertThat(gate.stopping()).isFalse();
        assertThat(refusals).isEmpty();
    }

    @Test
    void requestOfAStoppingDaemonIsRefusedAsNotRun() throws IOException {
        drain.request(clock.nowMs());
        assertThat(statusOf("POST / HTTP/1.1\r\nHost: any\r\nContent-Length: 4\r\n\r\nbody"))
                .contains(" 503 ");
        assertThat(refusals).extracting(Refusal::code).containsExactly(RefusalCode.NOT_READY);
        assertThat(refusals.get(0).retryAfterMs()).isPositive();
        assertThat(gate.stopping()).isTrue();
    }

    /** A body without end must not keep a stopping daemon from ending. */
    @Test
    void refusedBodyIsReadUpToItsLimitOnly() throws IOException {
        drain.request(clock.nowMs());
        String chunk = "c8\r\n" + "x".repeat(2 * MAX_BODY_BYTES) + "\r\n";
        assertThat(statusOf("POST / HTTP/1.1\r\nHost: any\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk))
                .contains(" 503 ");
    }

    @Test
    void refusedBodyThatNeverArrivesIsNotAwaitedBeyondTheTimeLimitOfTheStop() throws IOException {
        drain.request(clock.nowMs());
        assertThat(gate.endRequests(clock.nowMs())).isTrue();
        assertThat(statusOf("POST / HTTP/1.1\r\nHost: any\r\nContent-Length: 4\r\n\r\n"))
                .contains(" 503 ");
    }

    /** Sends bytes, keeps the connection open, and returns the first line of the response. */
    private String statusOf(String bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            socket.setSoTimeout(HANG_LIMIT_MS);
            OutputStream out = socket.getOutputStream();
            out.write(bytes.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }
}
