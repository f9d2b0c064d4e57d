package org.cornelcrank.server;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.RunnerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a daemon whose routes change while requests are open, over real sockets. */
class ConfigurationChangeEndToEndTests {

    private static final String SERVICE = "\"service\":\"svc\"";
    private static final String OTHER_SERVICE = "\"service\":\"other-svc\"";
    private static final String[] ALL = {"idem", "unsafe", "stream", "once", "stream-once", "stream-split", "batch"};
    /** Not a route: a read of a job that was not submitted. */
    private static final String READ = "read";

    /** The routes of the first version, which the fleet stores. */
    private static final Set<String> FIRST_ROUTES = Set.of("idem", "unsafe", "stream", "stream-once", "once", "batch");

    private static final List<String> ROUTES =
            List.of("idem", "unsafe", "stream", "once", "stream-split", "batch", READ);
    private static final String JOB =
            "{\"items\":[{\"id\":\"%s-a\",\"path\":\"/batch/stream/1\",\"headers\":{\"Model\":\"m\"},\"body\":\"Ym9keQ==\",\"tokens\":9}]}";
    private static final Pattern NAMED_VERSION = Pattern.compile("no route of version (\\d+) for ");
    private static final int CALLERS = 12;
    private static final int VERSIONS = 40;
    private static final int REQUESTS_PER_VERSION = 15;
    private static final String COMPLETE_STREAM = IntStream.rangeClosed(1, RunnerStandIn.EVENTS)
            .mapToObj(number -> "id: %d\ndata: piece %d\n\n".formatted(number, number))
            .collect(Collectors.joining());

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<RawRunnerStandIn> rawRunners = new ArrayList<>();
    private final RunnerStandIn other = new RunnerStandIn("other-1");
    private GatewayFleet fleet;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger ended = new AtomicInteger();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
    private final List<String> notWhole = new CopyOnWriteArrayList<>();
    private final Map<Integer, Set<String>> routesByVersion = new ConcurrentHashMap<>(Map.of(1, FIRST_ROUTES));
    private int version = 1;

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(1, "i-1", "i-2");
        fleet.register(other, "other-svc", "ready");
    }

    @AfterEach
    void stop() {
        threads.shutdownNow();
        fleet.close();
        other.close();
        rawRunners.forEach(RawRunnerStandIn::close);
    }

    private static String chunk(int from, int to) {
        String events = IntStream.rangeClosed(from, to)
                .mapToObj(number -> "id: %d\ndata: piece %d\n\n".formatted(number, number))
                .collect(Collectors.joining());
        return Integer.toHexString(events.length()) + "\r\n" + events + "\r\n";
    }

    private void startRawRunner(String id, CountDownLatch breaksOff) throws IOException {
        RawRunnerStandIn runner = new RawRunnerStandIn(id, (request, response) -> {
            if (!request.line().contains("/stream/")) {
                response.head(request, "Content-Length: 0\r\n");
                return;
            }
            response.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            int after = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
            if (after == 0) {
                response.write(chunk(1, 2));
                breaksOff.await();
                response.end();
                return;
            }
            response.write(chunk(after + 1, RunnerStandIn.EVENTS) + "0\r\n\r\n");
        });
        rawRunners.add(runner);
        fleet.register(runner);
    }

    /** Guards against requests that are never read after a pipelined one without a route on the same connection. */
    @Test
    void connectionIsReadAfterAPipelinedRequestOnADroppedRoute() throws Exception {
        try (KeptConnection connection = new KeptConnection(fleet.connect(0))) {
            connection.send(request("idem", "first") + request("dropped", "second"));
            assertThat(connection.read().status()).isEqualTo(200);
            assertThat(connection.read().status()).isEqualTo(404);
            connection.send(request("idem", "third"));
            assertThat(connection.read().status()).isEqualTo(200);
        }
    }

    /** Guards against refused requests without any response, as their body comes late. */
    @Test
    void requestOnADroppedRouteIsRefusedBeforeItsBodyArrives() throws Exception {
        try (KeptConnection connection = new KeptConnection(fleet.connect(0))) {
            connection.send(head("dropped", "late", ""));
            assertThat(connection.read().status()).isEqualTo(404);
            connection.send("x" + request("idem", "next"));
            assertThat(connection.read().status()).isEqualTo(200);
        }
    }

    @Test
    void callerThatWaitsToBeAskedForItsBodyIsRefusedWithoutIt() throws Exception {
        try (KeptConnection connection = new KeptConnection(fleet.connect(0))) {
            connection.send(head("dropped", "asks", "Expect: 100-continue\r\n"));
            assertThat(connection.read().status()).isEqualTo(404);
        }
    }

    private static String request(String route, String id) {
        return head(route, id, "") + "x";
    }

    private static String head(String route, String id, String fields) {
        return "POST /" + route + "/1 HTTP/1.1\r\nHost: " + GatewayFleet.HOST + "\r\nRequest-Id: " + id + "\r\n"
                + fields + "Content-Length: 1\r\n\r\n";
    }

    /** Guards against streams that are cut because their route was dropped before they had to be resumed. */
    @Test
    void streamIsResumedAlthoughItsRouteWasDropped() throws Exception {
        fleet.runners.values().forEach(runner -> fleet.register(runner, "other-svc", "ready"));
        CountDownLatch breaksOff = new CountDownLatch(1);
        startRawRunner("raw-1", breaksOff);
        startRawRunner("raw-2", breaksOff);
        GatewayFleet.await(() -> rawRunners.stream().anyMatch(runner -> {
            fleet.status(0, "idem", "r-" + System.nanoTime(), Map.of());
            return runner.requests() > 0;
        }));
        Future<HttpResponse<String>> stream = threads.submit(() -> fleet.post(0, "stream", "dropped", "prompt"));
        GatewayFleet.await(() -> rawRunners.stream().anyMatch(runner -> runner.runs("dropped") > 0));
        fleet.putRoutes(2, "idem");
        GatewayFleet.await(() -> fleet.status(0, "stream", "later", Map.of()) == 404);
        breaksOff.countDown();
        assertThat(stream.get().statusCode()).isEqualTo(200);
        assertThat(stream.get().body()).isEqualTo(COMPLETE_STREAM);
    }

    /** Guards against a request that is refused by the routes of its head, which its service had left at its end. */
    @ParameterizedTest
    @ValueSource(strings = {"idem", "unsafe", "stream", "once"})
    void requestWhoseRouteMovesWhileItsBodyArrivesRunsAtTheNewService(String route) throws Exception {
        try (Socket socket = fleet.connect(0)) {
            sendHalf(socket, route);
            fleet.putTable(RoutesStandIn.table(2, ALL).replace(SERVICE, OTHER_SERVICE));
            GatewayFleet.await(() -> {
                fleet.status(0, "idem", "moved-" + System.nanoTime(), Map.of());
                return other.runs() > 0;
            });
            assertThat(sendRest(socket)).isEqualTo("HTTP/1.1 200 OK");
            assertThat(other.runs("moving")).isOne();
        }
    }

    /** Guards against a request that is sent to a service whose route is gone when its body has arrived. */
    @Test
    void requestWhoseRouteIsDroppedWhileItsBodyArrivesIsNotFound() throws Exception {
        try (Socket socket = fleet.connect(0)) {
            sendHalf(socket, "stream");
            fleet.putRoutes(2, "idem");
            GatewayFleet.await(() -> fleet.status(0, "stream", "later", Map.of()) == 404);
            assertThat(sendRest(socket)).isEqualTo("HTTP/1.1 404 Not Found");
            assertThat(fleet.runs("moving")).isZero();
        }
    }

    private void sendHalf(Socket socket, String route) throws IOException {
        String half = "POST /" + route + "/1 HTTP/1.1\r\nHost: " + GatewayFleet.HOST
                + "\r\nRequest-Id: moving\r\nContent-Length: 6\r\n\r\nabc";
        socket.getOutputStream().write(half.getBytes(StandardCharsets.ISO_8859_1));
        GatewayFleet.await(
                () -> fleet.get(fleet.metricsUri(0, "/metrics")).body().contains("gateway_unfinished_responses 1.0"));
    }

    /** Sends the rest of the body, and returns the status line of the response. */
    private static String sendRest(Socket socket) throws IOException {
        socket.getOutputStream().write("def".getBytes(StandardCharsets.ISO_8859_1));
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))
                .readLine();
    }

    /** Guards against requests beside changes of the routes that end without a response, or refused though they have a route. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void eachRequestBesideChangesOfTheRoutesGetsAWholeResponse(long seed) throws Exception {
        Random random = new Random(seed);
        fleet.runners.values().forEach(runner -> {
            runner.setEventMs(20);
            runner.setResponseMs(60);
        });
        other.setEventMs(20);
        List<CompletableFuture<Void>> callers = IntStream.range(0, CALLERS)
                .mapToObj(i -> CompletableFuture.runAsync(() -> call(i), threads))
                .toList();
        for (int i = 0; i < VERSIONS; i++) {
            version++;
            fleet.putTable(randomTable(random));
            int until = ended.get() + REQUESTS_PER_VERSION;
            GatewayFleet.await(() -> ended.get() >= until);
        }
        stopped.set(true);
        callers.forEach(CompletableFuture::join);
        System.out.println(
                "seed " + seed + ": " + VERSIONS + " versions, " + ended + " requests, outcomes " + outcomes);
        assertThat(notWhole).isEmpty();
    }

    /** Sends one request after the other on a connection that is kept. */
    private void call(int caller) {
        HttpClient http =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        for (int number = 0; !stopped.get(); number++) {
            String route = ROUTES.get((caller + number) % ROUTES.size());
            String id = "c" + caller + "-" + number;
            try {
                HttpResponse<String> response = http.send(requestOn(route, id), HttpResponse.BodyHandlers.ofString());
                outcomes.computeIfAbsent(outcome(response), outcome -> new AtomicInteger())
                        .incrementAndGet();
                if (!whole(route, id, response)) {
                    notWhole.add(id + " on " + route + ": " + response.statusCode() + " " + response.body());
                }
            } catch (IOException e) {
                notWhole.add(id + " on " + route + ": " + e);
            } catch (InterruptedException e) {
                return;
            }
            ended.incrementAndGet();
        }
    }

    private HttpRequest requestOn(String route, String id) {
        if (route.equals(READ)) {
            return fleet.request(0, "/v1/lots/" + id + "?after=0")
                    .header("Wait-Ms", "100")
                    .build();
        }
        String body = route.equals("batch") ? JOB.formatted(id) : bodyOf(id);
        return fleet.request(0, "/" + route + "/1")
                .header("Request-Id", id)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static String bodyOf(String id) {
        return "body of " + id;
    }

    /** Returns the status, and for refusals the reason. */
    private static String outcome(HttpResponse<String> response) {
        String reason = response.statusCode() == 503 ? " " + response.body().strip() : "";
        return response.statusCode() + reason;
    }

    private boolean whole(String route, String id, HttpResponse<String> response) {
        return switch (response.statusCode()) {
            case 200 -> response.body()
                    .equals(route.equals("idem") || route.equals("unsafe") ? bodyOf(id) : COMPLETE_STREAM);
            case 202 -> route.equals("batch");
            case 404 -> route.equals(READ) || !routesOfVersion(response.body()).contains(route);
            case 503 -> route.equals(READ);
            default -> false;
        };
    }

    /** Returns the routes of the version that a refusal names. */
    private Set<String> routesOfVersion(String refusal) {
        Matcher named = NAMED_VERSION.matcher(refusal);
        return named.find() ? routesByVersion.get(Integer.valueOf(named.group(1))) : Set.of(ALL);
    }

    /** Returns routes of which some are dropped, moved or split, with other timeouts and limits. */
    private String randomTable(Random random) {
        List<String> kept = new ArrayList<>(List.of(ALL));
        kept.removeIf(name -> random.nextInt(4) == 0);
        routesByVersion.put(version, Set.copyOf(kept));
        String table = RoutesStandIn.table(version, kept.toArray(String[]::new));
        if (random.nextInt(3) == 0) {
            table = table.replace(SERVICE, OTHER_SERVICE);
        }
        return table.replace("\"timeoutMs\":8000", "\"timeoutMs\":" + (2_000 + random.nextInt(6_000)))
                .replace("\"maxBodyBytes\":100000", "\"maxBodyBytes\":" + (1_000 + random.nextInt(100_000)))
                .replace("\"headerTimeoutMs\":3000", "\"headerTimeoutMs\":" + (1_000 + random.nextInt(3_000)))
                .replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":" + (1_000 + random.nextInt(15_000)));
    }
}
