package org.cornelcrank.server;

import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.cornelcrank.platform.fake.LinkFault;
import org.cornelcrank.platform.fake.LinkFault.Kind;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests daemons of which some cannot reach any target for a while, whereas callers, the store and the other daemons reach
 * them. Each kind of partition is played once, and the tests look at what was recorded.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class UnreachableTargetsEndToEndTests {

    private static final int DAEMONS = 4;
    private static final int PARTITIONED = 2;
    private static final String[] ROUTES = {"idem", "stream", "unsafe"};
    private static final Set<Integer> REFUSALS = Set.of(429, 503, 408, 421);

    /** When a partition must no longer show to callers, in ms since its beginning. */
    private static final long RECOVERY_MS = 4_000;

    private static final long PARTITION_MS = 6_000;
    private static final int REQUESTS = 30;
    private static final long PAUSE_MS = 20;
    private static final long LIMIT_MS = 20_000;
    private static final long SLOW_EVENT_MS = 300;
    private static final long EVENT_MS = 5;
    private static final String ALL_EVENTS = "1,2,3,4,5";

    private final Map<Partition, Recording> recordings = new EnumMap<>(Partition.class);

    /** What happens to the connections to all targets. */
    enum Partition {
        HANGING(new LinkFault(Kind.SILENT, Kind.HANGING)),
        REFUSED(new LinkFault(Kind.RESET, Kind.REFUSED)),
        ONLY_NEW_REFUSED(new LinkFault(Kind.SOUND, Kind.REFUSED));

        private final LinkFault fault;

        Partition(LinkFault fault) {
            this.fault = fault;
        }
    }

    /** A request and its response; {@code sentAtMs} counts from the beginning of the partition, or of the play before it. */
    private record Call(String requestId, String route, int daemon, long sentAtMs, RawResponse response, int runs) {

        boolean served() {
            return response.status() == 200
                    && response.complete()
                    && response.signature().startsWith("signed-by-")
                    && (!route.equals("stream") || events().equals(ALL_EVENTS));
        }

        String events() {
            return response.body()
                    .lines()
                    .filter(line -> line.startsWith("id: "))
                    .map(line -> line.substring(4))
                    .collect(Collectors.joining(","));
        }

        boolean partitioned() {
            return daemon < PARTITIONED;
        }

        @Override
        public String toString() {
            return "%s at host-%d, sent at %d ms: %d%s, run %d times"
                    .formatted(
                            requestId,
                            daemon,
                            sentAtMs,
                            response.status(),
                            response.complete() ? "" : " cut off",
                            runs);
        }
    }

    /**
     * What a partition did.
     *
     * @param calls the requests that were sent during the partition
     * @param running the resumable streams that ran at its beginning
     * @param ejections the targets that daemons which reach them have ejected
     * @param suspicions the daemons that suspect requests of crashing targets
     */
    private record Recording(List<Call> calls, List<Call> running, Set<String> ejections, Set<String> suspicions) {

        List<Call> partitionedAfterRecovery() {
            return calls.stream()
                    .filter(call -> call.partitioned() && call.sentAtMs() >= RECOVERY_MS)
                    .toList();
        }

        List<Call> elsewhere() {
            return calls.stream().filter(call -> !call.partitioned()).toList();
        }

        static Map<Integer, Long> statuses(List<Call> calls) {
            return calls.stream()
                    .collect(Collectors.groupingBy(
                            call -> call.response().status(), TreeMap::new, Collectors.counting()));
        }

        @Override
        public String toString() {
            return "statuses at partitioned daemons %s, from %d ms on %s, elsewhere %s, ejections %s, suspicions %s"
                    .formatted(
                            statuses(calls.stream().filter(Call::partitioned).toList()),
                            RECOVERY_MS,
                            statuses(partitionedAfterRecovery()),
                            statuses(elsewhere()),
                            ejections,
                            suspicions);
        }
    }

    /** Guards against callers who are refused as their daemon has lost its links to the targets. */
    @ParameterizedTest
    @EnumSource
    void requestsAreServedAtDaemonsThatReachNoTarget(Partition partition) throws Exception {
        Recording recording = recording(partition);

        for (int daemon = 0; daemon < PARTITIONED; daemon++) {
            int number = daemon;
            assertThat(recording.partitionedAfterRecovery().stream()
                            .filter(call ->
                                    call.daemon() == number && !call.route().equals("unsafe")))
                    .as("host-%d, %s", number, recording)
                    .hasSizeGreaterThanOrEqualTo(REQUESTS)
                    .allMatch(Call::served);
        }
    }

    /** Guards against targets that are taken out of use as other daemons cannot reach them. */
    @ParameterizedTest
    @EnumSource
    void targetsAreNotEjectedAtDaemonsThatReachThem(Partition partition) throws Exception {
        Recording recording = recording(partition);

        assertThat(recording.ejections()).as("%s", recording).isEmpty();
        assertThat(recording.elsewhere()).as("%s", recording).allMatch(Call::served);
    }

    /** Guards against sound requests that count as the cause of lost connections. */
    @ParameterizedTest
    @EnumSource
    void requestsAreNotSuspectedOfCrashesWhileTargetsAreUnreachable(Partition partition) throws Exception {
        assertThat(recording(partition).suspicions()).isEmpty();
    }

    /** Guards against requests that run again, or after they were refused, by way of another daemon. */
    @ParameterizedTest
    @EnumSource
    void requestsThatMayNotBeRepeatedRunAtMostOnceWhileTargetsAreUnreachable(Partition partition) throws Exception {
        List<Call> unsafe = recording(partition).calls().stream()
                .filter(call -> call.route().equals("unsafe"))
                .toList();

        assertThat(unsafe).allMatch(call -> call.runs() <= 1);
        assertThat(unsafe)
                .filteredOn(call -> REFUSALS.contains(call.response().status()))
                .allMatch(call -> call.runs() == 0);
    }

    /** Guards against streams that end early as their daemon has lost its link to the target. */
    @ParameterizedTest
    @EnumSource
    void resumableStreamsGoOnWhenTheirTargetBecomesUnreachable(Partition partition) throws Exception {
        Recording recording = recording(partition);

        assertThat(recording.running())
                .as("events %s", recording.running().stream().map(Call::events).toList())
                .hasSize(PARTITIONED)
                .allMatch(Call::served);
    }

    private synchronized Recording recording(Partition partition) throws Exception {
        Recording recording = recordings.get(partition);
        if (recording == null) {
            try (GatewayFleet fleet = GatewayFleet.withLinks(DAEMONS, "i-1", "i-2", "i-3")) {
                recording = new Play(fleet, partition.fault).run();
            }
            recordings.put(partition, recording);
            System.out.println(partition + ": " + recording);
        }
        return recording;
    }

    /** Plays a partition. */
    private static final class Play {

        private final GatewayFleet fleet;
        private final LinkFault fault;
        private final ExecutorService threads = Executors.newCachedThreadPool();
        private final AtomicInteger ids = new AtomicInteger();
        private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
        private final Queue<Call> running = new ConcurrentLinkedQueue<>();
        private final Set<String> ejections = new ConcurrentSkipListSet<>();
        private volatile long beganAtNanos = System.nanoTime();
        private volatile boolean ended;

        Play(GatewayFleet fleet, LinkFault fault) {
            this.fleet = fleet;
            this.fault = fault;
        }

        Recording run() throws Exception {
            try {
                for (int daemon = 0; daemon < DAEMONS; daemon++) {
                    awaitServedDirectly(daemon);
                }
                startStreams();
                beganAtNanos = System.nanoTime();
                for (int daemon = 0; daemon < PARTITIONED; daemon++) {
                    fleet.links.get(daemon).begin(fault);
                }
                threads.submit(this::watchEjections);
                for (int daemon = 0; daemon < DAEMONS; daemon++) {
                    startCaller(daemon);
                    startCaller(daemon);
                }
                while (sinceBeginMs() < PARTITION_MS || !enough() && sinceBeginMs() < LIMIT_MS) {
                    TimeUnit.MILLISECONDS.sleep(10);
                }
                Set<String> suspicions = suspicions();
                ended = true;
                for (int daemon = 0; daemon < PARTITIONED; daemon++) {
                    fleet.links.get(daemon).end(fault);
                }
                threads.shutdown();
                assertThat(threads.awaitTermination(LIMIT_MS, TimeUnit.MILLISECONDS))
                        .as("all requests end")
                        .isTrue();
                for (int daemon = 0; daemon < DAEMONS; daemon++) {
                    awaitServedDirectly(daemon);
                }
                return new Recording(withRuns(calls), withRuns(running), ejections, suspicions);
            } finally {
                threads.shutdownNow();
            }
        }

        private long sinceBeginMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganAtNanos);
        }

        /** Returns whether each partitioned daemon has responded to enough requests after the time to recover. */
        private boolean enough() {
            return Stream.iterate(0, daemon -> daemon < PARTITIONED, daemon -> daemon + 1)
                    .allMatch(daemon -> calls.stream()
                                    .filter(call -> call.daemon() == daemon
                                            && call.sentAtMs() >= RECOVERY_MS
                                            && !call.route().equals("unsafe"))
                                    .count()
                            >= REQUESTS);
        }

        /** Waits until a daemon serves as many requests in a row, all over its own connections to targets. */
        private void awaitServedDirectly(int daemon) throws IOException {
            GatewayFleet.await(() -> {
                try (KeptConnection connection = new KeptConnection(fleet.connect(daemon))) {
                    boolean direct = true;
                    for (int i = 0; direct && i < REQUESTS; i++) {
                        long before = fleet.links.get(daemon).forwardedBytes();
                        direct = call(connection, daemon, "idem", newId()).served()
                                && fleet.links.get(daemon).forwardedBytes() > before;
                    }
                    return direct;
                }
            });
        }

        /** Starts a slow stream at each daemon that is to be partitioned, and returns once it has begun. */
        private void startStreams() throws IOException, InterruptedException {
            fleet.setEventMs(SLOW_EVENT_MS);
            for (int i = 0; i < PARTITIONED; i++) {
                int daemon = i;
                String id = "running-" + daemon;
                threads.submit(() -> {
                    try (KeptConnection connection = new KeptConnection(fleet.connect(daemon))) {
                        running.add(call(connection, daemon, "stream", id));
                    }
                    return null;
                });
                GatewayFleet.await(() -> fleet.runs(id) > 0);
            }
            TimeUnit.MILLISECONDS.sleep(2 * SLOW_EVENT_MS);
            fleet.setEventMs(EVENT_MS);
        }

        private void startCaller(int daemon) {
            threads.submit(() -> {
                while (!ended) {
                    try (KeptConnection connection = new KeptConnection(fleet.connect(daemon))) {
                        boolean kept = true;
                        for (int i = 0; kept && !ended; i++) {
                            Call call = call(connection, daemon, ROUTES[i % ROUTES.length], newId());
                            calls.add(call);
                            kept = call.response().complete()
                                    && !"close".equals(call.response().headers().get("connection"));
                            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
                        }
                    }
                }
                return null;
            });
        }

        private String newId() {
            return "r-" + ids.incrementAndGet();
        }

        private Call call(KeptConnection connection, int daemon, String route, String id) throws IOException {
            long sentAtMs = sinceBeginMs();
            String body = "body of " + id;
            connection.send("POST /%s/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
                    .formatted(route, GatewayFleet.HOST, id, body.length(), body));
            return new Call(id, route, daemon, sentAtMs, connection.read(), 0);
        }

        private List<Call> withRuns(Queue<Call> recorded) {
            return recorded.stream()
                    .map(call -> new Call(
                            call.requestId(),
                            call.route(),
                            call.daemon(),
                            call.sentAtMs(),
                            call.response(),
                            fleet.runs(call.requestId())))
                    .toList();
        }

        private Void watchEjections() throws IOException, InterruptedException {
            while (!ended) {
                for (int daemon = PARTITIONED; daemon < DAEMONS; daemon++) {
                    addEjections(daemon, dump(daemon).lines().toList());
                }
                TimeUnit.MILLISECONDS.sleep(50);
            }
            return null;
        }

        private void addEjections(int daemon, List<String> dump) {
            int heading = dump.indexOf("  targets: " + fleet.runners.size());
            int column = dump.get(heading + 1).indexOf("admittedShare");
            for (String row : dump.subList(heading + 2, heading + 2 + fleet.runners.size())) {
                if (!row.substring(column).startsWith("1.0 ")) {
                    ejections.add(row.strip().split(" ")[0] + " at host-" + daemon);
                }
            }
        }

        private Set<String> suspicions() throws IOException {
            Set<String> suspicions = new TreeSet<>();
            for (int daemon = 0; daemon < DAEMONS; daemon++) {
                String host = "host-" + daemon;
                dump(daemon)
                        .lines()
                        .map(String::strip)
                        .filter(line -> line.matches("(suspects|promptParts): [1-9]\\d*"))
                        .forEach(line -> suspicions.add(host + " " + line));
            }
            return suspicions;
        }

        private String dump(int daemon) throws IOException {
            return fleet.get(fleet.metricsUri(daemon, "/dump")).body();
        }
    }
}
