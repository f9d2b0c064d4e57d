package org.cornelcrank.server.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.platform.PlatformDialect;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.PeerIdentity;
import org.cornelcrank.server.peer.PeerSecurity;
import org.cornelcrank.server.peer.RelayClient;
import org.cornelcrank.server.peer.SharedKey;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

/** Dispatches attempts that fail before anything is sent; guards against attempts that never end. */
class GatewayTargetClientTests {

    private static final long HANG_LIMIT_S = 30;
    private static final HostId HOST = new HostId("host");
    private static final String ADDRESS = "127.0.0.1:9";

    private final ExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private final LoopResources loops = LoopResources.create("test", 1, true);
    private final List<Event.AttemptEnded> ended = new ArrayList<>();
    private final MonotonicClock clock = new MonotonicClock();
    private final MetricRegistry metrics = new MetricRegistry();
    private final DaemonIdentity identity =
            new DaemonIdentity(HOST, 1, new Location(new RegionId("region"), new DataCentreId("dc")), "127.0.0.1:1");
    private final CoreLoop loop = new CoreLoop(
            new DaemonCore(List.of(new EndRecorder(ended)), new DecisionJournal(1, 1), dispatch -> {}),
            clock,
            Schedulers.fromExecutorService(thread, "shared"),
            metrics);
    private final GatewayTargetClient client = new GatewayTargetClient(
            loop,
            new GatewayCalls(identity, loop, clock, new OpenRequests(metrics), metrics),
            new PlatformDialect(),
            clock,
            new TargetConnections(
                    loops,
                    new RelayClient(
                            new PeerSecurity(
                                    new PeerIdentity("test", HOST, 1), new SharedKey("secret"), Optional.empty()),
                            relay -> Optional.empty()),
                    TargetConnections.CONNECT_TIMEOUT_MS,
                    loop.scheduler(),
                    clock,
                    metrics),
            MemoryLimit.ofResponses(TargetConnections.MAX_RESPONSE_BYTES, metrics),
            metrics);

    @AfterEach
    void end() {
        thread.shutdownNow();
        loops.dispose();
    }

    @Test
    void attemptForACallerThatHasDisconnectedEndsAsNotRun() throws Exception {
        dispatch(ADDRESS, new DispatchSource.FromCaller(new RequestId(HOST, 1, 1)));
        assertEndedOnceAsNotRun();
    }

    @ParameterizedTest
    @CsvSource({"127.0.0.1:80800", "127.0.0.1", "nowhere", "999.0.0.1:80"})
    void attemptAtAnAddressThatCannotBeReadEndsAsNotRun(String address) throws Exception {
        dispatch(address, item(Map.of(), "/path"));
        assertEndedOnceAsNotRun();
    }

    @Test
    void attemptWhoseHeadersCannotBeSentEndsAsNotRun() throws Exception {
        dispatch(ADDRESS, item(Map.of("Model", "m\r\nInjected: yes"), "/path"));
        assertEndedOnceAsNotRun();
    }

    private static DispatchSource item(Map<String, String> headers, String path) {
        return new DispatchSource.Prepared("item", "a.example", "POST", path, headers, ByteString.EMPTY, 0);
    }

    private void dispatch(String address, DispatchSource source) throws Exception {
        Effect.Dispatch dispatch = new Effect.Dispatch(
                new AttemptId(HOST, 1, 1),
                new TargetId("target"),
                address,
                Optional.empty(),
                source,
                Optional.empty(),
                1_000);
        thread.submit(() -> client.run(dispatch)).get(HANG_LIMIT_S, TimeUnit.SECONDS);
        thread.submit(() -> {}).get(HANG_LIMIT_S, TimeUnit.SECONDS);
    }

    private void assertEndedOnceAsNotRun() {
        assertThat(ended)
                .extracting(event -> ((AttemptOutcome.Failed) event.outcome()).verdict())
                .containsExactly(Verdict.NOT_RUN);
    }

    private record EndRecorder(List<Event.AttemptEnded> ended) implements StateMachine {

        @Override
        public String name() {
            return "recorder";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            if (event instanceof Event.AttemptEnded attempt) {
                ended.add(attempt);
            }
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }
}
