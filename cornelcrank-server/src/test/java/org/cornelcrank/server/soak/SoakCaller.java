package org.cornelcrank.server.soak;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.cornelcrank.platform.fake.ResponseChecker.Attempt;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.server.soak.CallerConnection.Reply;

/**
 * A caller that sends one request after the other on a connection, and keeps it until its daemon is gone.
 *
 * <p>Not thread-safe, but for the queue of its attempts.
 */
final class SoakCaller implements Runnable {

    private static final String[] ROUTES = {"idem", "unsafe", "unsafe", "stream", "stream", "once", "stream-once"};
    private static final int MAX_EVENTS = 8;
    private static final int MAX_FILLER = 200;
    private static final int MAX_PAUSE_MS = 5;
    private static final long PAUSE_WITHOUT_DAEMON_MS = 50;

    private final String name;
    private final Random random;
    private final List<DaemonProgram> daemons;
    private final Queue<Attempt> attempts;
    private final BooleanSupplier stopped;
    private final AtomicInteger requests = new AtomicInteger();
    private int daemon;
    private CallerConnection connection;

    SoakCaller(
            String name,
            long seed,
            List<DaemonProgram> daemons,
            int daemon,
            Queue<Attempt> attempts,
            BooleanSupplier stopped) {
        this.name = name;
        this.random = new Random(seed);
        this.daemons = daemons;
        this.daemon = daemon;
        this.attempts = attempts;
        this.stopped = stopped;
    }

    @Override
    public void run() {
        try {
            while (!stopped.getAsBoolean()) {
                if (connect()) {
                    call();
                    Thread.sleep(random.nextInt(MAX_PAUSE_MS));
                } else {
                    Thread.sleep(PAUSE_WITHOUT_DAEMON_MS);
                }
            }
            disconnect();
        } catch (IOException e) {
            throw new IllegalStateException("closing a connection must not fail", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Goes to the next daemon where the present one cannot be reached. */
    private boolean connect() throws IOException {
        if (connection != null && connection.usable()) {
            return true;
        }
        disconnect();
        try {
            connection = new CallerConnection(daemons.get(daemon).port());
            return true;
        } catch (IOException e) {
            daemon = (daemon + 1) % daemons.size();
            return false;
        }
    }

    private void disconnect() throws IOException {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void call() throws IOException {
        String route = ROUTES[random.nextInt(ROUTES.length)];
        boolean events = route.contains("stream") || route.equals("once");
        String path = "/" + route + (events ? "/stream/" + (1 + random.nextInt(MAX_EVENTS)) : "/1");
        Attempt attempt = send(route, path, 0);
        int received = attempt.body().split("\n\n", -1).length - 1;
        if (route.equals("stream") && attempt.status() == 200 && !attempt.complete() && received > 0 && connect()) {
            send(route, path, received);
        }
    }

    private Attempt send(String route, String path, int resumedAfter) {
        String id = name + "-" + requests.incrementAndGet();
        String body = "body of " + id + "x".repeat(random.nextInt(MAX_FILLER));
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + RoutesStandIn.HOST + "\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 8000\r\nContent-Length: " + body.length() + "\r\n"
                + (resumedAfter > 0 ? "Last-Event-Id: " + resumedAfter + "\r\n" : "") + "\r\n";
        long atMs = System.currentTimeMillis();
        Reply reply = connection.exchange(head, body);
        boolean repeatable = !route.equals("unsafe") && !route.equals("once");
        Attempt attempt = new Attempt(
                id,
                path,
                body,
                repeatable,
                resumedAfter,
                reply.status(),
                reply.headers().get("response-signature"),
                reply.body(),
                reply.complete(),
                reply.fault(),
                daemons.get(daemon).host(),
                atMs);
        attempts.add(attempt);
        return attempt;
    }
}
