import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: daemons with the start command of the deploy file, a client, and the record. */
abstract class Trial {

    static final String HOST = "ficu95.example";
    static final String ZONE = "bratislava-a";
    static final String SERVICE = "huvo11a";
    static final String BATCH_PREFIX = "/pule252/";
    static final String STREAM_PREFIX = "/pufi791/";

    /** How long a case may run, in ms. */
    private static final long LIMIT_MS = 115_000;

    private static final String REGIONS = "{\"bratislava-a\":\"zapad\"}";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Random random = new Random();
    final List<Daemon> daemons = new ArrayList<>();
    private final String network = "127." + (16 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
    private final long startedAt = System.nanoTime();
    private final Path folder = Path.of(System.getenv("CASE_FOLDER"));
    private final Path temporary = Path.of(System.getenv("CASE_TEMP"));
    private PrintWriter record;
    private boolean broken;

    /** Plays the case; calls {@link #broken} if the rule was broken. */
    abstract void play() throws Exception;

    final void run() {
        int status = 2;
        Thread watchdog = new Thread(this::endInTime);
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endDaemons));
        try {
            record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
            log("TROUBLE=" + (trouble ? 1 : 0));
            play();
            status = broken ? 1 : 0;
            log(broken ? "the rule was BROKEN" : "the rule held");
        } catch (Exception e) {
            log("the case could not run: " + e);
            e.printStackTrace();
        }
        record.close();
        endDaemons();
        Runtime.getRuntime().halt(status);
    }

    /** Ends the case as not run once its time is over. */
    private void endInTime() {
        try {
            Thread.sleep(LIMIT_MS);
        } catch (InterruptedException e) {
            return;
        }
        endDaemons();
        Runtime.getRuntime().halt(2);
    }

    private void endDaemons() {
        daemons.forEach(daemon -> daemon.process.destroyForcibly());
    }

    final synchronized void log(String text) {
        String line = "%8.3f %s".formatted((System.nanoTime() - startedAt) / 1e9, text);
        System.out.println(line);
        record.println(line);
        record.flush();
    }

    final void broken(String text) {
        broken = true;
        log("BROKEN: " + text);
    }

    final String ip(int number) {
        return network + number;
    }

    static void await(String what, long limitMs, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + limitMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("not within " + limitMs + " ms: " + what);
            }
            Thread.sleep(20);
        }
    }

    /** Starts a store with a configuration: a batch route and a stream route, both of the same service. */
    final Store startStore(int parts) throws IOException {
        Store store = new Store(ip(1), parts);
        String common = "\"service\":\"" + SERVICE + "\",\"stickySessions\":true,\"resumable\":true,\"gapAimMs\":400}";
        store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"r-lots\",\"host\":\"" + HOST
                + "\",\"pathPrefix\":\"" + BATCH_PREFIX + "\",\"kind\":\"batch\",\"timeoutMs\":15000,"
                + "\"targetLatencyMs\":400,\"targetRunMs\":18000,\"retentionS\":60,\"priority\":2,\"maxAttempts\":3,"
                + common + ",{\"name\":\"r-stream\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + STREAM_PREFIX
                + "\",\"kind\":\"stream\",\"timeoutMs\":5000,\"targetLatencyMs\":300,\"priority\":0,\"maxAttempts\":2,"
                + common + "],\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\","
                + "\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        return store;
    }

    /** Starts runners of 8 slots and enters them in the store. */
    final void startRunners(Store store, int count, Runner.Handler handler) throws IOException {
        for (int i = 0; i < count; i++) {
            Runner runner = new Runner("i-7f3a91c" + i, ip(100 + i), handler);
            store.put("keyed.servers", runner.id, runner.entry(SERVICE, ZONE, 8));
        }
    }

    /** Starts the daemons edge-1, edge-2 and so on, and waits until they are ready and share the partitions. */
    final void startDaemons(Store store, int count, int parts) throws Exception {
        for (int i = 1; i <= count; i++) {
            startDaemon("edge-" + i, 20 + i, store, parts);
        }
        for (Daemon daemon : daemons) {
            await(daemon.name() + " is ready", 30_000, () -> isReady(daemon));
        }
        await("all daemons are members", 10_000, () -> store.members() == count);
        Thread.sleep(3_000);
    }

    /** Begins the answer to a request for tokens: a success whose body is a stream of events in chunks. */
    static void beginStream(Runner.Request request, OutputStream out) throws IOException {
        Runner.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.requestId() + "\r\nResponse-Signature: 3e1b.07\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static String event(String id, int number) {
        return "id: " + number + "\ndata: " + piece(id, number) + "\n\n";
    }

    static String piece(String id, int number) {
        return id + " piece " + number;
    }

    static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Starts a daemon with the command of deploy/system.toml, on a loopback address of its own. */
    final Daemon startDaemon(String name, int number, Store store, int parts) throws IOException {
        String ip = ip(number);
        String front = ip + ":" + freePort(ip);
        String ready = ip + ":" + freePort(ip);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml names no command");
        }
        String command = run.group(1)
                .replace("{{nodeName}}", name)
                .replace("{{zone}}", ZONE)
                .replace("{{listen.front}}", front)
                .replace("{{listen.ready}}", ready)
                .replace("{{internalPorts.0}}", String.valueOf(freePort(ip)))
                .replace("{{ip}}", ip)
                .replace("{{platform.address}}", store.address())
                .replace("{{platform.parts}}", String.valueOf(parts))
                .replace("{{platform.recordBytes}}", "262144")
                .replace("{{platform.requestBytes}}", "2097152");
        Daemon daemon = new Daemon(name, front, ready, command, launch(name, command));
        daemons.add(daemon);
        return daemon;
    }

    /** Starts a daemon that has ended once more, with the same settings. */
    final Daemon restart(Daemon ended) throws IOException {
        Daemon daemon = new Daemon(ended.name, ended.front, ended.ready, ended.command, launch(ended.name, ended.command));
        daemons.set(daemons.indexOf(ended), daemon);
        return daemon;
    }

    private Process launch(String name, String command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().put("CORNELCRANK_DATA_CENTRES", REGIONS);
        builder.environment().put("CORNELCRANK_SHARED_KEY", "platform-daemons");
        File output = temporary.resolve(name + ".log").toFile();
        return builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                .start();
    }

    /** Sends a signal to a process that this case has started. */
    static void signal(String name, Daemon daemon) throws Exception {
        new ProcessBuilder("bash", "-c", "kill -" + name + " " + daemon.process.pid()).start().waitFor();
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    static boolean isReady(Daemon daemon) {
        try {
            return call(daemon.ready, "GET", "/v1/readiness", "", "", 1_000).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a request on a new connection and reads the whole answer. */
    static Answer call(String address, String method, String path, String headers, String body, int timeoutMs)
            throws IOException {
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(timeoutMs);
            Runner.write(
                    socket.getOutputStream(),
                    method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n" + headers + "Connection: close\r\n"
                            + "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
            return Answer.parse(readAll(socket.getInputStream()));
        }
    }

    private static byte[] readAll(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        in.transferTo(all);
        return all.toByteArray();
    }

    static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the body of a batch job with items of the route's prefix. */
    static String job(String id, int items) {
        StringBuilder body = new StringBuilder("{\"items\":[");
        for (int i = 0; i < items; i++) {
            body.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"" + id + "i" + i + "\",\"path\":\"" + BATCH_PREFIX + i + "\",\"headers\":{\"Model\":\"m\","
                            + "\"Token-Count\":\"350,242\",\"Prompt-Prefix\":\"9c2e41:100,5d07b" + i + ":250\"},\"body\":\""
                            + base64("body of " + id + "i" + i) + "\",\"tokens\":592}");
        }
        return body.append("]}").toString();
    }

    /** Submits a job at the daemons in turn until it gets a 202. */
    final void submit(String id, int items) throws Exception {
        String body = job(id, items);
        for (int i = 0; i < 20; i++) {
            Daemon daemon = daemons.get(i % daemons.size());
            Answer answer = call(
                    daemon.front, "POST", BATCH_PREFIX + id, "Request-Id: " + id + "\r\nContent-Type: application/json\r\n", body,
                    5_000);
            log("job " + id + ", " + items + " items, sent to " + daemon.name + ": " + answer.status);
            if (answer.status == 202) {
                return;
            }
            Thread.sleep(300);
        }
        throw new IllegalStateException("job " + id + " is not accepted");
    }

    /** Reads the results of a job from a position, as id, state and text; empty if the daemon does not answer 200. */
    static List<String> results(Daemon daemon, String job, int after) throws IOException {
        Answer answer = call(daemon.front, "GET", "/v1/lots/" + job + "?after=" + after, "Wait-Ms: 1000\r\n", "", 6_000);
        List<String> results = new ArrayList<>();
        Matcher matcher = Pattern.compile("\\{\"id\":\"([^\"]*)\",\"state\":\"([^\"]*)\",\"text\":\"((?:[^\"\\\\]|\\\\.)*)\"\\}")
                .matcher(answer.body);
        while (answer.status == 200 && matcher.find()) {
            results.add(matcher.group(1) + " " + matcher.group(2) + " " + matcher.group(3));
        }
        return results;
    }

    /** Reads a job until it has all its results. */
    final List<String> awaitResults(String job, int items, long limitMs) throws Exception {
        List<String> read = new ArrayList<>();
        await("all results of job " + job, limitMs, () -> {
            try {
                read.addAll(results(daemons.get(random.nextInt(daemons.size())), job, read.size()));
            } catch (IOException e) {
                log("a read of job " + job + " failed: " + e);
            }
            return read.size() >= items;
        });
        return read;
    }

    record Daemon(String name, String front, String ready, String command, Process process) {}

    /** A whole answer; chunked bodies are joined. */
    record Answer(int status, String headers, String body, boolean complete) {

        static Answer parse(byte[] bytes) throws IOException {
            String all = new String(bytes, StandardCharsets.ISO_8859_1);
            int end = all.indexOf("\r\n\r\n");
            if (end < 0) {
                throw new IOException("no answer: the connection ended after " + bytes.length + " bytes");
            }
            String head = all.substring(0, end);
            String body = all.substring(end + 4);
            boolean complete = true;
            if (head.toLowerCase().contains("transfer-encoding: chunked")) {
                StringBuilder joined = new StringBuilder();
                int at = 0;
                complete = false;
                while (at < body.length()) {
                    int line = body.indexOf("\r\n", at);
                    int length = line < 0 ? -1 : Integer.parseInt(body.substring(at, line), 16);
                    complete = length == 0;
                    if (length <= 0 || line + 2 + length > body.length()) {
                        break;
                    }
                    joined.append(body, line + 2, line + 2 + length);
                    at = line + 2 + length + 2;
                }
                body = joined.toString();
            }
            return new Answer(Integer.parseInt(head.substring(9, 12)), head, body, complete);
        }
    }
}
