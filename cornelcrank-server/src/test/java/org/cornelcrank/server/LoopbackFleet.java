package org.cornelcrank.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cornelcrank.server.http.ApiKeys;
import org.cornelcrank.server.peer.SocketAddresses;
import org.cornelcrank.server.settings.DaemonSettings;
import org.cornelcrank.server.settings.DaemonSettingsParser;
import org.cornelcrank.server.settings.SettingsResult;
import org.cornelcrank.standin.EngineSettings;
import org.cornelcrank.standin.EngineStandIn;
import org.cornelcrank.standin.HostListSettings;
import org.cornelcrank.standin.HostListStandIn;
import org.cornelcrank.standin.ListedHost;
import org.cornelcrank.standin.LogSettings;
import org.cornelcrank.standin.LogStandIn;
import org.cornelcrank.standin.PlainServiceSettings;
import org.cornelcrank.standin.PlainServiceStandIn;

/**
 * Daemons with stand-ins for their environment on loopback addresses, for tests over real sockets.
 *
 * <p>Waits poll until a condition holds; their time limit only ends a test that would hang.
 */
final class LoopbackFleet implements AutoCloseable {

    static final String OPERATOR_KEY = "op.operator-secret";
    static final String CALLER_KEY = "kiosk.caller-secret";
    static final String OTHER_CALLER_KEY = "other.other-secret";
    static final String MODEL = "saarthi-lm";
    static final String PLAIN_SERVICE = "slips";

    private static final String REGION = "kerala-south";
    private static final String DATA_CENTRE = "tvm-a";
    private static final String SALT = "00112233445566778899aabbccddeeff";
    private static final Duration HANG_LIMIT = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final String BOUNDARY = "cornelcrank-test-boundary";

    final LogStandIn log = new LogStandIn(LogSettings.defaults());
    final HostListStandIn hostList = new HostListStandIn(HostListSettings.defaults());
    final List<EngineStandIn> engines = new ArrayList<>();
    final PlainServiceStandIn plainService = new PlainServiceStandIn(PlainServiceSettings.defaults(PLAIN_SERVICE));
    final List<DaemonProcess> daemons = new ArrayList<>();

    private final HttpClient http = HttpClient.newHttpClient();
    private final ObjectMapper json = new ObjectMapper();

    private long drainDelayMs = 100;
    private long drainTimeoutMs = 120_000;

    /** Starts stand-ins and daemons, and applies the settings. */
    static LoopbackFleet start(int daemonCount, EngineSettings... engineSettings) throws Exception {
        return start(new LoopbackFleet(), daemonCount, engineSettings);
    }

    /** Starts stand-ins and one daemon that waits at most that long for open requests after its drain delay. */
    static LoopbackFleet startWithDrainTimeout(long drainTimeoutMs, EngineSettings engineSettings) throws Exception {
        LoopbackFleet fleet = new LoopbackFleet();
        return startWithDrain(fleet.drainDelayMs, drainTimeoutMs, engineSettings);
    }

    /** Starts stand-ins and one daemon that stops with that drain delay and that drain timeout. */
    static LoopbackFleet startWithDrain(long drainDelayMs, long drainTimeoutMs, EngineSettings engineSettings)
            throws Exception {
        LoopbackFleet fleet = new LoopbackFleet();
        fleet.drainDelayMs = drainDelayMs;
        fleet.drainTimeoutMs = drainTimeoutMs;
        return start(fleet, 1, engineSettings);
    }

    private static LoopbackFleet start(LoopbackFleet fleet, int daemonCount, EngineSettings... engineSettings)
            throws Exception {
        fleet.log.start();
        fleet.hostList.start();
        fleet.plainService.start();
        for (EngineSettings settings : engineSettings) {
            EngineStandIn engine = new EngineStandIn(settings);
            engine.start();
            fleet.engines.add(engine);
        }
        fleet.listHosts();
        for (int i = 0; i < daemonCount; i++) {
            fleet.startDaemon("entry-" + (i + 1));
        }
        fleet.await(
                "the daemon is ready", () -> fleet.get(0, "/healthz/ready", "").statusCode() == 200);
        fleet.applySettings();
        return fleet;
    }

    void startDaemon(String host) throws IOException {
        String seeds = daemons.isEmpty() ? "" : "entry-1=" + seedAddress;
        InetSocketAddress peer = new InetSocketAddress("127.0.0.1", FreePorts.next());
        if (daemons.isEmpty()) {
            seedAddress = SocketAddresses.format(peer);
        }
        List<String> args = new ArrayList<>(List.of(
                "--deployment",
                "nilavu",
                "--host",
                host,
                "--region",
                REGION,
                "--data-centre",
                DATA_CENTRE,
                "--http-address",
                "127.0.0.1:0",
                "--peer-address",
                SocketAddresses.format(peer),
                "--log-url",
                "http://" + log.address(),
                "--hosts-url",
                "http://" + hostList.address(),
                "--shared-key",
                "test",
                "--operator-key",
                OPERATOR_KEY,
                "--regions",
                REGION,
                "--partitions",
                "2",
                "--drain-delay-ms",
                Long.toString(drainDelayMs),
                "--drain-timeout-ms",
                Long.toString(drainTimeoutMs),
                "--report-interval-ms",
                "50",
                "--hosts-interval-ms",
                "100",
                "--seed",
                "7"));
        if (!seeds.isEmpty()) {
            args.addAll(List.of("--seeds", seeds));
        }
        SettingsResult<DaemonSettings> result = DaemonSettingsParser.parse(args.toArray(String[]::new), Map.of());
        daemons.add(DaemonProcess.start(((SettingsResult.Valid<DaemonSettings>) result).settings()));
    }

