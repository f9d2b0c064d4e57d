package org.cornelcrank.server;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.RunnerStandIn;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.cornelcrank.platform.fake.TargetLinks;
import org.cornelcrank.server.settings.GatewaySettings;
import org.cornelcrank.server.settings.GatewaySettingsParser;
import org.cornelcrank.server.settings.SettingsResult;

/**
 * Gateway daemons with stand-ins for the platform's store and runners on loopback addresses.
 *
 * <p>Not thread-safe.
 */
final class GatewayFleet implements AutoCloseable {

    static final String HOST = RoutesStandIn.HOST;

    private static final String ZONE = "dc-a";
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final long POLL_NANOS = 10_000_000;
    private static final int PORTS = 4;
    private static final long DRAIN_DELAY_MS = 100;
    private static final long DRAIN_TIMEOUT_MS = 4_400;

    final StoreStandIn store = new StoreStandIn(2);
    final Map<String, RunnerStandIn> runners = new LinkedHashMap<>();
    final List<GatewayProcess> daemons = new ArrayList<>();

    /** The links of each daemon to the runners, none if the daemons connect to the runners themselves. */
    final List<TargetLinks> links = new ArrayList<>();

    private final boolean linked;
    private final List<GatewaySettings> settings = new ArrayList<>();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    GatewayFleet(int daemonCount, String... runnerIds) throws IOException {
        this(false, daemonCount, runnerIds);
    }

    private GatewayFleet(boolean linked, int daemonCount, String... runnerIds) throws IOException {
        this.linked = linked;
        putRoutes(1, "idem", "unsafe", "stream", "stream-once", "once", "batch");
        for (String id : runnerIds) {
            RunnerStandIn runner = new RunnerStandIn(id);
            runners.put(id, runner);
            register(runner, "ready");
        }
        for (int i = 0; i < daemonCount; i++) {
            start("host-" + i);
        }
        for (int i = 0; i < daemonCount; i++) {
            int daemon = i;
            await(() -> ready(daemon));
        }
        if (daemonCount > 0) {
            await(() -> status(0, "idem", "warm-up", Map.of()) == 200);
        }
    }

    /** Starts a fleet in which the link of each daemon to each runner can fail. */
    static GatewayFleet withLinks(int daemonCount, String... runnerIds) throws IOException {
        return new GatewayFleet(true, daemonCount, runnerIds);
    }

    /** Stores a route table with the named routes. */
    void putRoutes(int version, String... names) {
        store.put("op", "config", RoutesStandIn.table(version, names));
    }

    /** Stores a route table as the operator has written it. */
    void putTable(String table) {
        store.put("op", "config", table);
    }

    void register(RunnerStandIn runner, String state) {
        store.put("servers", runner.id(), runner.entry("svc", ZONE, state));
    }

    void register(RunnerStandIn runner, String service, String state) {
        store.put("servers", runner.id(), runner.entry(service, ZONE, state));
    }

    /** Registers a runner, and returns once all daemons list it. */
    void register(RawRunnerStandIn runner) throws IOException {
        store.put("servers", runner.id(), runner.entry("svc", ZONE));
        for (int i = 0; i < daemons.size(); i++) {
            String dump = metricsUri(i, "/dump");
            await(() -> get(dump).body().lines().anyMatch(line -> line.strip().startsWith(runner.id() + " ")));
        }
    }

    void start(String host) throws IOException {
        start(host, DRAIN_TIMEOUT_MS);
    }

    /** Starts a daemon that waits at most that long for open requests after its drain delay. */
    void start(String host, long drainTimeoutMs) throws IOException {
        start(host, DRAIN_DELAY_MS, drainTimeoutMs);
    }

    void start(String host, long drainDelayMs, long drainTimeoutMs) throws IOException {
        GatewaySettings parsed = settings(host, storeAddress(host), drainDelayMs, drainTimeoutMs);
        settings.add(parsed);
        daemons.add(GatewayProcess.start(parsed));
    }

    private String storeAddress(String host) {
        if (!linked) {
            return store.address();
        }
        links.add(new TargetLinks());
        return store.addressFor(host, links.get(links.size() - 1));
    }

    /** Returns settings with free ports of the loopback interface. */
    static GatewaySettings settings(String host, String storeAddress, long drainDelayMs, long drainTimeoutMs)
            throws IOException {
        int[] ports = FreePorts.next(PORTS);
        String[] flags = {
            "--deployment",
            "test",
            "--host",
            host,
            "--data-centre",
            ZONE,
            "--data-centres",
            "{\"dc-a\":\"region-1\"}",
            "--front-address",
            "127.0.0.1:" + ports[0],
            "--readiness-address",
            "127.0.0.1:" + ports[1],
            "--peer-address",
            "127.0.0.1:" + ports[2],
            "--metrics-address",
            "127.0.0.1:" + ports[3],
            "--store-address",
            storeAddress,
            "--store-partitions",
            "2",
            "--shared-key",
            "test",
            "--drain-delay-ms",
            Long.toString(drainDelayMs),
            "--drain-timeout-ms",
            Long.toString(drainTimeoutMs),
            "--log-format",
            "text"
        };
        return ((SettingsResult.Valid<GatewaySettings>) GatewaySettingsParser.parse(flags, Map.of())).settings();
    }

