package org.cornelcrank.server.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cornelcrank.platform.fake.ResponseChecker;
import org.cornelcrank.platform.fake.ResponseLedger;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.server.soak.CallerConnection.Reply;

/**
 * Submits batch jobs while it runs, each on a connection of its own, and reads them afterwards.
 *
 * <p>Not thread-safe, but for the accepted jobs; {@link #check} follows the submissions.
 */
final class SoakJobs implements Runnable {

    static final int ITEMS = 4;

    private static final int MAX_PAUSE_MS = 400;
    private static final int ACCEPTED = 202;
    private static final int OK = 200;
    private static final int REFUSED = 503;
    private static final int LIMITED = 429;
    private static final Duration COMPLETION = Duration.ofSeconds(60);

    private final Random random;
    private final int maxEvents;
    private final List<DaemonProgram> daemons;
    private final BooleanSupplier stopped;
    private final ObjectMapper json = new ObjectMapper();
    private final List<String> accepted = new CopyOnWriteArrayList<>();
    private final Map<String, Long> acceptedAtMs = new ConcurrentHashMap<>();
    private final List<String> refused = new ArrayList<>();
    private final Map<String, String> paths = new LinkedHashMap<>();
    private int completed;
    private int abandoned;

    SoakJobs(long seed, int maxEvents, List<DaemonProgram> daemons, BooleanSupplier stopped) {
        this.random = new Random(seed);
        this.maxEvents = maxEvents;
        this.daemons = daemons;
        this.stopped = stopped;
    }

    @Override
    public void run() {
        try {
            for (int number = 1; !stopped.getAsBoolean(); number++) {
                submit("job-" + number);
                Thread.sleep(random.nextInt(MAX_PAUSE_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the jobs accepted so far. */
    List<String> accepted() {
        return accepted;
    }

    long acceptedAtMs(String job) {
        return acceptedAtMs.get(job);
    }

    static String itemId(String job, int item) {
        return job + "-item-" + item;
    }

    private void submit(String job) {
        List<String> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            String id = itemId(job, i);
            String path = "/batch/stream/" + (1 + random.nextInt(maxEvents));
            paths.put(id, path);
            String body = Base64.getEncoder().encodeToString(id.getBytes(StandardCharsets.UTF_8));
            items.add("{\"id\":\"%s\",\"path\":\"%s\",\"headers\":{\"Model\":\"m\"},\"body\":\"%s\",\"tokens\":9}"
                    .formatted(id, path, body));
        }
        String body = "{\"items\":[" + String.join(",", items) + "]}";
        Reply reply = call(
                daemons.get(random.nextInt(daemons.size())),
                "POST /batch/1",
                "Request-Id: " + job + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n",
                body);
        if (reply.status() == ACCEPTED) {
            acceptedAtMs.put(job, System.currentTimeMillis());
            accepted.add(job);
        } else if (reply.status() == REFUSED || reply.status() == LIMITED) {
            refused.add(job);
        }
    }

    private static Reply call(DaemonProgram daemon, String line, String headers, String body) {
        try (CallerConnection connection = new CallerConnection(daemon.port())) {
            return connection.exchange(
                    line + " HTTP/1.1\r\nHost: " + RoutesStandIn.HOST + "\r\n" + headers + "\r\n", body);
        } catch (IOException e) {
            return new Reply(0, Map.of(), "", false, "");
        }
    }

    /** Reads every accepted job at every daemon. */
    void check(ResponseChecker checker, ResponseLedger ledger) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + COMPLETION.toNanos();
        for (String job : accepted) {
            JsonNode first = null;
            for (DaemonProgram daemon : daemons) {
                JsonNode results = results(job, daemon, untilNanos);
                if (first != null && !first.equals(results)) {
                    checker.report("LOST", "%s differs: %s and %s".formatted(job, first, results), job);
                }
                first = results;
            }
            if (first != null) {
                first.forEach(result -> checkResult(checker, job, result));
            }
        }
        for (String job : refused) {
            for (int i = 0; i < ITEMS; i++) {
                if (ledger.runs(job + "-item-" + i) > 0) {
                    checker.report("REFUSED", "an item of a refused job has run", job + "-item-" + i);
                }
            }
        }
    }

    private JsonNode results(String job, DaemonProgram daemon, long untilNanos)
            throws IOException, InterruptedException {
        Reply reply = null;
        while (System.nanoTime() < untilNanos) {
            reply = call(daemon, "GET /v1/lots/" + job + "?after=0", "Wait-Ms: 200\r\n", "");
            if (reply.status() == OK && reply.complete()) {
                JsonNode page = json.readTree(reply.body());
                if (page.path("next").asInt() == ITEMS) {
                    return page.path("results");
                }
            }
            Thread.sleep(20);
        }
        throw new AssertionError(job + " is not complete at " + daemon.host() + ": " + reply);
    }

    private void checkResult(ResponseChecker checker, String job, JsonNode result) {
        String id = result.path("id").asText();
        if (!id.startsWith(job + "-item-")) {
            checker.report("MIXED", "an item of another job: " + result, job);
        } else if (result.path("state").asText().equals("completed")) {
            completed++;
            checker.checkItem(id, paths.get(id), result.path("text").asText());
        } else {
            abandoned++;
        }
    }

    @Override
    public String toString() {
        return "%d jobs accepted, %d refused, %d items completed, %d abandoned"
                .formatted(accepted.size(), refused.size(), completed, abandoned);
    }
}
