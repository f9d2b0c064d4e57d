package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/** Stand-in of the platform's log, as PROTOCOL.md has it: appends, reads, newest records, groups. */
public final class Store {

    /** What happens to one append. */
    public enum Fate {
        ANSWERED,
        /** Done, and never answered. */
        LOST,
        /** Done some time later, and never answered. */
        LATE
    }

    /** Decides on each append. */
    public interface Trouble {
        Fate fate(String node, String topic, int part, int bytes);

        long lateMs();
    }

    public static final int PARTS = 12;
    private static final int RECORD_BYTES = 262144;
    private static final int REQUEST_BYTES = 2097152;
    private static final double APPEND_MS = 2;
    private static final double PART_BYTES_PER_MS = 20_000;

    private static final ThreadFactory THREADS = task -> {
        Thread thread = new Thread(null, task, "store", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    };

    private final Map<String, Part> parts = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private final ScheduledExecutorService late = Executors.newScheduledThreadPool(4, THREADS);
    private final Record record;
    private volatile Trouble trouble;
    private volatile Set<String> turnedAway = Set.of();

    public Store(Record record) {
        this.record = record;
    }

    public void trouble(Trouble next) {
        trouble = next;
    }

    /** Turns some machines away with status 503, while the others are served. */
    public void turnAway(Set<String> nodes) {
        turnedAway = Set.copyOf(nodes);
    }

    /** Opens an address for the calls of one node. */
    public InetSocketAddress listen(String ip, String node) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(THREADS));
        server.createContext("/", exchange -> {
            try {
                handle(node, exchange);
            } catch (IOException e) {
                exchange.close();
            } catch (RuntimeException e) {
                record.line("store failed: " + e);
                exchange.close();
            } catch (InterruptedException e) {
                exchange.close();
            }
        });
        server.start();
        return server.getAddress();
    }

    private synchronized Part part(String topic, int number) {
        return parts.computeIfAbsent(topic + "/" + number, key -> new Part());
    }

    /** Writes a record for the platform itself. */
    public void put(String topic, String key, String value) {
        Part part = part(topic, 0);
        synchronized (part) {
            part.add(key, value.getBytes(StandardCharsets.UTF_8));
        }
    }

    private void handle(String node, HttpExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (turnedAway.contains(node)) {
            send(exchange, 503, "{}");
            return;
        }
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        switch (exchange.getRequestURI().getPath()) {
            case "/v1/log-append" -> append(node, query, body, exchange);
            case "/v1/log-read" -> read(node, query, exchange);
            case "/v1/log-newest" -> newest(query, exchange);
            case "/v1/log-join" -> join(new String(body, StandardCharsets.UTF_8), exchange);
            case "/v1/log-leave" -> {
                String text = new String(body, StandardCharsets.UTF_8);
                Group group = group(Json.text(text, "group"));
                synchronized (group) {
                    group.leave(Json.text(text, "member"));
                }
                send(exchange, 200, "{}");
            }
            default -> send(exchange, 404, "{}");
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static void send(HttpExchange exchange, int status, String json) throws IOException {
        send(exchange, status, json.getBytes(StandardCharsets.UTF_8), "application/json");
    }

    private static void send(HttpExchange exchange, int status, byte[] body, String type) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    private static List<byte[]> records(byte[] body) {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.remaining() > 0) {
            byte[] next = new byte[bytes.getInt()];
            bytes.get(next);
            records.add(next);
        }
        return records;
    }

    private void append(String node, Map<String, String> query, byte[] body, HttpExchange exchange)
            throws IOException, InterruptedException {
        String topic = query.get("topic");
        int number = Integer.parseInt(query.get("part"));
        if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
            send(exchange, 403, "{}");
            return;
        }
        List<byte[]> records = records(body);
        if (body.length - 4 * records.size() > REQUEST_BYTES
                || records.stream().anyMatch(bytes -> bytes.length > RECORD_BYTES)) {
            record.line("store: too large, " + body.length + " bytes of " + node);
            send(exchange, 413, "{}");
            return;
        }
        Part part = part(topic, number);
        Trouble current = trouble;
        Fate fate = current == null ? Fate.ANSWERED : current.fate(node, topic, number, body.length);
        if (fate == Fate.LATE) {
            long ms = current.lateMs();
            record.line("store: append of " + node + " to " + topic + "/" + number + ", " + records.size()
                    + " records, is not answered and done " + ms + " ms later");
            late.schedule(() -> {
                try {
                    String[] result = part.append(query, records, body.length);
                    record.line("store: late append of " + node + " to " + topic + "/" + number + ", " + records.size()
                            + " records: " + result[0]);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }, ms, TimeUnit.MILLISECONDS);
            Thread.sleep(Long.MAX_VALUE);
        }
        String[] result = part.append(query, records, body.length);
        if (topic.equals("keyed.jobs") || fate == Fate.LOST) {
            record.line("store: append of " + node + " to " + topic + "/" + number + ", " + records.size()
                    + " records from " + (records.isEmpty() ? "-" : key(records.get(0))) + ": " + result[0]
                    + (fate == Fate.LOST ? ", not answered" : ""));
        }
        if (fate == Fate.LOST) {
            Thread.sleep(Long.MAX_VALUE);
        }
        send(exchange, Integer.parseInt(result[0]), result[1]);
    }

    private static String key(byte[] record) {
        return new String(record, 1, Byte.toUnsignedInt(record[0]), StandardCharsets.UTF_8);
    }

    private void read(String node, Map<String, String> query, HttpExchange exchange)
            throws IOException, InterruptedException {
        Part part = part(query.get("topic"), Integer.parseInt(query.get("part")));
        long from = Long.parseLong(query.getOrDefault("from", "0"));
        int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("maxKilobytes", "1024"));
        long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        synchronized (part) {
            long leftMs = untilMs - System.nanoTime() / 1_000_000;
            while (part.log.size() <= from && leftMs > 0) {
                part.wait(Math.min(50, leftMs));
                if (turnedAway.contains(node)) {
                    break;
                }
                leftMs = untilMs - System.nanoTime() / 1_000_000;
            }
            if (turnedAway.contains(node)) {
                send(exchange, 503, "{}");
                return;
            }
            out.writeLong(part.log.size());
            out.writeLong(0);
            for (long offset = from; offset < part.log.size(); offset++) {
                byte[] next = part.log.get((int) offset);
                if (bytes.size() > 16 && bytes.size() + next.length > maxBytes) {
                    break;
                }
                out.writeInt(next.length);
                out.write(next);
            }
        }
        send(exchange, 200, bytes.toByteArray(), "application/octet-stream");
    }

    private void newest(Map<String, String> query, HttpExchange exchange) throws IOException {
        Part part = part(query.get("topic"), Integer.parseInt(query.get("part")));
        String after = query.getOrDefault("after", "");
        StringBuilder items = new StringBuilder();
        boolean more = false;
        long end;
        synchronized (part) {
            int count = 0;
            for (Map.Entry<String, Long> entry : part.newest.tailMap(after, false).entrySet()) {
                byte[] content = part.log.get((int) (long) entry.getValue());
                int keyBytes = 1 + Byte.toUnsignedInt(content[0]);
                String value = Base64.getEncoder()
                        .encodeToString(java.util.Arrays.copyOfRange(content, keyBytes, content.length));
                if (count == 500 || count > 0 && items.length() + value.length() > 1_000_000) {
                    more = true;
                    break;
                }
                items.append(count++ == 0 ? "" : ",")
                        .append("{\"key\":\"")
                        .append(entry.getKey())
                        .append("\",\"value\":\"")
                        .append(value)
                        .append("\",\"offset\":")
                        .append(entry.getValue())
                        .append('}');
            }
            end = part.log.size();
        }
        send(exchange, 200, "{\"items\":[" + items + "],\"hasMore\":" + more + ",\"end\":" + end + "}");
    }

    private synchronized Group group(String name) {
        return groups.computeIfAbsent(name, key -> new Group());
    }

    private void join(String body, HttpExchange exchange) throws IOException {
        Group group = group(Json.text(body, "group"));
        String answer;
        synchronized (group) {
            answer = group.join(
                    Json.text(body, "member"),
                    Json.firstOf(body, "topics"),
                    Json.number(body, "ttlMs"),
                    Json.number(body, "generation"));
        }
        send(exchange, 200, answer);
    }

    /** Returns which member holds each partition of a group. */
    public Map<Integer, String> holders(String name) {
        Group group = group(name);
        synchronized (group) {
            return new TreeMap<>(group.holders);
        }
    }

    /** Deals all partitions of a group anew, without any request. */
    public void rebalance(String name) {
        Group group = group(name);
        synchronized (group) {
            group.rotation++;
            group.deal();
            group.holders.clear();
            group.holders.putAll(group.wanted);
        }
    }

    /** One partition; guarded by its own lock. */
    private static final class Part {

        private final List<byte[]> log = new ArrayList<>();
        private final TreeMap<String, Long> newest = new TreeMap<>();
        private final Map<String, Producer> producers = new HashMap<>();
        private final Object turn = new Object();

        private void add(String key, byte[] value) {
            byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
            byte[] content = new byte[1 + keyBytes.length + value.length];
            content[0] = (byte) keyBytes.length;
            System.arraycopy(keyBytes, 0, content, 1, keyBytes.length);
            System.arraycopy(value, 0, content, 1 + keyBytes.length, value.length);
            add(content);
        }

        private void add(byte[] content) {
            String key = key(content);
            if (content.length == 1 + Byte.toUnsignedInt(content[0])) {
                newest.remove(key);
            } else {
                newest.put(key, (long) log.size());
            }
            log.add(content);
            notifyAll();
        }

        private String[] append(Map<String, String> query, List<byte[]> records, int bytes)
                throws InterruptedException {
            synchronized (turn) {
                Thread.sleep((long) Math.ceil(APPEND_MS + bytes / PART_BYTES_PER_MS));
                synchronized (this) {
                    return take(query, records);
                }
            }
        }

        private String[] take(Map<String, String> query, List<byte[]> records) {
            if (query.containsKey("at") && Long.parseLong(query.get("at")) != log.size()) {
                return new String[] {"412", "{\"end\":" + log.size() + "}"};
            }
            Producer producer = null;
            long sequence = 0;
            if (query.containsKey("producer")) {
                producer = producers.computeIfAbsent(query.get("producer"), name -> new Producer());
                long epoch = Long.parseLong(query.get("epoch"));
                sequence = Long.parseLong(query.get("sequence"));
                if (epoch < producer.epoch) {
                    return new String[] {"409", "{\"why\":\"fenced\",\"epoch\":" + producer.epoch + "}"};
                }
                if (epoch > producer.epoch) {
                    producer.epoch = epoch;
                    producer.next = sequence;
                    producer.answers.clear();
                }
                if (!records.isEmpty()) {
                    if (producer.answers.containsKey(sequence)) {
                        return new String[] {"200", producer.answers.get(sequence)};
                    }
                    if (sequence != producer.next) {
                        return new String[] {"409", "{\"why\":\"seq\",\"sequence\":" + producer.next + "}"};
                    }
                }
            }
            long offset = log.size();
            records.forEach(this::add);
            String answer = "{\"offset\":" + offset + ",\"end\":" + log.size() + "}";
            if (producer != null && !records.isEmpty()) {
                producer.next = sequence + 1;
                producer.answers.put(sequence, answer);
                if (producer.answers.size() > 5) {
                    producer.answers.remove(producer.answers.keySet().iterator().next());
                }
            }
            return new String[] {"200", answer};
        }
    }

    private static final class Producer {
        private long epoch = -1;
        private long next;
        private final LinkedHashMap<Long, String> answers = new LinkedHashMap<>();
    }

    /** A group; guarded by its own lock. */
    private static final class Group {

        private final Map<String, Long> expiresAtMs = new TreeMap<>();
        private final Map<String, Long> ttls = new HashMap<>();
        private final Map<Integer, String> holders = new HashMap<>();
        private final Map<Integer, String> wanted = new HashMap<>();
        private long generation;
        private int rotation;

        String join(String member, String topic, long ttlMs, long known) {
            long nowMs = System.nanoTime() / 1_000_000;
            boolean changed = expiresAtMs.put(member, nowMs + ttlMs) == null;
            Set<String> gone = new HashSet<>();
            expiresAtMs.forEach((other, atMs) -> {
                if (atMs < nowMs) {
                    gone.add(other);
                }
            });
            for (String other : gone) {
                expiresAtMs.remove(other);
                holders.values().removeIf(other::equals);
                changed = true;
            }
            if (changed) {
                deal();
            }
            if (known >= generation) {
                holders.entrySet()
                        .removeIf(entry -> entry.getValue().equals(member)
                                && !member.equals(wanted.get(entry.getKey())));
            }
            StringBuilder rows = new StringBuilder();
            wanted.forEach((part, owner) -> {
                if (owner.equals(member) && (!holders.containsKey(part) || holders.get(part).equals(member))) {
                    holders.put(part, member);
                    rows.append(rows.length() == 0 ? "" : ",")
                            .append("[\"" + topic + "\"," + part + ",0]");
                }
            });
            return "{\"generation\":" + generation + ",\"ttlMs\":" + ttlMs + ",\"parts\":[" + rows + "]}";
        }

        void leave(String member) {
            if (expiresAtMs.remove(member) != null) {
                holders.values().removeIf(member::equals);
                deal();
            }
        }

        /** Deals evenly; members keep what they have where that is even. */
        void deal() {
            generation++;
            List<String> members = new ArrayList<>(expiresAtMs.keySet());
            wanted.clear();
            if (members.isEmpty()) {
                return;
            }
            for (int part = 0; part < PARTS; part++) {
                wanted.put(part, members.get((part + rotation) % members.size()));
            }
        }
    }
}
