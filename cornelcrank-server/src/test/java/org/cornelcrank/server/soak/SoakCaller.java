package org.cornelcrank.server.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.cornelcrank.platform.fake.ResponseChecker.Attempt;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.server.soak.CallerConnection.Reply;

/**
 * A caller that sends one request after the other on a connection, and keeps it until its daemon is gone.
 *
 * <p>While daemons are out of step, it only sends streams that may be taken up, and takes them up at these daemons.
 *
 * <p>Not thread-safe, but for the queue of its attempts and resets.
 */
final class SoakCaller implements Runnable {

    private static final String[] ROUTES = {"idem", "unsafe", "unsafe", "stream", "stream", "once", "stream-once"};
    private static final int MAX_FILLER = 200;
    private static final int MAX_TAKE_UPS = 4;
    private static final int OK = 200;
    private static final int REFUSED = 503;
    private static final int MAX_PAUSE_MS = 5;
    private static final long PAUSE_WITHOUT_DAEMON_MS = 50;

    private final String name;
    private final Random random;
    private final SoakShape shape;
    private final List<DaemonProgram> daemons;
    private final Queue<Attempt> attempts;
    private final BooleanSupplier stopped;
    private final Supplier<List<Integer>> outOfStep;
    private final AtomicInteger requests = new AtomicInteger();
    private volatile int daemon;
    private volatile CallerConnection connection;

    SoakCaller(
            int number,
            long seed,
            SoakShape shape,
            List<DaemonProgram> daemons,
            Queue<Attempt> attempts,
            BooleanSupplier stopped,
            Supplier<List<Integer>> outOfStep) {
        this.name = "caller-" + number;
        this.random = new Random(seed);
        this.shape = shape;
        this.daemons = daemons;
        this.daemon = number % daemons.size();
        this.attempts = attempts;
        this.stopped = stopped;
        this.outOfStep = outOfStep;
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

    private void call() throws IOException, InterruptedException {
        String route = outOfStep.get().isEmpty() ? ROUTES[random.nextInt(ROUTES.length)] : "stream";
        boolean events = route.contains("stream") || route.equals("once");
        String path = "/" + route + (events ? "/stream/" + (1 + random.nextInt(shape.maxEvents())) : "/1");
        boolean leavesEarly = route.equals("stream") && shape.readers() > 0 && random.nextInt(4) == 0;
        int wanted = leavesEarly ? 1 + random.nextInt(shape.maxEvents()) : Integer.MAX_VALUE;
        Attempt attempt = send(route, path, "", 0, wanted);
        pauseAfterRefusal(attempt);
        int received = events(attempt);
        if (route.equals("stream") && attempt.status() == 200 && !attempt.complete() && received > 0) {
            takeUp(path, attempt.requestId(), received);
        }
    }

    /** Ends the connection, unless it is one to these daemons. */
    void resetUnlessAt(List<Integer> excepted) {
        CallerConnection present = connection;
        if (present != null && !excepted.contains(daemon)) {
            try {
                present.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private void pauseAfterRefusal(Attempt attempt) throws InterruptedException {
        if (attempt.status() == REFUSED) {
            Thread.sleep(shape.refusalPauseMs());
        }
    }

    /** Takes a stream up at another daemon, while the first one may still send, until it is complete. */
    private void takeUp(String path, String first, int received) throws IOException, InterruptedException {
        CallerConnection former = connection;
        connection = null;
        int has = received;
        try {
            for (int tries = 0; tries < MAX_TAKE_UPS; tries++) {
                List<Integer> preferred = outOfStep.get();
                daemon = preferred.isEmpty()
                        ? random.nextInt(daemons.size())
                        : preferred.get(random.nextInt(preferred.size()));
                disconnect();
                if (connect()) {
                    Attempt attempt = send("stream", path, first, has, Integer.MAX_VALUE);
                    if (attempt.complete() && attempt.status() == OK) {
                        return;
                    }
                    has += attempt.status() == OK ? events(attempt) : 0;
                    pauseAfterRefusal(attempt);
                }
            }
        } finally {
            former.close();
        }
    }

    private static int events(Attempt attempt) {
        return attempt.body().split("\n\n", -1).length - 1;
    }

    private Attempt send(String route, String path, String resumes, int resumedAfter, int wantedEvents) {
        String id = name + "-" + requests.incrementAndGet();
        String body = "body of " + id + "x".repeat(random.nextInt(MAX_FILLER));
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + RoutesStandIn.HOST + "\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 8000\r\nContent-Length: " + body.length() + "\r\n"
                + (resumedAfter > 0 ? "Last-Event-Id: " + resumedAfter + "\r\nResumes: " + resumes + "\r\n" : "")
                + "\r\n";
        long atMs = System.currentTimeMillis();
        Reply reply = connection.exchange(head, body, wantedEvents);
        boolean repeatable = !route.equals("unsafe") && !route.equals("once");
        Attempt attempt = new Attempt(
                id,
                path,
                body,
                repeatable,
                resumes,
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
