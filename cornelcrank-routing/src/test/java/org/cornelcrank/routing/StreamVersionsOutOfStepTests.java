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
import java.util.TreeSet;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.cornelcrank.core.Location;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.routing.VirtualFleet.Node;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays streams at 12 daemons in three data centres that follow the directory in the store; some of them are cut off,
 * stand still or lag while targets of a new version join, and streams are taken up there.
 */
class StreamVersionsOutOfStepTests {

    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v1.2");
    private static final List<Location> DATA_CENTRES = List.of(
            VirtualFleet.location("south", "south-a"),
            VirtualFleet.location("south", "south-b"),
            VirtualFleet.location("north", "north-a"));
    private static final int DAEMONS = 12;
    private static final int TOKENS = 35;
    private static final long DEADLINE_MS = 5_000;
    private static final long INTERVAL_MS = 20;
    private static final long STREAM_MS = 800;

    private final Map<SentRequest, Long> streams = new LinkedHashMap<>();
    private final List<SentRequest> takenUp = new ArrayList<>();
    private final List<SentRequest> recordedInReach = new ArrayList<>();
    private final List<SentRequest> storeInReach = new ArrayList<>();
    private SplittableRandom random;
    private VirtualFleet fleet;
    private long lastStream;

    private void start(long seed) {
        random = new SplittableRandom(seed);
        fleet = new VirtualFleet(seed);
        fleet.reportsTokensOfCrashes = true;
        fleet.resumesAnywhere = true;
        addTargets(OLD);
        List<Location> locations = IntStream.range(0, DAEMONS)
                .mapToObj(daemon -> DATA_CENTRES.get(daemon % DATA_CENTRES.size()))
                .toList();
        fleet.start(
                locations,
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        RoutingPolicy.defaults().selector(),
                        RoutingPolicy.defaults().admission()));
        fleet.followDirectory();
        fleet.run(random.nextInt(2_600, 5_100));
    }

    private void addTargets(SoftwareVersion version) {
        for (int i = 0; i < 4; i++) {
            int number = fleet.engines.size();
            fleet.addEngine("r" + number, DATA_CENTRES.get(number % DATA_CENTRES.size()), version);
        }
    }

    private void newVersionJoins() {
        addTargets(NEW);
        fleet.list(host -> true);
    }

    private static Set<Integer> daemons(IntPredicate included) {
        return IntStream.range(0, DAEMONS).filter(included).boxed().collect(Collectors.toCollection(TreeSet::new));
    }

    private int anyOf(Set<Integer> daemons) {
        return List.copyOf(daemons).get(random.nextInt(daemons.size()));
    }

    private void cutOff(Set<Integer> group, boolean fromStore) {
        fleet.cutOff(group);
        if (fromStore) {
            group.forEach(daemon -> fleet.directory.get().cutOff(fleet.nodes.get(daemon)));
        }
    }

    private void reconnect(Set<Integer> group) {
        fleet.reconnect(group);
        group.forEach(daemon -> fleet.directory.get().reconnect(fleet.nodes.get(daemon)));
    }

    private void begin(Set<Integer> daemons, long spanMs) {
        for (long atMs = 0; atMs < spanMs; atMs += INTERVAL_MS) {
            send(anyOf(daemons), TOKENS, new StreamIdentity(++lastStream, false));
            fleet.run(INTERVAL_MS);
        }
    }

    private SentRequest send(int daemon, int tokens, StreamIdentity identity) {
        Work work = Work.online(tokens, identity.key()).withDeadline(DEADLINE_MS);
        SentRequest request =
                fleet.send(daemon, work, new RequestOptions(2, true, 300, Optional.of(identity), Optional.empty()));
        streams.put(request, identity.key());
        return request;
    }

    /** Kills daemons at the same moment; their callers take up what has begun at others. */
    private void kill(Set<Integer> killed, Set<Integer> takers) {
        killed.forEach(daemon -> fleet.killDaemon(daemon, VirtualFleet.MEMBER_TIMEOUT_MS));
        Set<Integer> alive = new TreeSet<>(takers);
        alive.removeAll(killed);
        for (SentRequest request : List.copyOf(streams.keySet())) {
            if (killed.contains(request.daemon) && request.endedAtMs < 0 && request.firstTokenAtMs >= 0) {
                int taker = anyOf(alive);
                fleet.at(fleet.nowMs + random.nextInt(20, 200), () -> takeUp(taker, streams.get(request)));
            }
        }
    }

    private void takeUp(int daemon, long stream) {
        Node taker = fleet.nodes.get(daemon);
        boolean recorded = fleet.nodes.stream()
                .anyMatch(node -> node.awake()
                        && node.recordedStreams.contains(stream)
                        && fleet.connected(node.identity.host(), taker.identity.host()));
        SentRequest request = send(daemon, TOKENS / 2, new StreamIdentity(stream, true));
        takenUp.add(request);
        if (recorded) {
            recordedInReach.add(request);
        }
        if (taker.awake() && taker.storeLagMs == 0 && fleet.directory.get().reachedBy(taker)) {
            storeInReach.add(request);
        }
    }

    private long streamsOfTwoVersions() {
        Map<Long, Set<SoftwareVersion>> versions = new HashMap<>();
        streams.forEach((request, stream) ->
                versions.computeIfAbsent(stream, key -> new LinkedHashSet<>()).addAll(request.versions));
        return versions.values().stream().filter(each -> each.size() > 1).count();
    }

    private void assertNoStreamOfTwoVersions() {
        fleet.run(DEADLINE_MS);
        assertThat(takenUp).hasSizeGreaterThan(10);
        assertThat(streamsOfTwoVersions()).as("of %d taken up", takenUp.size()).isZero();
    }

    private void assertMostTakeUpsGoOn() {
        fleet.run(DEADLINE_MS);
        assertThat(takenUp).hasSizeGreaterThan(10);
        double completed = takenUp.stream().filter(SentRequest::completed).count();
        Map<String, Long> refusals = takenUp.stream()
                .filter(request -> request.reply instanceof Refusal)
                .collect(Collectors.groupingBy(request -> ((Refusal) request.reply).message(), Collectors.counting()));
        assertThat(completed / takenUp.size()).as("%s", refusals).isGreaterThan(0.9);
    }

    /** Guards against the trust in a listing that was read before the cut. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void streamTakenUpAtADaemonThatWasJustCutOffNeverChangesItsVersion(long seed) {
        start(seed);
        cutOff(Set.of(0), true);
        newVersionJoins();
        begin(daemons(daemon -> daemon != 0), STREAM_MS);
        kill(daemons(daemon -> daemon != 0), Set.of(0));
        assertNoStreamOfTwoVersions();
    }

    /** Guards against daemons behind the same cut that confirm each other's listing. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void streamTakenUpInADataCentreThatIsCutOffNeverChangesItsVersion(long seed) {
        start(seed);
        cutOff(daemons(daemon -> daemon % 3 == 1), true);
        fleet.run(5_000);
        newVersionJoins();
        begin(daemons(daemon -> daemon % 3 != 1), STREAM_MS);
        kill(daemons(daemon -> daemon % 3 != 1), daemons(daemon -> daemon % 3 == 1));
        assertNoStreamOfTwoVersions();
    }

    /** Guards against an answer that counts as new when it is handled, however long it has waited. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void streamTakenUpAtADaemonThatStoodStillNeverChangesItsVersion(long seed) {
        start(seed);
        fleet.nodes.get(0).freeze(5_000);
        fleet.run(4_000);
        cutOff(Set.of(0), true);
        newVersionJoins();
        begin(daemons(daemon -> daemon != 0), STREAM_MS);
        kill(daemons(daemon -> daemon != 0), Set.of(0));
        assertNoStreamOfTwoVersions();
    }

    /** Guards against an answer that counts as new when it arrives, however long it was on its way. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void streamTakenUpAtADaemonThatReadsTheStoreLateNeverChangesItsVersion(long seed) {
        start(seed);
        fleet.nodes.get(0).storeLagMs = 1_400;
        fleet.run(3_000);
        cutOff(Set.of(0), false);
        newVersionJoins();
        begin(daemons(daemon -> daemon != 0), STREAM_MS);
        kill(daemons(daemon -> daemon != 0), Set.of(0));
        assertNoStreamOfTwoVersions();
    }

    /** Refusing whatever nobody has recorded would protect nobody while there is a single version. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void streamOfTheOnlyVersionGoesOnAtDaemonsInTouch(long seed) {
        start(seed);
        begin(Set.of(0, 1, 5, 9), STREAM_MS);
        kill(Set.of(0, 1, 5, 9), daemons(daemon -> true));
        assertMostTakeUpsGoOn();
    }

    /** A daemon that nobody confirms needs the store alone. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void streamOfTheOnlyVersionGoesOnAtADaemonThatReachesTheStoreAlone(long seed) {
        start(seed);
        cutOff(Set.of(0), false);
        fleet.run(3_000);
        begin(Set.of(1, 2, 3, 5), STREAM_MS);
        kill(Set.of(1, 2, 3, 5), Set.of(0));
        assertMostTakeUpsGoOn();
    }

    /** Guards against refusals by a daemon whose peers could read the directory for it. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 0", "1, 6000", "2, 6000", "3, 6000"})
    void streamOfTheOnlyVersionGoesOnAtADaemonThatReachesItsPeersAlone(long seed, long cutForMs) {
        start(seed);
        begin(Set.of(1, 2, 3, 5), STREAM_MS);
        fleet.directory.get().cutOff(fleet.nodes.get(0));
        begin(Set.of(1, 2, 3, 5), cutForMs);
        kill(Set.of(1, 2, 3, 5), Set.of(0));
        assertMostTakeUpsGoOn();
    }

    /** Guards against replies to the first question that count as replies to the request for a read. */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 1", "3, 1", "1, 9000", "2, 9000", "3, 9000"})
    void streamOfTheOnlyVersionGoesOnAtADaemonThatTheStoreRefuses(long seed, long refusedForMs) {
        start(seed);
        fleet.run(30_000);
        fleet.directory.get().refuse(fleet.nodes.get(0));
        fleet.run(refusedForMs);
        fleet.nodes.forEach(node -> node.storeLagMs = 120);
        begin(Set.of(1, 2, 3, 5), STREAM_MS);
        for (long stream = 1; stream <= lastStream; stream++) {
            takeUp(0, stream);
        }
        assertMostTakeUpsGoOn();
    }

    /** Guards against a stream that a daemon out of step began at a target which had left the directory by then. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void streamThatBeganAtATargetWhichHadLeftTheDirectoryNeverChangesItsVersion(long seed) {
        start(seed);
        newVersionJoins();
        fleet.run(1_000);
        cutOff(Set.of(1), true);
        fleet.list(host -> !host.softwareVersion().equals(OLD));
        final long leftAtMs = fleet.nowMs;
        fleet.run(1_500);
        for (int i = 0; i < 30; i++) {
            StreamIdentity identity = new StreamIdentity(++lastStream, false);
            Work work = Work.online(1_500, identity.key()).withDeadline(30_000);
            RequestOptions options = new RequestOptions(2, true, 300, Optional.of(identity), Optional.empty());
            streams.put(fleet.send(1, work, options), identity.key());
            fleet.run(INTERVAL_MS);
        }
        fleet.run(leftAtMs + 30_100 - fleet.nowMs);
        kill(Set.of(1), Set.of(0));
        assertNoStreamOfTwoVersions();
    }

    /** Guards against streams that nobody has recorded when the store fails, as many are taken up at that time. */
    @ParameterizedTest
    @ValueSource(longs = {3_000, 4_500, 6_000, 9_000})
    void streamOfTheOnlyVersionGoesOnWhileTheStoreRefusesAll(long downForMs) {
        start(1);
        fleet.run(35_000);
        fleet.nodes.forEach(node -> fleet.directory.get().refuse(node));
        takeUpDuringAnOutage(downForMs);
    }

    /** As above, before a read that the store had accepted has ended. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 2_000})
    void streamOfTheOnlyVersionGoesOnAsTheStoreBeginsToRefuseAll(long downForMs) {
        streamOfTheOnlyVersionGoesOnWhileTheStoreRefusesAll(downForMs);
    }

    /** As above, with a store that replies to nothing. */
    @ParameterizedTest
    @ValueSource(longs = {4_500, 6_000, 9_000})
    void streamOfTheOnlyVersionGoesOnWhileTheStoreIsSilent(long downForMs) {
        start(1);
        fleet.run(35_000);
        fleet.nodes.forEach(node -> fleet.directory.get().cutOff(node));
        takeUpDuringAnOutage(downForMs);
    }

    /** As above, before a read is overdue. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 2_000, 3_000})
    void streamOfTheOnlyVersionGoesOnAsTheStoreBecomesSilent(long downForMs) {
        streamOfTheOnlyVersionGoesOnWhileTheStoreIsSilent(downForMs);
    }

    private void takeUpDuringAnOutage(long downForMs) {
        fleet.run(downForMs - STREAM_MS);
        begin(Set.of(0, 4), STREAM_MS);
        kill(Set.of(0, 4), daemons(daemon -> true));
        assertMostTakeUpsGoOn();
    }

    /** As above, where the others have not been running for the lifetime of a stream. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void streamOfTheOnlyVersionGoesOnAtADaemonThatTheStoreRefusesSoonAfterTheStart(long seed) {
        start(seed);
        begin(Set.of(1, 2, 3, 5), STREAM_MS);
        fleet.directory.get().refuse(fleet.nodes.get(0));
        kill(Set.of(1, 2, 3, 5), Set.of(0));
        assertMostTakeUpsGoOn();
    }

    /** Refusing whatever is taken up while versions are mixed would protect nobody who is in touch. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void streamGoesOnAtDaemonsInTouchWhileANewVersionJoins(long seed) {
        start(seed);
        newVersionJoins();
        begin(Set.of(0, 4), STREAM_MS);
        kill(Set.of(0, 4), daemons(daemon -> true));
        assertMostTakeUpsGoOn();
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 60);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void streamTakenUpWhileDaemonsAreOutOfStepNeverChangesItsVersionNorIsUnknownWhereItIsRecorded(long seed) {
        String story = takeUpBesideDisturbance(seed);
        assertThat(streamsOfTwoVersions()).as(story).isZero();
        assertThat(refused(recordedInReach, "is unknown")).as(story).isZero();
    }

    /** Guards against takers that have not listed the targets of the version yet, though the store would tell them. */
    @ParameterizedTest
    @MethodSource("seeds")
    void streamWhoseVersionIsRecordedIsNotRefusedWhereTheStoreIsInReach(long seed) {
        String story = takeUpBesideDisturbance(seed);
        recordedInReach.retainAll(storeInReach);
        assertThat(refused(recordedInReach, "")).as(story).isZero();
    }

    private static long refused(List<SentRequest> requests, String reason) {
        return requests.stream()
                .filter(request -> request.reply instanceof Refusal refusal
                        && refusal.code() == RefusalCode.NO_TARGET
                        && refusal.message().contains(reason))
                .count();
    }

    /** Kills the daemon that began the streams, and no other one that may hold their records. */
    private String takeUpBesideDisturbance(long seed) {
        start(seed);
        Disturbance disturbance = Disturbance.random(random);
        long joinsAtMs = fleet.nowMs + 6_000;
        long fromMs = joinsAtMs + (random.nextInt(4) > 0 ? -1 : 1) * random.nextInt(6_000);
        long takeUpAtMs = Math.max(joinsAtMs, fromMs) + random.nextInt(100, 2_000);
        long untilMs = Math.max(fromMs + 100, takeUpAtMs + random.nextInt(-1_500, 1_500));
        fleet.at(joinsAtMs, this::newVersionJoins);
        fleet.at(fromMs, () -> disturb(disturbance, untilMs));
        fleet.run(takeUpAtMs - STREAM_MS - fleet.nowMs);
        int first = anyOf(daemons(daemon -> !disturbance.group.contains(daemon)));
        begin(Set.of(first), STREAM_MS);
        kill(Set.of(first), random.nextInt(4) > 0 ? disturbance.group : daemons(daemon -> true));
        fleet.run(DEADLINE_MS);
        assertThat(takenUp).isNotEmpty();
        return "%s from %d to %d ms after the new version joined, %d streams taken up at %d ms"
                .formatted(
                        disturbance, fromMs - joinsAtMs, untilMs - joinsAtMs, takenUp.size(), takeUpAtMs - joinsAtMs);
    }

    private void disturb(Disturbance disturbance, long untilMs) {
        List<Node> group = disturbance.group.stream().map(fleet.nodes::get).toList();
        group.forEach(node -> node.storeLagMs = disturbance.lagMs);
        if (disturbance.frozenShare > 0) {
            group.forEach(node -> node.freeze((long) (disturbance.frozenShare * (untilMs - fleet.nowMs))));
        }
        if (disturbance.cutOff) {
            cutOff(disturbance.group, disturbance.fromStore);
        }
        fleet.at(untilMs, () -> {
            group.forEach(node -> node.storeLagMs = 0);
            reconnect(disturbance.group);
        });
    }

    /**
     * What puts which daemons out of step.
     *
     * @param cutOff whether they are cut off from the others
     * @param fromStore whether those that are cut off are cut off from the store as well
     * @param frozenShare how much of the time they stand still
     * @param lagMs how late answers of the store arrive, in ms
     */
    private record Disturbance(Set<Integer> group, boolean cutOff, boolean fromStore, double frozenShare, long lagMs) {

        static Disturbance random(SplittableRandom random) {
            int one = random.nextInt(DAEMONS);
            Set<Integer> group =
                    switch (random.nextInt(3)) {
                        case 0 -> Set.of(one);
                        case 1 -> daemons(daemon -> daemon % DATA_CENTRES.size() == one % DATA_CENTRES.size());
                        default -> daemons(daemon -> Math.floorMod(daemon * 7 + one, DAEMONS) < 5);
                    };
            boolean frozen = random.nextInt(3) == 0;
            boolean lags = random.nextInt(3) == 0;
            boolean cutOff = !frozen && !lags || random.nextBoolean();
            return new Disturbance(
                    group,
                    cutOff,
                    random.nextInt(4) > 0,
                    frozen ? random.nextDouble(0.3, 1) : 0,
                    lags ? random.nextInt(100, 1_400) : 0);
        }
    }
}