    private String seedAddress;

    private void listHosts() {
        List<ListedHost> hosts = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            hosts.add(target("runner-" + (i + 1), engines.get(i).address(), MODEL));
        }
        hosts.add(target("slips-1", plainService.address(), PLAIN_SERVICE));
        hostList.setHosts(hosts);
    }

    private static ListedHost target(String name, String address, String service) {
        return new ListedHost(name, "target", REGION, DATA_CENTRE, address, List.of(service), false);
    }

    private void applySettings() throws Exception {
        String services = MODEL + "," + PLAIN_SERVICE;
        set("/nilavu/home-region", REGION);
        set("/nilavu/services", services);
        set("/nilavu/urgency", "immediate");
        set("/nilavu/api-keys/kiosk", SALT + ":" + ApiKeys.hash("caller-secret", SALT) + ":caller");
        set("/other/home-region", REGION);
        set("/other/services", MODEL);
        set("/other/api-keys/other", SALT + ":" + ApiKeys.hash("other-secret", SALT) + ":caller");
        set("/fleet/services/" + MODEL + "/kind", "model");
        set("/fleet/services/" + PLAIN_SERVICE + "/kind", "plain");
        set("/fleet/services/" + PLAIN_SERVICE + "/repeatable", "GET /*");
        for (int i = 0; i < daemons.size(); i++) {
            int daemon = i;
            await(
                    "the settings are in effect",
                    () -> get(daemon, "/v1/models", OTHER_CALLER_KEY).statusCode() == 200);
        }
    }

    void set(String path, String value) throws Exception {
        String uri = "/admin/config/value?path=" + URLEncoder.encode(path, StandardCharsets.UTF_8);
        HttpResponse<String> response = send(request(0, uri, OPERATOR_KEY)
                .PUT(BodyPublishers.ofString(
                        json.createObjectNode().put("value", value).toString())));
        if (response.statusCode() != 200) {
            throw new IllegalStateException(path + ": " + response.body());
        }
    }

    HttpResponse<String> get(int daemon, String path, String key) throws Exception {
        return send(request(daemon, path, key).GET());
    }

    HttpResponse<String> post(int daemon, String path, String key, String body, String... headers) throws Exception {
        HttpRequest.Builder request = request(daemon, path, key).POST(BodyPublishers.ofString(body));
        return send(headers.length == 0 ? request : request.headers(headers));
    }

    HttpRequest.Builder request(int daemon, String path, String key) {
        return HttpRequest.newBuilder(URI.create("http://" + daemons.get(daemon).httpAddress() + path))
                .timeout(HANG_LIMIT)
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + key);
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return http.send(request.build(), BodyHandlers.ofString());
    }

    HttpClient http() {
        return http;
    }

    JsonNode json(HttpResponse<String> response) throws IOException {
        return json.readTree(response.body());
    }

    /** Returns a metric of a daemon by its name in the scrape. */
    double metric(int daemon, String name) throws Exception {
        return get(daemon, "/metrics", "")
                .body()
                .lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow();
    }

    /** Returns how many requests an engine reports as running. */
    int running(int engine) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + engines.get(engine).address() + "/load"))
                .build();
        return json(http.send(request, BodyHandlers.ofString())).path("running").asInt();
    }

    /** Uploads a file of items and returns the response. */
    HttpResponse<String> upload(int daemon, String key, String lines, String... headers) throws Exception {
        String body = "--" + BOUNDARY + "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--"
                + BOUNDARY
                + "\r\nContent-Disposition: form-data; name=\"file\"; filename=\"items.jsonl\"\r\n"
                + "Content-Type: application/jsonl\r\n\r\n"
                + lines + "\r\n--" + BOUNDARY + "--\r\n";
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + daemons.get(daemon).httpAddress() + "/v1/files"))
                .timeout(HANG_LIMIT)
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "multipart/form-data; boundary=" + BOUNDARY)
                .POST(BodyPublishers.ofString(body));
        return send(headers.length == 0 ? request : request.headers(headers));
    }

    static String item(String customId, String prompt) {
        return "{\"custom_id\":\"%s\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":%s}\n"
                .formatted(customId, chat(prompt, false, 8));
    }

    static String chat(String prompt, boolean stream, int maxTokens) {
        return "{\"model\":\"%s\",\"stream\":%b,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}"
                .formatted(MODEL, stream, maxTokens, prompt);
    }

    void await(String expectation, Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + HANG_LIMIT.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("timed out waiting until " + expectation + "; state:\n" + dump());
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    private String dump() throws Exception {
        return get(0, "/admin/dump?format=text", OPERATOR_KEY).body();
    }

    private static boolean holds(Callable<Boolean> condition) throws Exception {
        try {
            return condition.call();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        daemons.forEach(DaemonProcess::kill);
        engines.forEach(EngineStandIn::close);
        plainService.close();
        hostList.close();
        log.close();
    }
}
