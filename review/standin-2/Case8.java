package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send idempotent requests. For 5 s, again and again, one of two runners breaks off 3 of 100 of its answers somewhere
 * in the body, and then answers the same request once more, in full, on the same connection.
 */
public final class Case8 {

    private static final double SPOILED_SHARE = 0.03;
    private static final long LENGTH_MS = 60_000;

    /** The trouble lasts 5 s, and comes again a second later. */
    private static final long TROUBLE_MS = 5_000;

    private static final long PERIOD_MS = 6_000;
    private static final int CLIENTS = 16;
    private static final long PAUSE_MS = 30;

    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger SPOILED = new AtomicInteger();
    private static final AtomicInteger MIXED = new AtomicInteger();
    private static final AtomicInteger OTHERS = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]).resolve("record.txt"));
        Deployment deployment = new Deployment(Path.of(args[0]), Path.of(args[2]), record);
        int verdict = 2;
        try {
            verdict = run(deployment, record, trouble);
        } catch (Exception e) {
            record.line("the case could not run: " + e);
            e.printStackTrace();
        } finally {
            deployment.close();
        }
        record.line("exit " + verdict);
        System.exit(verdict);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<PlainRunner> runners = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            runners.add(new PlainRunner(
                    deployment.ip(111 + i), "i-%08x".formatted(6007 * (i + 1)), trouble && i == 0, record));
        }
        deployment.configureOnline("/puxa403/", "queue", runners.stream().map(PlainRunner::registration).toList());
        for (int i = 0; i < 2; i++) {
            deployment.addDaemon();
        }
        if (!deployment.startAll()) {
            return 2;
        }
        Thread.sleep(3_000);
        long untilMs = record.ms() + LENGTH_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Daemon daemon = deployment.daemons().get(i % 2);
            Random random = new Random(i);
            Thread client = new Thread(() -> {
                while (record.ms() < untilMs) {
                    send(daemon, "%016x".formatted(random.nextLong()), record);
                    try {
                        Thread.sleep(PAUSE_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line(SENT + " requests, " + WHOLE + " answered with the whole body, " + OTHERS
                + " with a failure or not; " + SPOILED + " answers were broken off, " + MIXED
                + " successes with another body reached clients");
        record.line(MIXED.get() > 0 ? "MIXED: a client got a success whose body is not the runner's" : "no answer is mixed");
        return WHOLE.get() == 0 ? 2 : MIXED.get() > 0 ? 1 : 0;
    }

    private static void send(Daemon daemon, String requestId, Record record) {
        SENT.incrementAndGet();
        Call call = Call.send(
                daemon.front(),
                "POST",
                "/puxa403/2f",
                Deployment.HOST,
                "Request-Id: " + requestId + "\r\nDeadline-Ms: 2000\r\n",
                "{}".getBytes(StandardCharsets.UTF_8),
                2_500);
        byte[] expected = body(requestId);
        if (call.status() == 200 && Arrays.equals(call.body(), expected)) {
            WHOLE.incrementAndGet();
        } else if (call.status() == 200) {
            MIXED.incrementAndGet();
            int same = Arrays.mismatch(call.body(), expected);
            record.line("answer to " + requestId + " at " + daemon.name() + ": 200, " + call.body().length + " of "
                    + expected.length + " bytes, of which the first " + same + " are right; then: "
                    + new String(call.body(), same, call.body().length - same, StandardCharsets.ISO_8859_1)
                            .replace("\r", "\\r")
                            .replace("\n", "\\n"));
        } else {
            OTHERS.incrementAndGet();
            record.line("answer to " + requestId + " at " + daemon.name() + ": " + call.status());
        }
    }

    /** Returns the body that a runner makes for a request: 400 to 1,199 bytes. */
    static byte[] body(String requestId) {
        Random random = new Random(requestId.hashCode());
        byte[] body = new byte[400 + random.nextInt(800)];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) ('a' + random.nextInt(26));
        }
        return body;
    }

    /** A runner on plain sockets. */
    private static final class PlainRunner {

        private final String id;
        private final boolean spoils;
        private final Record record;
        private final ServerSocket server;
        private final Random random = new Random();

        PlainRunner(String ip, String id, boolean spoils, Record record) throws IOException {
            this.id = id;
            this.spoils = spoils;
            this.record = record;
            server = new ServerSocket(0, 100, InetAddress.getByName(ip));
            start(this::accept);
        }

        private static void start(Runnable task) {
            Thread thread = new Thread(null, task, "runner", 256 * 1024);
            thread.setDaemon(true);
            thread.start();
        }

        String[] registration() {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            return new String[] {id, address.getAddress().getHostAddress() + ":" + address.getPort()};
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    start(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Map<String, String> head = head(in); head != null; head = head(in)) {
                    in.readNBytes(Integer.parseInt(head.getOrDefault("content-length", "0")));
                    out.write(answer(head));
                    out.flush();
                }
            } catch (IOException e) {
                // The connection has ended.
            }
        }

        private static Map<String, String> head(InputStream in) throws IOException {
            Map<String, String> head = new HashMap<>();
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            boolean first = true;
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (next != '\n') {
                    line.write(next);
                    continue;
                }
                String text = line.toString(StandardCharsets.ISO_8859_1).strip();
                line.reset();
                if (text.isEmpty()) {
                    return head;
                }
                if (first) {
                    head.put("", text);
                    first = false;
                } else {
                    int colon = text.indexOf(':');
                    head.put(text.substring(0, colon).toLowerCase(), text.substring(colon + 1).strip());
                }
            }
            return null;
        }

        private byte[] answer(Map<String, String> request) {
            if (request.get("").startsWith("GET /health")) {
                return ("HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nServer-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
            }
            String requestId = request.get("request-id");
            if (requestId == null) {
                return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1);
            }
            if (!id.equals(request.getOrDefault("target-instance", id))) {
                return ("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + requestId + "\r\nInstance-Id: " + id
                                + "\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
            }
            byte[] body = body(requestId);
            byte[] head = ("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: sig-" + requestId
                            + "\r\nServer-Load: 1,0,6\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.writeBytes(head);
            if (spoils && record.ms() % PERIOD_MS < TROUBLE_MS && random.nextDouble() < SPOILED_SHARE) {
                int sent = random.nextInt(body.length);
                SPOILED.incrementAndGet();
                record.line("runner " + id + " breaks off its answer to " + requestId + " after " + sent + " of "
                        + body.length + " bytes, and answers once more");
                answer.write(body, 0, sent);
                answer.writeBytes(head);
            }
            answer.writeBytes(body);
            return answer.toByteArray();
        }
    }
}
