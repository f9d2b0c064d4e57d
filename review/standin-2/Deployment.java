package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: store, runners, daemons, and calls of clients about batch jobs. */
public final class Deployment {

    public static final String HOST = "ficu95.example";
    public static final String SERVICE = "saarthi";
    private static final String ZONES = "{\"tvm-a\":\"kerala-south\",\"kochi-b\":\"kerala-south\"}";

    private final Path root;
    private final Path temporary;
    private final Record record;
    private final Store store;
    private final String net;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Runner> runners = new ArrayList<>();
    private volatile boolean closed;

    public Deployment(Path root, Path temporary, Record record) {
        this.root = root;
        this.temporary = temporary;
        this.record = record;
        this.store = new Store(record);
        long pid = ProcessHandle.current().pid();
        this.net = "127." + (20 + pid % 200) + "." + (pid / 200 % 250) + ".";
    }

    public Store store() {
        return store;
    }

    public List<Daemon> daemons() {
        return daemons;
    }

    public List<Runner> runners() {
        return runners;
    }

    public void addRunner(int events, long eventMs) throws IOException {
        int number = runners.size() + 1;
        runners.add(new Runner(
                net + (100 + number),
                "i-%08x".formatted(number * 7919),
                SERVICE,
                number % 2 == 0 ? "kochi-b" : "tvm-a",
                8,
                events,
                eventMs,
                record));
    }

