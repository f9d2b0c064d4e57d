package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;

import org.cornelcrank.core.Location;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays online requests with peaks and batch jobs at 12 daemons and 6 targets, some of which limit the rate of requests
 * that they accept from all daemons together.
 */
class RateLimitTests {

    private static final int DAEMONS = 12;
    private static final int TARGETS = 6;
    private static final int LIMITED = 4;
    private static final int TOKENS = 35;
    private static final int ITEM_TOKENS = 242;
    private static final double REQUESTS_PER_SECOND = 3;
    private static final long STEP_MS = 5;
    private static final long PERIOD_MS = 6_000;
    private static final long PEAK_MS = 2_400;
    private static final long DEADLINE_MS = 5_000;
    private static final long OBJECTIVE_MS = 300;

    /** How long the daemons may take to apply a limit. */
    private static final long SPREAD_MS = 4_000;

    private static final long WINDOW_MS = 4_000;
    private static final double TOLERANCE = 1.5;
    private static final int TOLERATED_REQUESTS = 5;
    private static final long SHORT_PAUSE_MS = 60;

    private final List<SentRequest> requests = new ArrayList<>();
    private SplittableRandom random;
    private VirtualFleet fleet;
    private long lastFingerprint;

    private void start(long seed) {
        random = new SplittableRandom(seed);
        fleet = new VirtualFleet(seed);
        fleet.requestOptions = new RequestOptions(2, true, OBJECTIVE_MS);
        for (int i = 0; i < TARGETS; i++) {
            fleet.addEngine("r" + i, i < TARGETS / 2 ? VirtualFleet.NORTH : VirtualFleet.SOUTH, 8, 20, 20);
        }
        List<Location> locations = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            locations.add(i % 2 == 0 ? VirtualFleet.NORTH : VirtualFleet.SOUTH);
        }
        fleet.start(
                locations,
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        RoutingPolicy.defaults().selector(),
                        RoutingPolicy.defaults().admission()));
    }

    private void startInOneDataCentre() {
        fleet = new VirtualFleet(1);
        fleet.requestOptions = new RequestOptions(2, true, OBJECTIVE_MS);
        fleet.addEngine("r1", VirtualFleet.NORTH, 8, 20, 20);
        fleet.addEngine("r2", VirtualFleet.NORTH, 8, 20, 20);
        fleet.start(
                List.of(VirtualFleet.NORTH, VirtualFleet.NORTH, VirtualFleet.NORTH, VirtualFleet.NORTH),
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        RoutingPolicy.defaults().selector(),
                        RoutingPolicy.defaults().admission()));
    }

    /** Sends {@code perSecond} requests a second on average, 1.9 times as many in 2.4 of every 6 s. */
    private void play(long spanMs, double perSecond) {
        long endMs = fleet.nowMs + spanMs;
        while (fleet.nowMs < endMs) {
            boolean peak = fleet.nowMs % PERIOD_MS < PEAK_MS;
            playSteadily(STEP_MS, perSecond * (peak ? 1.9 : 0.4));
        }
    }

    private void playSteadily(long spanMs, double perSecond) {
        long endMs = fleet.nowMs + spanMs;
        while (fleet.nowMs < endMs) {
            if (random.nextDouble() < perSecond * STEP_MS / 1_000) {
                Work work = Work.online(TOKENS, ++lastFingerprint)
                        .withDeadline(DEADLINE_MS)
                        .withPrefixes(List.of(1L, 2L + random.nextInt(40)));
                requests.add(fleet.send(random.nextInt(DAEMONS), work));
            }
            fleet.run(STEP_MS);
        }
    }

    private void startJobs() {
        for (int daemon = 0; daemon < DAEMONS; daemon += 4) {
            new BatchOwnerModel(
                            fleet.nodes.get(daemon),
                            "job" + daemon,
                            "/nilavu/summaries",
                            400,
                            ITEM_TOKENS,
                            fleet.nowMs + 60_000)
                    .start(fleet.nowMs);
        }
    }

    private List<EngineModel> limited() {
        return fleet.engines.values().stream().limit(LIMITED).toList();
    }

    private void limit(double requestsPerSecond) {
        limited().forEach(engine -> engine.maxRequestsPerSecond = OptionalDouble.of(requestsPerSecond));
    }

    private void assertLimitHolds(long fromMs, double requestsPerSecond) {
        double allowed = TOLERANCE * requestsPerSecond * WINDOW_MS / 1_000 + TOLERATED_REQUESTS;
        for (EngineModel engine : limited()) {
            List<Long> arrivals =
                    engine.arrivalsAtMs.stream().filter(atMs -> atMs >= fromMs).toList();
            for (long windowMs : arrivals) {
                long inWindow = arrivals.stream()
                        .filter(atMs -> atMs >= windowMs && atMs < windowMs + WINDOW_MS)
                        .count();
                assertThat(inWindow)
                        .as("requests to %s in %d ms from %d", engine.id, WINDOW_MS, windowMs - fromMs)
                        .isLessThanOrEqualTo((long) allowed);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void limitedTargetsGetNoMoreRequestsFromAllDaemonsThanTheyAccept(long seed) {
        start(seed);
        startJobs();
        play(6_000, 28);
        limit(REQUESTS_PER_SECOND);
        long limitedAtMs = fleet.nowMs;
        play(30_000, 28);
        assertLimitHolds(limitedAtMs + SPREAD_MS, REQUESTS_PER_SECOND);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void limitHoldsWhileTheControllersOfTheTargetsAreLost(long seed) {
        start(seed);
        startJobs();
        play(6_000, 28);
        limit(REQUESTS_PER_SECOND);
        long limitedAtMs = fleet.nowMs;
        play(6_000, 28);
        for (int killed = 1; killed < DAEMONS; killed += 3) {
            fleet.killDaemon(killed, 2_000);
            play(5_000, 28);
        }
        assertLimitHolds(limitedAtMs + SPREAD_MS, REQUESTS_PER_SECOND);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void limitedTargetsAreUsedAsFarAsTheirLimitAllows(long seed) {
        start(seed);
        fleet.engines.values().forEach(engine -> engine.maxRequestsPerSecond = OptionalDouble.of(REQUESTS_PER_SECOND));
        playSteadily(10_000, 28);
        long fromMs = fleet.nowMs;
        playSteadily(20_000, 28);
        for (EngineModel engine : fleet.engines.values()) {
            long arrived =
                    engine.arrivalsAtMs.stream().filter(atMs -> atMs >= fromMs).count();
            assertThat(arrived / 20.0).isGreaterThan(0.9 * REQUESTS_PER_SECOND);
        }
        assertLimitHolds(fromMs, REQUESTS_PER_SECOND);
    }

    /** What fits nowhere is refused early, so that its caller can go on. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsBeyondAllLimitsAreRefusedAtOnceAsNotRun(long seed) {
        start(seed);
        fleet.engines.values().forEach(engine -> engine.maxRequestsPerSecond = OptionalDouble.of(1));
        playSteadily(10_000, 28);
        requests.clear();
        playSteadily(20_000, 28);
        fleet.run(DEADLINE_MS);
        List<SentRequest> refused =
                requests.stream().filter(request -> !request.completed()).toList();
        assertThat(refused).hasSizeGreaterThan(requests.size() / 2);
        assertThat(refused)
                .allMatch(request -> ((Refusal) request.reply).verdict().equals(Verdict.NOT_RUN));
        assertThat(refused).allMatch(request -> ((Refusal) request.reply).retryAfterMs() > 0);
        assertThat(refused).allMatch(request -> request.endedAtMs - request.sentAtMs < DEADLINE_MS / 2);
        long heldPastObjective = refused.stream()
                .filter(request -> request.endedAtMs - request.sentAtMs > OBJECTIVE_MS)
                .count();
        assertThat(heldPastObjective).isLessThanOrEqualTo(refused.size() / 10);
    }

    @Test
    void limitThatIsNoLongerStatedEndsAndAChangedOneIsFollowed() {
        start(1);
        play(6_000, 28);
        limit(REQUESTS_PER_SECOND);
        play(10_000, 28);
        limit(REQUESTS_PER_SECOND / 3);
        long loweredAtMs = fleet.nowMs;
        play(10_000, 28);
        assertLimitHolds(loweredAtMs + SPREAD_MS, REQUESTS_PER_SECOND / 3);
        fleet.engines.values().forEach(engine -> engine.maxRequestsPerSecond = OptionalDouble.empty());
        play(6_000, 28);
        requests.clear();
        play(12_000, 28);
        fleet.run(DEADLINE_MS);
        assertThat(requests).allMatch(SentRequest::completed);
        assertThat(requests)
                .filteredOn(request -> request.waitMs() > OBJECTIVE_MS)
                .isEmpty();
    }

    /** Guards against streams that are cut after their target's end as the controllers of limited targets reply late. */
    @Test
    void streamIsResumedAtALimitedTargetWhoseControllerPausesBriefly() {
        startInOneDataCentre();
        fleet.resumesAnywhere = true;
        fleet.reportsTokensOfCrashes = true;
        fleet.engines.values().forEach(engine -> engine.maxRequestsPerSecond = OptionalDouble.of(20));
        for (int i = 0; i < 20; i++) {
            fleet.send(i % 4, Work.online(TOKENS, ++lastFingerprint).withDeadline(DEADLINE_MS));
            fleet.run(SPREAD_MS / 20);
        }
        int daemon = fleet.nodes.stream()
                .filter(node -> node.watched.isEmpty())
                .findFirst()
                .orElseThrow()
                .index;
        SentRequest stream =
                fleet.send(daemon, Work.online(4 * TOKENS, ++lastFingerprint).withDeadline(DEADLINE_MS));
        fleet.run(OBJECTIVE_MS);
        fleet.cutOff(daemon);
        fleet.crashTarget(stream.dispatchedTo.get(0), DEADLINE_MS);
        fleet.run(SHORT_PAUSE_MS);
        fleet.reconnect(daemon);
        fleet.run(DEADLINE_MS);
        assertThat(stream.completedInTime()).as("%s", stream).isTrue();
        assertThat(stream.dispatchedTo).hasSize(2).doesNotHaveDuplicates();
    }

    /** A limit of zero is tested from time to time, as only a response can end it. */
    @Test
    void targetWithALimitOfZeroIsUsedAgainAfterItsLimitHasEnded() {
        start(1);
        play(6_000, 14);
        limit(0);
        play(15_000, 14);
        assertLimitHolds(fleet.nowMs - 11_000, 0);
        limited().forEach(engine -> engine.maxRequestsPerSecond = OptionalDouble.empty());
        play(15_000, 14);
        long fromMs = fleet.nowMs;
        play(6_000, 14);
        assertThat(limited()).allMatch(engine -> engine.arrivalsAtMs.stream().anyMatch(atMs -> atMs >= fromMs));
    }
}
