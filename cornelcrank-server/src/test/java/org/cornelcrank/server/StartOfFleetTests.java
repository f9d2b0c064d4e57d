package org.cornelcrank.server;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.platform.PlatformDirectoryFormat;
import org.cornelcrank.platform.fake.RoutesStandIn;
import org.cornelcrank.routing.OnlineEnded;
import org.cornelcrank.routing.OnlineRequest;
import org.cornelcrank.routing.RequestOptions;
import org.cornelcrank.server.settings.GatewaySettings;
import org.cornelcrank.store.fake.StoreModel;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests in virtual time that daemons which have started together serve requests once they are ready, in whatever order
 * they start, know each other and read the store, and however their first attempts end.
 */
class StartOfFleetTests {

    private static final int DAEMONS = 3;
    private static final int STARTS = 100;
    private static final Location HERE = new Location(new RegionId("north"), new DataCentreId("dc-a"));
    private static final TopicPartition ROUTES = new TopicPartition("op", 0);
    private static final TopicPartition TARGETS = new TopicPartition("servers", 0);
    private static final long FINGERPRINT = 77;
    private static final long DEADLINE_MS = 4_000;
    private static final long CALLER_PAUSE_MS = 10;

    /** How long the fleet has troubles after its start, in ms. */
    private static final long TROUBLED_MS = 4_000;

    /** When a ready fleet must serve after that: a request's deadline and the longest ejection of a target, in ms. */
    private static final long SERVED_WITHIN_MS = DEADLINE_MS + 8_000;

    /** What goes wrong at the start, apart from the order of all that happens. */
    enum Trouble {
        NONE,
        LOST_MESSAGES,
        FAILING_STORE,
        FAILING_ATTEMPTS,
        ALL
    }

    private SplittableRandom random;
    private Trouble trouble;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
    private final List<Daemon> daemons = new ArrayList<>();
    private StoreModel store;
    private long nowMs;
    private long order;
    private long requests;
    private long servedAtMs;
    private final Map<String, Integer> replies = new TreeMap<>();

    private record Task(long atMs, long order, Runnable action) {}

    /** Guards against a daemon that is ready and refuses requests for long. */
    @ParameterizedTest
    @EnumSource
    void daemonsThatAreReadyServe(Trouble drawn) {
        for (long seed = 1; seed <= STARTS; seed++) {
            start(seed, drawn);
            while (!daemons.stream().allMatch(Daemon::ready) && nowMs < 60_000) {
                runNext();
            }
            assertThat(daemons).as("seed %d", seed).allMatch(Daemon::ready);
            long limitMs = Math.max(nowMs, TROUBLED_MS) + SERVED_WITHIN_MS;
            send();
            while (servedAtMs < 0 && nowMs < limitMs) {
                runNext();
            }
            assertThat(servedAtMs).as("seed %d, replies %s", seed, replies).isNotNegative();
        }
    }

    private void start(long seed, Trouble drawn) {
        random = new SplittableRandom(seed);
        trouble = drawn;
        tasks.clear();
        daemons.clear();
        replies.clear();
        nowMs = 0;
        servedAtMs = -1;
        store = new StoreModel(2);
        put(ROUTES, "config", RoutesStandIn.table(1, "idem", "unsafe"));
        put(
                TARGETS,
                "i-1",
                "{\"service\":\"svc\",\"address\":\"127.0.0.1:9000\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":4,"
                        + "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1}");
        for (int i = 0; i < DAEMONS; i++) {
            Daemon daemon = new Daemon(i, random.nextLong(0, 20_000));
            daemons.add(daemon);
            at(drawn(0, 2_500), daemon::start);
        }
    }

    private void put(TopicPartition topic, String key, String value) {
        KeyedRecord entry = new KeyedRecord(key, ByteString.copyFromUtf8(value));
        store.handle(new StoreRequest.Append(topic, List.of(entry), Optional.empty(), 0), 0);
    }

    /** Draws mostly short times, and sometimes long ones. */
    private long drawn(long leastMs, long mostMs) {
        long limitMs = random.nextInt(4) > 0 ? leastMs + (mostMs - leastMs) / 20 : mostMs;
        return random.nextLong(leastMs, limitMs + 1);
    }

    private boolean goesWrong(Trouble kind, int oneOf) {
        return (trouble == kind || trouble == Trouble.ALL) && nowMs < TROUBLED_MS && random.nextInt(oneOf) == 0;
    }

    private void at(long atMs, Runnable action) {
        tasks.add(new Task(Math.max(atMs, nowMs), order++, action));
    }

    private void runNext() {
        Task task = tasks.remove();
        nowMs = task.atMs;
        task.action.run();
    }

