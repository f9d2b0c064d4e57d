package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.cornelcrank.core.Event;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays streams at 12 daemons in three data centres and at targets of two versions, whose callers take interrupted ones
 * up at other daemons.
 */
class StreamVersionTests {

    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v1.2");
    private static final List<Location> DATA_CENTRES = List.of(
            VirtualFleet.location("south", "south-a"),
            VirtualFleet.location("south", "south-b"),
            VirtualFleet.location("north", "north-a"));
    private static final int DAEMONS = 12;
    private static final int TOKENS = 35;
    private static final long STEP_MS = 5;
    private static final long DEADLINE_MS = 5_000;
    private static final double REQUESTS_PER_SECOND = 28;

    /** The number of streams of a day that may change their version. */
    private static final int TOLERATED = 2;

    private final List<SentRequest> begun = new ArrayList<>();
    private final List<SentRequest> takenUp = new ArrayList<>();
    private final Map<SentRequest, Long> streams = new HashMap<>();
    private final Map<Long, Set<SoftwareVersion>> versions = new LinkedHashMap<>();
    private SplittableRandom random;
    private VirtualFleet fleet;
    private long lastStream;

    private void start(long seed, SoftwareVersion... engineVersions) {
        random = new SplittableRandom(seed);
        fleet = new VirtualFleet(seed);
        fleet.reportsTokensOfCrashes = true;
        fleet.resumesAnywhere = true;
        for (int i = 0; i < engineVersions.length; i++) {
            fleet.addEngine("r" + i, DATA_CENTRES.get(i % DATA_CENTRES.size()), engineVersions[i]);
        }
        List<Location> locations = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            locations.add(DATA_CENTRES.get(i % DATA_CENTRES.size()));
        }
        fleet.start(
                locations,
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        RoutingPolicy.defaults().selector(),
                        RoutingPolicy.defaults().admission()));
    }

    private void startWithTwoVersions(long seed) {
        start(seed, OLD, NEW, OLD, NEW, OLD, NEW);
    }

    private void play(long spanMs) {
        long endMs = fleet.nowMs + spanMs;
        while (fleet.nowMs < endMs) {
            if (random.nextDouble() < REQUESTS_PER_SECOND * STEP_MS / 1_000) {
                begun.add(begin(liveDaemon()));
            }
            fleet.run(STEP_MS);
        }
    }

    private int liveDaemon() {
        int daemon = random.nextInt(DAEMONS);
        while (!fleet.nodes.get(daemon).alive) {
            daemon = random.nextInt(DAEMONS);
        }
        return daemon;
    }

    private SentRequest begin(int daemon) {
        return send(daemon, TOKENS, new StreamIdentity(++lastStream, false));
    }

    private SentRequest takeUp(int daemon, long stream, int tokens) {
        return send(daemon, tokens, new StreamIdentity(stream, true));
    }

    private SentRequest send(int daemon, int tokens, StreamIdentity identity) {
        Work work = Work.online(tokens, identity.key()).withDeadline(DEADLINE_MS);
        SentRequest request =
                fleet.send(daemon, work, new RequestOptions(2, true, 300, Optional.of(identity), Optional.empty()));
        streams.put(request, identity.key());
        return request;
    }

    /** Kills daemons at the same moment; their callers take up what has begun at others. */
    private void kill(int... daemons) {
        Set<Integer> killed = new LinkedHashSet<>();
        for (int daemon : daemons) {
            killed.add(daemon);
            fleet.killDaemon(daemon, 1_500);
        }
        for (SentRequest request : List.copyOf(streams.keySet())) {
            if (killed.contains(request.daemon) && request.endedAtMs < 0 && request.firstTokenAtMs >= 0) {
                long pauseMs = random.nextInt(20, 200);
                fleet.at(fleet.nowMs + pauseMs, () -> {
                    SentRequest next = takeUp(liveDaemon(), streams.get(request), TOKENS / 2);
                    takenUp.add(next);
                });
            }
        }
    }

    private void assertFewStreamsOfTwoVersions() {
        streams.forEach((request, stream) ->
                versions.computeIfAbsent(stream, key -> new LinkedHashSet<>()).addAll(request.versions));
        assertThat(versions.values()).filteredOn(each -> each.size() > 1).hasSizeLessThanOrEqualTo(TOLERATED);
    }

    private static double completedShare(List<SentRequest> requests) {
        return (double) requests.stream().filter(SentRequest::completed).count() / requests.size();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void streamWhoseTargetCrashesGoesOnOnlyAtTargetsOfItsVersion(long seed) {
        startWithTwoVersions(seed);
        play(4_000);
        for (int i = 0; i < 6; i++) {
            fleet.crashTarget(new TargetId("r" + i), 2_000);
            play(3_000);
        }
        fleet.run(DEADLINE_MS);
        assertFewStreamsOfTwoVersions();
        assertThat(completedShare(begun)).isGreaterThan(0.98);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void streamTakenUpAfterDaemonsWereKilledTogetherGoesOnOnlyAtTargetsOfItsVersion(long seed) {
        startWithTwoVersions(seed);
        play(6_000);
        kill(0, 1, 5, 9);
        play(5_000);
        kill(2, 3, 7, 11);
        play(5_000);
        fleet.run(DEADLINE_MS);
        assertThat(takenUp).hasSizeGreaterThan(TOLERATED);
        assertFewStreamsOfTwoVersions();
        assertThat(completedShare(takenUp)).isGreaterThan(0.9);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void streamThatBeganBeforeAnotherVersionJoinedGoesOnAtItsVersion(long seed) {
        start(seed, OLD, OLD, OLD, OLD);
        play(35_000);
        for (int i = 4; i < 8; i++) {
            fleet.addEngine("r" + i, DATA_CENTRES.get(i % DATA_CENTRES.size()), NEW);
        }
        fleet.list(host -> true);
        fleet.run(300);
        kill(0, 1, 5, 9);
        play(5_000);
        fleet.run(DEADLINE_MS);
        assertThat(takenUp).isNotEmpty();
        assertFewStreamsOfTwoVersions();
        assertThat(completedShare(takenUp)).isGreaterThan(0.9);
    }

    /** Guards against a text of two versions: nobody is left who knows which version began a stream. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void streamTakenUpAfterAllDaemonsWereRestartedNeverChangesItsVersion(long seed) {
        startWithTwoVersions(seed);
        play(6_000);
        fleet.list(host -> !host.softwareVersion().equals(OLD));
        play(300);
        restartAllAndTakeUp(OLD, NEW);
        assertThat(takenUp).hasSizeGreaterThan(TOLERATED);
        assertFewStreamsOfTwoVersions();
    }

    /** Refusing whatever is taken up after a restart would protect nobody while there is a single version. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void streamTakenUpAfterAllDaemonsWereRestartedGoesOnIfNoOtherVersionIsRecorded(long seed) {
        start(seed, OLD, OLD, OLD, OLD, OLD, OLD);
        play(6_000);
        restartAllAndTakeUp(OLD);
        assertThat(takenUp).hasSizeGreaterThan(TOLERATED);
        assertThat(completedShare(takenUp)).isGreaterThan(0.9);
    }

    /** Guards against streams that nobody knows: their daemon learns of a new version from the others' record first. */
    @Test
    void openStreamsAreRecordedWhenAnotherVersionIsRecordedBeforeItIsListed() {
        start(1, OLD, OLD, OLD);
        fleet.nodes.forEach(node -> node.handle(recorded(OLD)));
        SentRequest open = begin(0);
        fleet.run(200);
        assertThat(open.firstTokenAtMs).isPositive();
        assertThat(fleet.count("stream-records-sent")).isZero();
        fleet.nodes.forEach(node -> node.handle(recorded(OLD, NEW)));
        assertThat(fleet.count("stream-records-sent")).isEqualTo(3);
    }

    private Event.VersionsRecorded recorded(SoftwareVersion... versions) {
        return new Event.VersionsRecorded(Map.of(VirtualFleet.SERVICE, Set.of(versions)), fleet.nowMs);
    }

    /** All daemons are killed at the same moment, and callers take up what has begun once they are back. */
    private void restartAllAndTakeUp(SoftwareVersion... recorded) {
        for (SentRequest request : List.copyOf(streams.keySet())) {
            if (request.endedAtMs < 0 && request.firstTokenAtMs >= 0) {
                fleet.at(
                        fleet.nowMs + 1_100 + random.nextInt(500),
                        () -> takenUp.add(takeUp(random.nextInt(DAEMONS), streams.get(request), TOKENS / 2)));
            }
        }
        fleet.restartAll(1_000, recorded);
        fleet.run(2_000 + DEADLINE_MS);
    }

    /**
     * Guards against a text of two versions: one daemon stands still or is cut off while targets of a new version join,
     * and streams that began there through others are taken up at it.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "3, false", "1, true", "2, true", "3, true"})
    void streamTakenUpAtADaemonThatMissedANewVersionNeverChangesItsVersion(long seed, boolean cutOff) {
        start(seed, OLD, OLD, OLD, OLD);
        play(35_000);
        for (int i = 4; i < 8; i++) {
            fleet.addEngine("r" + i, DATA_CENTRES.get(i % DATA_CENTRES.size()), NEW);
        }
        fleet.listAt(node -> node.index != 0, host -> true);
        if (cutOff) {
            fleet.cutOff(0);
        }
        for (int i = 0; i < 40; i++) {
            begun.add(begin(1 + random.nextInt(DAEMONS - 1)));
            fleet.run(20);
        }
        for (SentRequest request : List.copyOf(begun)) {
            if (request.endedAtMs < 0 && request.firstTokenAtMs >= 0 && request.daemon != 0) {
                fleet.killDaemon(request.daemon, 1_500);
                takenUp.add(takeUp(0, streams.get(request), TOKENS / 2));
            }
        }
        fleet.run(DEADLINE_MS);
        assertThat(takenUp).hasSizeGreaterThan(TOLERATED);
        assertFewStreamsOfTwoVersions();
    }

    @Test
    void streamWhoseVersionHasNoTargetLeftIsRefusedAtOnceAsNotRun() {
        startWithTwoVersions(1);
        play(2_000);
        SentRequest first = begin(0);
        fleet.run(200);
        SoftwareVersion version = first.versions.iterator().next();
        fleet.list(host -> !host.softwareVersion().equals(version));
        SentRequest next = takeUp(3, streams.get(first), TOKENS);
        fleet.run(500);
        assertThat(next.dispatchedTo).isEmpty();
        assertThat(next.reply).isInstanceOf(Refusal.class);
        assertThat(((Refusal) next.reply).verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void unknownStreamIsRefusedAtOnceBesideTwoVersionsAndGoesOnBesideOne() {
        startWithTwoVersions(1);
        play(2_000);
        SentRequest unknown = takeUp(0, -1, TOKENS);
        fleet.run(500);
        assertThat(unknown.dispatchedTo).isEmpty();
        assertThat(unknown.reply).isInstanceOf(Refusal.class);
        assertThat(((Refusal) unknown.reply).verdict()).isEqualTo(Verdict.NOT_RUN);
        fleet.list(host -> !host.softwareVersion().equals(OLD));
        play(60_000);
        SentRequest later = takeUp(0, -2, TOKENS);
        fleet.run(2_000);
        assertThat(later.completed()).isTrue();
    }

    @Test
    void eachAttemptOfAStreamCostsThreeMessagesWhileVersionsAreMixed() {
        startWithTwoVersions(1);
        play(10_000);
        int attempts =
                begun.stream().mapToInt(request -> request.dispatchedTo.size()).sum();
        assertThat(fleet.count("stream-records-sent")).isEqualTo(3L * attempts);
    }

    @Test
    void streamsCostNoMessagesWhileTheirServiceHasASingleVersion() {
        start(1, OLD, OLD, OLD, OLD);
        play(40_000);
        long before = fleet.count("stream-records-sent");
        play(10_000);
        assertThat(fleet.count("stream-records-sent")).isEqualTo(before);
    }
}