    /** Writes the first configuration, with one batch route, and lets the runners register, about every 1.2 s. */
    public void configure(long retentionS) {
        configure(7, retentionS, "/pule252/");
        Thread beats = new Thread(() -> {
            while (!closed) {
                runners.forEach(runner -> store.put("keyed.servers", runner.id(), runner.entry()));
                try {
                    Thread.sleep(1_200);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        beats.setDaemon(true);
        beats.start();
    }

    /** Writes a configuration with a batch route for each prefix; its return is the acknowledgement. */
    public void configure(int version, long retentionS, String... prefixes) {
        StringBuilder routes = new StringBuilder();
        for (String prefix : prefixes) {
            routes.append(routes.length() == 0 ? "" : ",")
                    .append("{\"name\":\"r-" + prefix.replace("/", "") + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\""
                            + prefix + "\",\"kind\":\"batch\",\"timeoutMs\":15000,\"targetLatencyMs\":500,"
                            + "\"targetRunMs\":18000,\"retentionS\":" + retentionS + ",\"priority\":2,\"service\":\""
                            + SERVICE + "\",\"maxAttempts\":3,\"stickySessions\":true}");
        }
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes
                + "],\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConnections\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,\"kvCapacityTokens\":134354}}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000}}");
        record.line("configuration " + version + " is acknowledged, batch routes: " + String.join(" ", prefixes));
    }

    /** Returns a loopback address of this deployment. */
    public String ip(int number) {
        return net + number;
    }

    /** Writes a configuration with one idempotent route, and lets runners register that are given by id and address. */
    public void configureOnline(String prefix, String service, List<String[]> registrations) {
        store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"r-online\",\"host\":\"" + HOST
                + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"idempotent\",\"timeoutMs\":2000,"
                + "\"targetLatencyMs\":221,\"priority\":2,\"service\":\"" + service + "\",\"maxAttempts\":3}],"
                + "\"services\":[{\"name\":\"" + service + "\",\"healthPath\":\"/health\",\"maxConnections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        long bornMs = System.currentTimeMillis();
        Thread beats = new Thread(() -> {
            for (int sequence = 1; !closed; sequence++) {
                for (String[] registration : registrations) {
                    store.put("keyed.servers", registration[0], "{\"service\":\"" + service + "\",\"address\":\""
                            + registration[1] + "\",\"zone\":\"tvm-a\",\"version\":\"1.0\",\"slots\":6,"
                            + "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + sequence + ",\"born\":"
                            + bornMs + "}");
                }
                try {
                    Thread.sleep(1_200);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        beats.setDaemon(true);
        beats.start();
    }

    public void addDaemon() throws IOException {
        int number = daemons.size() + 1;
        String name = "edge-tvm-a-" + number;
        InetSocketAddress address = store.listen(net + "1", name);
        daemons.add(new Daemon(root, temporary, name, net + (10 + number), "tvm-a", ZONES, address, record));
    }

    public boolean startAll() throws IOException, InterruptedException {
        for (Daemon daemon : daemons) {
            daemon.start();
        }
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(20_000)) {
                return false;
            }
        }
        return true;
    }

    public void close() throws InterruptedException {
        closed = true;
        for (Daemon daemon : daemons) {
            daemon.kill();
        }
    }

    /** A batch job of a client. */
    public static final class Job {

        final String id;
        final String prefix;
        final List<String> items = new ArrayList<>();
        final byte[] body;
        final Map<String, byte[]> bodies = new LinkedHashMap<>();
        volatile boolean accepted;

        public Job(Random random, int itemCount, int bodyBytes) {
            this(random, itemCount, bodyBytes, "/pule252/");
        }

        public Job(Random random, int itemCount, int bodyBytes, String prefix) {
            this.prefix = prefix;
            id = "%016x".formatted(random.nextLong());
            StringBuilder json = new StringBuilder("{\"items\":[");
            for (int i = 0; i < itemCount; i++) {
                String item = "%016x".formatted(random.nextLong());
                items.add(item);
                byte[] content = new byte[bodyBytes];
                random.nextBytes(content);
                bodies.put(item, content);
                json.append(i == 0 ? "" : ",")
                        .append("{\"id\":\"" + item + "\",\"path\":\"" + prefix + "3/" + item.substring(0, 4)
                                + "\",\"headers\":{\"Model\":\"m\",\"Token-Count\":\"350,242\",\"Prompt-Prefix\":\"9c2e41:100,"
                                + item.substring(0, 6) + ":250\",\"Length-Hint\":\"240\"},\"body\":\"")
                        .append(Base64.getEncoder().encodeToString(content))
                        .append("\",\"tokens\":592}");
            }
            body = json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
        }

        public String id() {
            return id;
        }

        public List<String> items() {
            return items;
        }

        public byte[] bodyOf(String item) {
            return bodies.get(item);
        }

        public boolean accepted() {
            return accepted;
        }

        public int bytes() {
            return body.length;
        }
    }

    /** Sends a batch job to a daemon. */
    public int submit(Job job, Daemon daemon) {
        Call call = Call.send(
                daemon.front(),
                "POST",
                job.prefix + job.id.substring(0, 6),
                HOST,
                "Request-Id: " + job.id + "\r\nDeadline-Ms: 4000\r\n",
                job.body,
                5_500);
        record.line("job " + job.id + ", " + job.items.size() + " items, " + job.body.length + " bytes, sent to "
                + daemon.name() + ": " + call.status());
        if (call.status() == 202) {
            job.accepted = true;
        }
        return call.status();
    }

    /** Reads one page of results; null if there was no page. */
    public Page read(Job job, int after, Daemon daemon, long waitMs) {
        Call call = Call.send(
                daemon.front(),
                "GET",
                "/v1/lots/" + job.id + "?after=" + after,
                HOST,
                waitMs > 0 ? "Wait-Ms: " + waitMs + "\r\n" : "",
                new byte[0],
                (int) waitMs + 1_500);
        return new Page(call.status(), call.status() == 200 ? call.text() : "");
    }

    public Call readBody(Job job, String item, Daemon daemon) {
        return Call.send(
                daemon.front(), "GET", "/v1/items/" + job.id + "?id=" + item, HOST, "", new byte[0], 1_500);
    }

    /** Reads a whole job from its start, at each daemon in turn after a failure. */
    public List<Result> readAll(Job job) throws InterruptedException {
        List<Result> results = new ArrayList<>();
        int failures = 0;
        while (failures < 8) {
            Daemon daemon = daemons.get(failures % daemons.size());
            Page page = read(job, results.size(), daemon, 0);
            if (page.status() != 200) {
                record.line("job " + job.id + " read from " + results.size() + " at " + daemon.name() + ": "
                        + page.status());
                failures++;
                Thread.sleep(400);
                continue;
            }
            if (page.results().isEmpty()) {
                return results;
            }
            results.addAll(page.results());
        }
        return results;
    }

    public record Result(String id, String state, String text) {}

    public record Page(int status, String json) {

        private static final Pattern RESULT = Pattern.compile(
                "\\{\"id\":\"([^\"]*)\",\"state\":\"([^\"]*)\",\"text\":\"((?:[^\"\\\\]|\\\\.)*+)\"\\}");

        public List<Result> results() {
            List<Result> results = new ArrayList<>();
            Matcher matcher = RESULT.matcher(json);
            while (matcher.find()) {
                results.add(new Result(matcher.group(1), matcher.group(2), matcher.group(3).replace("\\n", "\n")));
            }
            return results;
        }

        public int total() {
            return (int) Json.number(json, "total");
        }
    }

    public static Path temporaryFolder() throws IOException {
        return Files.createTempDirectory("review-2-");
    }
}