    private void send() {
        Daemon daemon = daemons.get(0);
        GatewayRoute route = daemon.assembly.routes().table().orElseThrow().routes().stream()
                .filter(candidate -> candidate.name().equals("r-idem"))
                .findFirst()
                .orElseThrow();
        OnlineRequest request = new OnlineRequest(
                route.team(),
                route.serviceFor(FINGERPRINT),
                route.urgency(),
                daemon.clockMs() + DEADLINE_MS,
                route.repeatable(),
                false,
                List.of(),
                List.of(),
                FINGERPRINT,
                0,
                false,
                new RequestOptions(
                        route.maxAttempts(),
                        false,
                        route.latencyObjectiveMs(),
                        Optional.empty(),
                        Optional.of(daemon.assembly.routes().policy(route))));
        RequestId id = new RequestId(daemon.identity.host(), daemon.identity.incarnation(), ++requests);
        daemon.post(new Event.CommandReceived(id, new Caller(route.team(), "warm-up", Caller.Scope.CALLER), request));
    }

    private void replied(CallerReply reply) {
        replies.merge(reply.toString(), 1, Integer::sum);
        if (reply instanceof OnlineEnded) {
            servedAtMs = nowMs;
        } else {
            at(nowMs + CALLER_PAUSE_MS, this::send);
        }
    }

    /** A daemon's decision core; its clock is ahead of the others, and it stands still from time to time. */
    private final class Daemon {

        private final DaemonIdentity identity;
        private final GatewayAssembly assembly;
        private final long clockAheadMs;
        private final Map<TimerKey, Long> timers = new HashMap<>();
        private final Map<HostId, Long> lastArrivalMs = new HashMap<>();
        private final Set<Long> storeCalls = new HashSet<>();
        /** The attempts that run, and whether their target is silent. */
        private final Map<AttemptId, Boolean> attempts = new HashMap<>();

        private boolean started;
        private long busyUntilMs;
        private long timerNumber;

        Daemon(int index, long clockAheadMs) {
            this.clockAheadMs = clockAheadMs;
            HostId host = new HostId("host-" + index);
            InetSocketAddress address = InetSocketAddress.createUnresolved("127.0.0.1", 8_000 + index);
            identity = new DaemonIdentity(host, 1_000_000 + clockAheadMs, HERE, "127.0.0.1:" + address.getPort());
            GatewaySettings settings = new GatewaySettings(
                    "test",
                    host,
                    HERE,
                    Map.of(HERE.dataCentre(), HERE.region()),
                    address,
                    address,
                    address,
                    Optional.empty(),
                    address,
                    2,
                    262_144,
                    2_097_152,
                    "test",
                    "least-loaded",
                    100,
                    2_000,
                    120_000,
                    25,
                    25,
                    "json",
                    random.nextLong());
            assembly = GatewayAssembly.assemble(
                    settings, identity, new PlatformDirectoryFormat(new ObjectMapper()), new MetricRegistry());
        }

        long clockMs() {
            return 1_000_000 + clockAheadMs + nowMs;
        }

        boolean ready() {
            return started && assembly.routes().ready();
        }

        void start() {
            started = true;
            post(new Event.Started());
        }

        /** Handles an event in its turn, once the daemon does not stand still. */
        void post(Event event) {
            if (random.nextInt(200) == 0) {
                busyUntilMs = Math.max(busyUntilMs, nowMs + drawn(0, 800));
            }
            at(busyUntilMs, () -> handle(event));
        }

        private void handle(Event event) {
            if (nowMs < busyUntilMs) {
                at(busyUntilMs, () -> handle(event));
                return;
            }
            assembly.core().on(event, clockMs()).forEach(this::execute);
        }

        private void execute(Effect effect) {
            if (effect instanceof Effect.Schedule timer) {
                long number = ++timerNumber;
                timers.put(timer.key(), number);
                at(timer.dueAtMs() - clockMs() + nowMs, () -> timerDue(timer.key(), number));
            } else if (effect instanceof Effect.Unschedule timer) {
                timers.remove(timer.key());
            } else if (effect instanceof Effect.Send send) {
                send(send);
            } else if (effect instanceof Effect.CallStore call) {
                storeCalls.add(call.number());
                at(nowMs + drawn(1, 300), () -> callStore(call, nowMs));
            } else if (effect instanceof Effect.CancelStoreCall call) {
                storeCalls.remove(call.number());
            } else if (effect instanceof Effect.Dispatch dispatch) {
                dispatch(dispatch);
            } else if (effect instanceof Effect.CancelAttempt cancel) {
                end(cancel.attempt(), failed(FailureKind.CANCELLED, Verdict.MAY_HAVE_RUN));
            } else if (effect instanceof Effect.AbandonAttempt abandon) {
                if (attempts.getOrDefault(abandon.attempt(), false)) {
                    end(abandon.attempt(), failed(FailureKind.PATH_LOST, Verdict.MAY_HAVE_RUN));
                }
            } else if (effect instanceof Effect.ProbeTarget probe) {
                boolean reachable = !goesWrong(Trouble.FAILING_ATTEMPTS, 2);
                at(
                        nowMs + drawn(0, 200),
                        () -> post(new Event.TargetProbed(probe.target(), probe.address(), reachable)));
            } else if (effect instanceof Effect.Reply reply) {
                replied(reply.reply());
            } else if (effect instanceof Effect.HandlingFailed failed) {
                throw new AssertionError(failed.toString(), failed.cause());
            }
        }

