package org.cornelcrank.server.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.cornelcrank.platform.fake.LinkFault;
import org.cornelcrank.platform.fake.LinkFault.Kind;
import org.cornelcrank.platform.fake.RawRunnerStandIn;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.cornelcrank.platform.fake.TargetLinks;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests requests that may not be repeated while the daemon that relays them ends or falls silent. Each daemon runs in a
 * process of its own; one of three cannot reach the target.
 */
class RelayLossEndToEndTests {

    private static final int DAEMONS = 3;
    private static final int PARTITIONED = 0;
    private static final int LATER_REQUESTS = 10;
    private static final long HANG_LIMIT_S = 60;
    private static final String DEADLINE_MS = "4000";
    private static final LinkFault OUT_OF_REACH = new LinkFault(Kind.RESET, Kind.REFUSED);

    /** Recognizes the connection that carries it. */
    private static final String LONG_BODY = "x".repeat(90_000);

    /** The statuses that promise that the request has not run and never will. */
    private static final Set<Integer> NOT_RUN = Set.of(429, 503, 408, 421);

    /** The statuses of a failure that promises nothing; 0 stands for a connection that closes without a response. */
    private static final Set<Integer> FAILED = Set.of(502, 504, 0);

    private final List<DaemonProgram> daemons = new ArrayList<>();
    private final List<TargetLinks> links = new ArrayList<>();
    private final CountDownLatch released = new CountDownLatch(1);

    @TempDir
    private Path logs;

    private StoreStandIn store;
    private RawRunnerStandIn runner;

    /** How the relay is lost. */
    enum Loss {
        TERMINATED {
            @Override
            void begin(DaemonProgram relay) {
                relay.end(DaemonProgram.End.TERMINATE);
            }
        },
        KILLED {
            @Override
            void begin(DaemonProgram relay) {
                relay.end(DaemonProgram.End.KILL);
            }
        },
        SILENT {
            @Override
            void begin(DaemonProgram relay) throws IOException, InterruptedException {
                relay.freeze();
            }
        };

        abstract void begin(DaemonProgram relay) throws IOException, InterruptedException;
    }

    @BeforeEach
    void start() throws IOException, InterruptedException {
        runner = new RawRunnerStandIn("i-1", (request, response) -> {
            if (request.id().equals("held")) {
                released.await();
            }
            response.whole(request, "done");
        });
        store = new StoreStandIn(2);
        store.put("op", "config", RoutesStandIn.table(1, "idem", "unsafe"));
        store.put("servers", runner.id(), runner.entry("svc", "dc-a"));
        for (int i = 0; i < DAEMONS; i++) {
            String host = "host-" + i;
            links.add(new TargetLinks());
            daemons.add(new DaemonProgram(host, store.addressFor(host, links.get(i)), 2, logs));
            daemons.get(i).start();
        }
        for (DaemonProgram daemon : daemons) {
            daemon.awaitReady();
        }
        await(() -> status("idem", "warm-up", "x") == 200);
    }

    @AfterEach
    void stop() {
        released.countDown();
        daemons.forEach(DaemonProgram::close);
        links.forEach(TargetLinks::close);
        runner.close();
        store.close();
    }

    /** Guards against a request that runs twice, or counts as not run, as its relay is lost. */
    @ParameterizedTest
    @EnumSource
    void requestThatMayNotBeRepeatedRunsOnceAndFailsVisiblyWhenItsRelayIsLost(Loss loss) throws Exception {
        links.get(PARTITIONED).begin(OUT_OF_REACH);
        await(() -> status("idem", "relayed", "x") == 200);
        CompletableFuture<Integer> held = CompletableFuture.supplyAsync(() -> status("unsafe", "held", LONG_BODY));
        await(() -> runner.requests() > 0 && runner.runs("held") == 1 && relay() > PARTITIONED);

        loss.begin(daemons.get(relay()));

        assertThat(held.get(HANG_LIMIT_S, TimeUnit.SECONDS)).isIn(FAILED);
        released.countDown();
        for (int i = 0; i < LATER_REQUESTS; i++) {
            String id = "later-" + i;
            int status = status("unsafe", id, "x");
            assertThat(runner.runs(id)).as("%s: %d", id, status).isLessThanOrEqualTo(1);
            assertThat(NOT_RUN.contains(status) && runner.runs(id) > 0)
                    .as("%s: %d, run %d times", id, status, runner.runs(id))
                    .isFalse();
        }
        await(() -> status("unsafe", "served-" + System.nanoTime(), "x") == 200);
        assertThat(runner.runs("held")).isEqualTo(1);
    }

    /** Returns the daemon that has sent the long body to the target, 0 if there is none. */
    private int relay() {
        for (int i = 1; i < DAEMONS; i++) {
            if (links.get(i).forwardedBytes() > LONG_BODY.length()) {
                return i;
            }
        }
        return PARTITIONED;
    }

    /** Sends a request to the daemon that cannot reach the target, and returns the status of its response. */
    private int status(String route, String id, String body) {
        try (CallerConnection connection =
                new CallerConnection(daemons.get(PARTITIONED).port())) {
            return connection
                    .exchange(
                            "POST /" + route + "/1 HTTP/1.1\r\nHost: " + RoutesStandIn.HOST + "\r\nRequest-Id: " + id
                                    + "\r\nDeadline-Ms: " + DEADLINE_MS + "\r\nContent-Length: " + body.length()
                                    + "\r\n\r\n",
                            body)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    private void await(BooleanSupplier condition) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_LIMIT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > untilNanos) {
                throw new AssertionError("the condition did not hold within " + HANG_LIMIT_S + " s; the target got "
                        + runner.requests() + " requests\n"
                        + daemons.stream().map(DaemonProgram::report).collect(Collectors.joining("\n")));
            }
            Thread.sleep(10);
        }
    }
}
