package org.cornelcrank.server;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.cornelcrank.platform.fake.RunnerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests one of two daemons that stops while callers send it long requests, over real sockets. */
class StopInCalmEndToEndTests {

    private static final int DAEMON = 1;
    private static final String[] RUNNERS = {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"};
    private static final List<String> ROUTES = List.of("once", "unsafe", "idem", "stream");
    private static final int CALLERS_OF_EACH_ROUTE = 5;

    private static final long DRAIN_DELAY_MS = 900;
    private static final long DRAIN_TIMEOUT_MS = 700;
    private static final long EVENT_MS = 170;

    /** How long a request runs, in ms: longer than a stopping daemon waits after it has begun to refuse requests. */
    private static final long RUN_MS = RunnerStandIn.EVENTS * EVENT_MS;

    /** More than a request needs, less than a whole stop takes. */
    private static final long DEADLINE_MS = 1_200;

    private static final String COMPLETE_STREAM = IntStream.rangeClosed(1, RunnerStandIn.EVENTS)
            .mapToObj(number -> "id: %d\ndata: piece %d\n\n".formatted(number, number))
            .collect(Collectors.joining());

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final List<String> cut = new CopyOnWriteArrayList<>();
    private GatewayFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(1, RUNNERS);
        fleet.start("host-1", DRAIN_DELAY_MS, DRAIN_TIMEOUT_MS);
        GatewayFleet.await(() -> fleet.ready(DAEMON));
        GatewayFleet.await(() -> fleet.status(DAEMON, "idem", "warm-up", Map.of()) == 200);
        fleet.runners.values().forEach(runner -> {
            runner.setEventMs(EVENT_MS);
            runner.setResponseMs(RUN_MS);
        });
    }

    @AfterEach
    void stop() {
        fleet.close();
        threads.shutdownNow();
    }

    /** A deadline that is reached is the caller's own; whatever ends sooner without a response was cut. */
    @Test
    void requestThatArrivesLateInAStopIsNotCutByItsEnd() throws Exception {
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < ROUTES.size() * CALLERS_OF_EACH_ROUTE; i++) {
            int caller = i;
            callers.add(CompletableFuture.runAsync(() -> callUntilStopped(caller), threads));
        }
        GatewayFleet.await(() -> complete.get() >= ROUTES.size() * CALLERS_OF_EACH_ROUTE);
        fleet.daemons.get(DAEMON).stop();
        stopped.set(true);
        CompletableFuture.allOf(callers.toArray(CompletableFuture[]::new)).get(30, TimeUnit.SECONDS);
        assertThat(cut).as("cut of %d requests", sent.get()).isEmpty();
        assertThat(refused.get()).isPositive();
    }

    private void callUntilStopped(int caller) {
        String route = ROUTES.get(caller % ROUTES.size());
        pause(caller * RUN_MS / (ROUTES.size() * CALLERS_OF_EACH_ROUTE));
        for (int number = 0; !stopped.get(); number++) {
            call(route, route + "-" + caller + "-" + number);
        }
    }

    private void call(String route, String id) {
        sent.incrementAndGet();
        long sentAtNanos = System.nanoTime();
        String outcome;
        try {
            HttpResponse<String> response = fleet.send(fleet.request(DAEMON, "/" + route + "/1")
                    .header("Request-Id", id)
                    .header("Deadline-Ms", Long.toString(DEADLINE_MS))
                    .POST(HttpRequest.BodyPublishers.ofString("x"))
                    .build());
            String expected = route.equals("once") || route.equals("stream") ? COMPLETE_STREAM : "x";
            if (response.statusCode() == 200 && response.body().equals(expected)) {
                complete.incrementAndGet();
                return;
            }
            if (response.statusCode() == 503 && fleet.runs(id) == 0) {
                refused.incrementAndGet();
                pause(10);
                return;
            }
            outcome = Integer.toString(response.statusCode());
        } catch (IOException e) {
            if (fleet.runs(id) == 0) {
                return;
            }
            outcome = e.toString();
        }
        long tookMs = Duration.ofNanos(System.nanoTime() - sentAtNanos).toMillis();
        if (tookMs < DEADLINE_MS) {
            cut.add(id + " after " + tookMs + " ms: " + outcome);
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void responseToARequestThatIsOpenWhenTheStopBeginsAsksToCloseItsConnection() throws Exception {
        try (Socket socket = fleet.connect(DAEMON)) {
            send(
                    socket,
                    "POST /unsafe/1 HTTP/1.1\r\nHost: " + GatewayFleet.HOST
                            + "\r\nRequest-Id: open\r\nDeadline-Ms: 8000\r\nContent-Length: 1\r\n\r\nx");
            GatewayFleet.await(() -> fleet.runs("open") == 1);
            CompletableFuture<Void> stop = stopDaemon();
            List<String> head = readHead(socket);
            assertThat(head.get(0)).contains(" 200 ");
            assertThat(head).anyMatch(line -> line.equalsIgnoreCase("connection: close"));
            stop.get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void requestWhoseBodyArrivesDuringAStopIsRefusedIfItCouldBeCut() throws Exception {
        try (Socket socket = fleet.connect(DAEMON)) {
            send(
                    socket,
                    "POST /unsafe/1 HTTP/1.1\r\nHost: " + GatewayFleet.HOST
                            + "\r\nRequest-Id: body\r\nDeadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nx");
            CompletableFuture<Void> stop = stopDaemon();
            GatewayFleet.await(() -> !fleet.ready(DAEMON));
            send(socket, "y");
            assertThat(readHead(socket).get(0)).contains(" 503 ");
            assertThat(fleet.runs("body")).isZero();
            stop.get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void requestWhoseBodyNeverArrivesIsRefusedBeforeItsConnectionIsClosed() throws Exception {
        try (Socket socket = fleet.connect(DAEMON)) {
            send(
                    socket,
                    "POST /unsafe/1 HTTP/1.1\r\nHost: " + GatewayFleet.HOST
                            + "\r\nRequest-Id: part\r\nDeadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nx");
            GatewayFleet.await(() -> fleet.status(DAEMON, "idem", "after-part", Map.of()) == 200);
            CompletableFuture<Void> stop = stopDaemon();
            List<String> head = readHead(socket);
            assertThat(head).isNotEmpty();
            assertThat(head.get(0)).contains(" 503 ");
            stop.get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void waitingReadOfAJobThatArrivesInAStopGetsItsPage() throws Exception {
        CompletableFuture<Void> stop = stopDaemon();
        GatewayFleet.await(() -> !fleet.ready(DAEMON));
        HttpResponse<String> read = fleet.send(fleet.request(DAEMON, "/v1/lots/job-none?after=0")
                .header("Wait-Ms", "1000")
                .build());
        assertThat(read.statusCode()).isIn(404, 503);
        assertThat(read.headers().firstValue("Connection")).hasValue("close");
        stop.get(30, TimeUnit.SECONDS);
    }

    private CompletableFuture<Void> stopDaemon() {
        return CompletableFuture.runAsync(() -> fleet.daemons.get(DAEMON).stop(), threads);
    }

    private static void send(Socket socket, String bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Returns the lines of the head of a response; none if the connection is closed instead. */
    private static List<String> readHead(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        List<String> lines = new ArrayList<>();
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            lines.add(line);
        }
        return lines;
    }
}