        private void timerDue(TimerKey key, long number) {
            if (nowMs < busyUntilMs) {
                at(busyUntilMs, () -> timerDue(key, number));
            } else if (timers.remove(key, number)) {
                handle(new Event.TimerDue(key));
            }
        }

        private void send(Effect.Send send) {
            Daemon receiver = daemons.stream()
                    .filter(daemon -> daemon.identity.host().equals(send.to()))
                    .findFirst()
                    .orElseThrow();
            if (!receiver.started || goesWrong(Trouble.LOST_MESSAGES, 3)) {
                return;
            }
            long arrivesAtMs = nowMs + drawn(0, 300);
            if (send.delivery() == Effect.Delivery.CONNECTION) {
                arrivesAtMs = Math.max(arrivesAtMs, lastArrivalMs.getOrDefault(send.to(), 0L));
                lastArrivalMs.put(send.to(), arrivesAtMs);
            }
            Event event = new Event.PeerMessageReceived(identity.host(), send.message());
            at(arrivesAtMs, () -> receiver.post(event));
        }

        private void callStore(Effect.CallStore call, long sentAtMs) {
            if (goesWrong(Trouble.FAILING_STORE, 3)) {
                responded(call.number(), new StoreResponse.Unknown("lost"));
                return;
            }
            Optional<StoreResponse> response = store.handle(call.request(), nowMs);
            if (response.isPresent()) {
                responded(call.number(), response.get());
                return;
            }
            StoreRequest.Read read = (StoreRequest.Read) call.request();
            if (nowMs - sentAtMs >= read.waitMs()) {
                responded(call.number(), store.emptyRead(read));
            } else if (storeCalls.contains(call.number())) {
                at(nowMs + 5, () -> callStore(call, sentAtMs));
            }
        }

        private void responded(long number, StoreResponse response) {
            at(nowMs + drawn(0, 300), () -> {
                if (storeCalls.remove(number)) {
                    post(new Event.StoreResponded(number, response));
                }
            });
        }

        private void dispatch(Effect.Dispatch dispatch) {
            AttemptId attempt = dispatch.attempt();
            boolean silent = goesWrong(Trouble.FAILING_ATTEMPTS, 3);
            attempts.put(attempt, silent);
            at(nowMs + dispatch.timeoutMs(), () -> end(attempt, failed(FailureKind.TIMED_OUT, Verdict.MAY_HAVE_RUN)));
            if (silent) {
                at(nowMs + 300, () -> reportSilence(attempt));
                at(nowMs + 2_000, () -> end(attempt, failed(FailureKind.TIMED_OUT, Verdict.MAY_HAVE_RUN)));
            } else if (goesWrong(Trouble.FAILING_ATTEMPTS, 2)) {
                FailureKind kind = dispatch.relay().isPresent() ? FailureKind.RELAY_FAILED : drawnFailure();
                Verdict verdict = kind == FailureKind.CONNECTION_LOST || kind == FailureKind.TARGET_GONE
                        ? Verdict.MAY_HAVE_RUN
                        : Verdict.NOT_RUN;
                at(nowMs + drawn(0, 500), () -> end(attempt, failed(kind, verdict)));
            } else {
                at(nowMs + drawn(1, 900), () -> {
                    if (attempts.containsKey(attempt)) {
                        post(new Event.AttemptStarted(attempt));
                        end(attempt, new AttemptOutcome.Succeeded(200, "", ByteString.EMPTY, 0));
                    }
                });
            }
        }

        private FailureKind drawnFailure() {
            FailureKind[] kinds = {FailureKind.CONNECTION_REFUSED, FailureKind.CONNECTION_LOST, FailureKind.TARGET_GONE
            };
            return kinds[random.nextInt(kinds.length)];
        }

        private void reportSilence(AttemptId attempt) {
            if (attempts.containsKey(attempt)) {
                post(new Event.AttemptSilent(attempt));
                at(nowMs + 300, () -> reportSilence(attempt));
            }
        }

        private void end(AttemptId attempt, AttemptOutcome outcome) {
            if (attempts.remove(attempt) != null) {
                post(new Event.AttemptEnded(attempt, outcome));
            }
        }

        private static AttemptOutcome.Failed failed(FailureKind kind, Verdict verdict) {
            return new AttemptOutcome.Failed(verdict, kind, 0, 0, false, 0, ByteString.EMPTY, "");
        }

        @Override
        public String toString() {
            return identity.host() + (ready() ? " is ready" : " is not ready");
        }
    }
}
