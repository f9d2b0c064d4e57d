package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a sound runner: streams a number of events for each request, in slots and with a short queue. */
public final class Runner {

    private static final int QUEUE = 24;

    private final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final int events;
    private final long eventMs;
    private final Record record;
    private final HttpServer server;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger sequence = new AtomicInteger();
    private final long bornMs = System.currentTimeMillis();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private volatile long busyAtMs;

    public Runner(
            String ip, String id, String service, String zone, int slots, int events, long eventMs, Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.events = events;
        this.eventMs = eventMs;
        this.record = record;
        this.free = new Semaphore(slots, true);
        server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(null, task, id, 256 * 1024);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try {
                handle(exchange);
            } catch (IOException e) {
                exchange.close();
            } catch (InterruptedException e) {
                exchange.close();
            }
        });
        server.start();
    }

    public String id() {
        return id;
    }

    /** Returns the entry under which the runner registers. */
    public String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + server.getAddress().getAddress().getHostAddress()
                + ":" + server.getAddress().getPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"1.0\",\"slots\":"
                + slots + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + sequence.incrementAndGet()
                + ",\"born\":" + bornMs + ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]}";
    }

    /** Returns the data of the event of a request. */
    static String data(String requestId, int event) {
        return "w" + Integer.toHexString((requestId + "/" + event).hashCode()) + " ".repeat(1) + event;
    }

    /** Returns the whole output of a request. */
    public static String output(String requestId, int events) {
        StringBuilder text = new StringBuilder();
        for (int event = 1; event <= events; event++) {
            text.append(event == 1 ? "" : "\n").append(data(requestId, event));
        }
        return text.toString();
    }

    public int running() {
        return slots - free.availablePermits();
    }

    /** Returns when half of the slots were last in use, in ms of the record. */
    public long busyAtMs() {
        return busyAtMs;
    }

    public int runs(String requestId) {
        return runs.getOrDefault(requestId, new AtomicInteger()).get();
    }

    private String load() {
        return running() + "," + waiting.get() + "," + slots;
    }

    private void handle(HttpExchange exchange) throws IOException, InterruptedException {
        exchange.getRequestBody().readAllBytes();
        exchange.getResponseHeaders().set("Server-Load", load());
        String path = exchange.getRequestURI().getPath();
        if (exchange.getRequestMethod().equals("GET") && path.equals("/health")) {
            exchange.getResponseHeaders().set("Instance-Id", id);
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
            return;
        }
        if (exchange.getRequestMethod().equals("GET") && path.equals("/v1/report")) {
            byte[] report = ("{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                            + "\"sequence\":0,\"waiting\":" + waiting.get() + ",\"running\":" + running()
                            + ",\"kvUsed\":0,\"kvTotal\":134354,\"handles\":0}")
                    .getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, report.length);
            exchange.getResponseBody().write(report);
            exchange.close();
            return;
        }
        String requestId = exchange.getRequestHeaders().getFirst("Request-Id");
        if (requestId != null) {
            exchange.getResponseHeaders().set("Request-Id", requestId);
        }
        String target = exchange.getRequestHeaders().getFirst("Target-Instance");
        if (target != null && !target.equals(id)) {
            exchange.getResponseHeaders().set("Instance-Id", id);
            exchange.sendResponseHeaders(421, -1);
            exchange.close();
            return;
        }
        if (requestId == null || waiting.get() >= QUEUE) {
            exchange.getResponseHeaders().set("Not-Executed", "1");
            exchange.sendResponseHeaders(requestId == null ? 400 : 503, -1);
            exchange.close();
            return;
        }
        waiting.incrementAndGet();
        free.acquire();
        waiting.decrementAndGet();
        try {
            run(exchange, requestId);
        } finally {
            free.release();
        }
    }

    private void run(HttpExchange exchange, String requestId) throws IOException, InterruptedException {
        String lastEvent = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        int after = lastEvent == null ? 0 : Integer.parseInt(lastEvent);
        runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
        record.line("run: " + requestId + " at " + id + " after event " + after);
        exchange.getResponseHeaders().set("Response-Signature", "sig-" + id + "-" + requestId);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        int event = after;
        try (OutputStream out = exchange.getResponseBody()) {
            while (event < events) {
                Thread.sleep(eventMs);
                if (2 * running() >= slots) {
                    busyAtMs = record.ms();
                }
                event++;
                out.write(("id: " + event + "\ndata: " + data(requestId, event) + "\n\n")
                        .getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            record.line("run: " + requestId + " at " + id + " ended by its sender after event " + event);
            throw e;
        }
        record.line("run: " + requestId + " at " + id + " complete");
    }
}