    /** Returns the runner that ran the request. */
    RunnerStandIn runnerOf(String requestId) {
        return runners.values().stream()
                .filter(runner -> runner.runs(requestId) > 0)
                .findFirst()
                .orElseThrow();
    }

    int runs(String requestId) {
        return runners.values().stream()
                .mapToInt(runner -> runner.runs(requestId))
                .sum();
    }

    void setEventMs(long eventMs) {
        runners.values().forEach(runner -> runner.setEventMs(eventMs));
    }

    void setBehaviour(RunnerStandIn.Behaviour behaviour) {
        runners.values().forEach(runner -> runner.setBehaviour(behaviour));
    }

    HttpRequest.Builder request(int daemon, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address(daemon) + path))
                .timeout(TIMEOUT)
                .setHeader("Host", HOST);
    }

    private String address(int daemon) {
        var address = settings.get(daemon).httpAddress();
        return address.getHostString() + ":" + address.getPort();
    }

    HttpResponse<String> get(String uri) throws IOException {
        return send(requestTo(uri));
    }

    private static HttpRequest requestTo(String uri) {
        return HttpRequest.newBuilder(URI.create(uri)).timeout(TIMEOUT).build();
    }

    String metricsUri(int daemon, String path) {
        var address = settings.get(daemon).metricsAddress().orElseThrow();
        return "http://" + address.getHostString() + ":" + address.getPort() + path;
    }

    boolean ready(int daemon) {
        var address = settings.get(daemon).readinessAddress();
        try {
            return get("http://" + address.getHostString() + ":" + address.getPort() + "/v1/readiness")
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    HttpResponse<String> post(int daemon, String route, String requestId, String body) throws IOException {
        return send(request(daemon, "/" + route + "/1")
                .header("Request-Id", requestId)
                .header("Deadline-Ms", "8000")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    int status(int daemon, String route, String requestId, Map<String, String> headers) {
        HttpRequest.Builder builder = request(daemon, "/" + route + "/1").header("Request-Id", requestId);
        headers.forEach(builder::header);
        try {
            return send(builder.POST(HttpRequest.BodyPublishers.ofString("x")).build())
                    .statusCode();
        } catch (IOException e) {
            return -1;
        }
    }

    HttpResponse<String> send(HttpRequest request) throws IOException {
        return send(http, request);
    }

    private static HttpResponse<String> send(HttpClient client, HttpRequest request) throws IOException {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Returns a new connection to the daemon's listener for callers. */
    Socket connect(int daemon) throws IOException {
        var address = settings.get(daemon).httpAddress();
        Socket socket = new Socket(address.getHostString(), address.getPort());
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        return socket;
    }

    HttpClient http() {
        return http;
    }

    /** Waits until a condition holds. */
    static void await(Condition condition) throws IOException {
        long untilNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.holds()) {
            if (System.nanoTime() > untilNanos) {
                throw new AssertionError("the condition did not hold within " + TIMEOUT);
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
        }
    }

    /** Ends the fleet, and fails if a request stays open at a daemon although no caller waits for it any more. */
    @Override
    public void close() {
        try {
            for (int i = 0; i < daemons.size(); i++) {
                awaitNoOpenRequests(i);
            }
        } finally {
            daemons.forEach(GatewayProcess::stop);
            links.forEach(TargetLinks::close);
            runners.values().forEach(RunnerStandIn::close);
            store.close();
        }
    }

    private void awaitNoOpenRequests(int daemon) {
        // A connection that is kept hangs if its daemon has ended, as the threads of a daemon in this process end
        // first.
        HttpClient fresh =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        long untilNanos = System.nanoTime() + TIMEOUT.toNanos();
        List<String> open = openRequests(daemon, fresh);
        while (!open.isEmpty() && System.nanoTime() < untilNanos) {
            LockSupport.parkNanos(POLL_NANOS);
            open = openRequests(daemon, fresh);
        }
        if (!open.isEmpty()) {
            throw new AssertionError(
                    "requests stay open at " + settings.get(daemon).host() + ": " + open);
        }
    }

    /** Returns what a daemon states about requests that have not ended; empty if it has ended itself. */
    private List<String> openRequests(int daemon, HttpClient client) {
        try {
            List<String> open = new ArrayList<>(OpenRequestLines.ofMetrics(
                    send(client, requestTo(metricsUri(daemon, "/metrics"))).body()));
            open.addAll(OpenRequestLines.ofDump(
                    send(client, requestTo(metricsUri(daemon, "/dump"))).body()));
            return open;
        } catch (IOException e) {
            return List.of();
        }
    }

    /** A condition that is expected to hold eventually. */
    interface Condition {
        boolean holds() throws IOException;
    }
}
