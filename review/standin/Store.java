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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.BiPredicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's store, after PROTOCOL.md, "The platform's metadata store". Keyed topics only.
 *
 * <p>All state is guarded by the lock of this object.
 */
final class Store {

    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final int KEPT_RESPONSES = 5;
    private static final long ANSWER_MS = 4;

    private final HttpServer server;
    private final int parts;
    private final Map<String, Log> logs = new HashMap<>();
    private final Group group = new Group();
    private BiPredicate<String, Integer> refused = (topic, part) -> false;
    private Runnable onAcknowledged = () -> {};
    private String awaited = "";

    Store(String ip, int parts) throws IOException {
        this.parts = parts;
        server = HttpServer.create(new InetSocketAddress(ip, 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    /** Refuses the calls on some partitions with 503, so that nothing is done. */
    synchronized void refuse(BiPredicate<String, Integer> newRefused) {
        refused = newRefused;
        notifyAll();
    }

    /** Runs the action once, when the member at the index, in order of names, next joins with the newest generation. */
    synchronized void onNextAcknowledgement(int memberIndex, Runnable action) {
        awaited = new ArrayList<>(group.members.keySet()).get(memberIndex);
        onAcknowledged = action;
    }

    /** Reassigns all partitions at once. */
    synchronized void dealAnew() {
        group.rotation++;
        group.assign();
        group.holders.putAll(group.assigned);
    }

    /** Returns the partitions that the group's assignment gives to the member at the index, in order of names. */
    synchronized List<Integer> partitionsOf(int memberIndex) {
        List<Integer> result = new ArrayList<>();
        String member = new ArrayList<>(group.members.keySet()).get(memberIndex);
        group.holders.forEach((part, holder) -> {
            if (holder.equals(member)) {
                result.add(part);
            }
        });
        return result;
    }

    synchronized int members() {
        return group.members.size();
    }

    /** Writes a record on behalf of the operator or of a runner. */
    synchronized void put(String topic, String key, String value) {
        log(topic, 0).add(key, value.getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Thread.sleep(ANSWER_MS);
            Response response = respond(exchange.getRequestURI().getPath(), query(exchange), body);
            exchange.sendResponseHeaders(response.status, response.body.length == 0 ? -1 : response.body.length);
            if (response.body.length > 0) {
                exchange.getResponseBody().write(response.body);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            String[] parts = pair.split("=", 2);
            result.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return result;
    }

    private synchronized Response respond(String path, Map<String, String> query, byte[] body)
            throws InterruptedException {
        if (path.equals("/v1/log-join")) {
            return group.join(new String(body, StandardCharsets.UTF_8));
        }
        if (path.equals("/v1/log-leave")) {
            return group.leave(new String(body, StandardCharsets.UTF_8));
        }
        String topic = query.get("topic");
        int part = Integer.parseInt(query.get("part"));
        if (refused.test(topic, part)) {
            return new Response(503, "");
        }
        return switch (path) {
            case "/v1/log-append" -> append(log(topic, part), query, body);
            case "/v1/log-newest" -> newest(log(topic, part), query.getOrDefault("after", ""));
            case "/v1/log-read" -> read(topic, part, query);
            default -> new Response(404, "");
        };
    }

    private Log log(String topic, int part) {
        return logs.computeIfAbsent(topic + "/" + part, name -> new Log());
    }

    private Response append(Log log, Map<String, String> query, byte[] body) {
        if (query.containsKey("producer")) {
            Producer producer = log.producers.computeIfAbsent(query.get("producer"), name -> new Producer());
            long epoch = Long.parseLong(query.get("epoch"));
            long sequence = Long.parseLong(query.get("sequence"));
            if (epoch < producer.epoch) {
                return new Response(409, "{\"why\":\"fenced\",\"epoch\":" + producer.epoch + "}");
            }
            if (epoch > producer.epoch) {
                producer.epoch = epoch;
                producer.next = sequence;
                producer.responses.clear();
            }
            if (body.length == 0) {
                return appended(log.end(), log.end());
            }
            if (producer.responses.containsKey(sequence)) {
                return producer.responses.get(sequence);
            }
            if (sequence != producer.next) {
                return new Response(409, "{\"why\":\"seq\",\"sequence\":" + producer.next + "}");
            }
            producer.next++;
            Response response = addAll(log, body);
            producer.responses.put(sequence, response);
            if (producer.responses.size() > KEPT_RESPONSES) {
                producer.responses.remove(producer.responses.firstKey());
            }
            return response;
        }
        return addAll(log, body);
    }

    private Response addAll(Log log, byte[] body) {
        long offset = log.end();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.remaining() > 0) {
            byte[] content = new byte[bytes.getInt()];
            bytes.get(content);
            int keyLength = Byte.toUnsignedInt(content[0]);
            String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
            log.add(key, java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length));
        }
        notifyAll();
        return appended(offset, log.end());
    }

    private static Response appended(long offset, long end) {
        return new Response(200, "{\"offset\":" + offset + ",\"end\":" + end + "}");
    }

    private static Response newest(Log log, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Long> entry : log.newest.tailMap(after, false).entrySet()) {
            byte[] value = log.records.get(entry.getValue().intValue()).value;
            bytes += value.length;
            if (count == PAGE_RECORDS || count > 0 && bytes > PAGE_BYTES) {
                more = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",")
                    .append("{\"key\":\"")
                    .append(entry.getKey())
                    .append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(value))
                    .append("\",\"offset\":")
                    .append(entry.getValue())
                    .append("}");
        }
        return new Response(200, "{\"items\":[" + items + "],\"hasMore\":" + more + ",\"end\":" + log.end() + "}");
    }

    private Response read(String topic, int part, Map<String, String> query) throws InterruptedException {
        Log log = log(topic, part);
        long from = Long.parseLong(query.get("from"));
        int most = Integer.parseInt(query.getOrDefault("maxKilobytes", "1024")) * 1024;
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (log.end() <= from && System.nanoTime() < until) {
            if (refused.test(topic, part)) {
                return new Response(503, "");
            }
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(log.end());
            out.writeLong(0);
            for (long offset = from; offset < log.end() && (offset == from || bytes.size() < most); offset++) {
                Entry entry = log.records.get((int) offset);
                byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
                out.writeInt(1 + key.length + entry.value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(entry.value);
            }
            return new Response(200, bytes.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The members of the only group, and which of them holds each partition. */
    private final class Group {

        private final TreeMap<String, Member> members = new TreeMap<>();
        private final Map<Integer, String> assigned = new TreeMap<>();
        private final Map<Integer, String> holders = new TreeMap<>();
        private String topic = "";
        private long generation;
        private int rotation;

        Response join(String body) {
            String name = text(body, "member");
            long known = number(body, "generation");
            Matcher topics = Pattern.compile("\"topics\":\\[\"([^\"]+)\"").matcher(body);
            topic = topics.find() ? topics.group(1) : topic;
            long now = System.nanoTime() / 1_000_000;
            boolean changed = members.values().removeIf(member -> now > member.expiresAtMs);
            changed |= members.put(name, new Member(now + number(body, "ttlMs"), known)) == null;
            if (changed) {
                assign();
            }
            if (known == generation && name.equals(awaited)) {
                awaited = "";
                Runnable action = onAcknowledged;
                onAcknowledged = () -> {};
                action.run();
            }
            handOver();
            StringBuilder rows = new StringBuilder();
            holders.forEach((part, holder) -> {
                if (holder.equals(name) && holder.equals(assigned.get(part))) {
                    rows.append(rows.length() == 0 ? "" : ",").append("[\"" + topic + "\"," + part + ",0]");
                }
            });
            return new Response(200, "{\"generation\":" + generation + ",\"parts\":[" + rows + "]}");
        }

        Response leave(String body) {
            if (members.remove(text(body, "member")) != null) {
                assign();
            }
            return new Response(200, "{}");
        }

        private void assign() {
            generation++;
            assigned.clear();
            List<String> names = List.copyOf(members.keySet());
            for (int part = 0; part < parts && !names.isEmpty(); part++) {
                assigned.put(part, names.get((part + rotation) % names.size()));
            }
        }

        /** Hands over each partition whose holder is gone or has joined with the newest generation. */
        private void handOver() {
            assigned.forEach((part, member) -> {
                Member holder = members.get(holders.getOrDefault(part, ""));
                if (holder == null || holder.generation >= generation) {
                    holders.put(part, member);
                }
            });
        }
    }

    private static String text(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static long number(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private record Member(long expiresAtMs, long generation) {}

    private record Entry(String key, byte[] value) {}

    private record Response(int status, byte[] body) {
        Response(int status, String body) {
            this(status, body.getBytes(StandardCharsets.UTF_8));
        }
    }

    private static final class Producer {
        private final TreeMap<Long, Response> responses = new TreeMap<>();
        private long epoch = -1;
        private long next;
    }

    private static final class Log {
        private final List<Entry> records = new ArrayList<>();
        private final TreeMap<String, Long> newest = new TreeMap<>();
        private final Map<String, Producer> producers = new HashMap<>();

        long end() {
            return records.size();
        }

        void add(String key, byte[] value) {
            if (value.length == 0) {
                newest.remove(key);
            } else {
                newest.put(key, end());
            }
            records.add(new Entry(key, value));
        }
    }
}
