package org.cornelcrank.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.NetworkAddress;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.store.StoreCalls;
import org.cornelcrank.store.fake.StoreModel;
import org.cornelcrank.store.fake.VirtualNodes;
import org.cornelcrank.store.fake.VirtualNodes.StoreFault;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs the directory with a store, including faults of the store. */
class DirectoryStateMachineTests {

    private static final HostId A = new HostId("host-a");
    private static final HostId B = new HostId("host-b");
    private static final DataCentreId DATA_CENTRE = new DataCentreId("dc");

    private final VirtualNodes nodes = new VirtualNodes(new StoreModel(1));
    private final Map<HostId, RouteTableSettings> settings = new HashMap<>();
    private final Map<HostId, HostList> lists = new HashMap<>();

    @Test
    void routesTargetsAndHostsAreLoadedAndFollowed() {
        putRoutes(3);
        putTarget("t-1", "ready");
        start(A);
        start(B);
        nodes.run(1_000);
        assertThat(settings.get(A).version()).isEqualTo(3);
        assertThat(targets(A)).containsExactly("t-1 ready");
        assertThat(hosts(A)).containsExactlyInAnyOrder("host-a", "host-b");
        putRoutes(4);
        putTarget("t-2", "ready");
        putTarget("t-1", "leaving");
        nodes.run(100);
        assertThat(settings.get(B).version()).isEqualTo(4);
        assertThat(targets(B)).containsExactly("t-1 leaving", "t-2 ready");
    }

    /** Else each daemon of a large deployment that starts reads as often as there are targets and hosts. */
    @Test
    void entriesThatAreRegisteredInQuickSuccessionAreReadInGroups() {
        start(A);
        nodes.run(1_000);
        Map<String, Integer> reads = new HashMap<>();
        nodes.setFaults((host, request) -> {
            if (request instanceof StoreRequest.Read read) {
                reads.merge(read.partition().topic(), 1, Integer::sum);
            }
            return StoreFault.NONE;
        });
        for (int i = 0; i < 50; i++) {
            putTarget("t-" + i, "ready");
            append("hosts", hostRecord("host-" + i));
            nodes.run(20);
        }
        nodes.run(300);
        assertThat(targets(A)).hasSize(50);
        assertThat(hosts(A)).hasSize(51);
        assertThat(reads.get("targets")).isLessThanOrEqualTo(8);
        assertThat(reads.get("hosts")).isLessThanOrEqualTo(6);
    }

    /** Guards against a removal that is concluded from routes which may be older than those of other daemons. */
    @Test
    void routesAreConfirmedOnlyByReadsThatReachTheNewestReadableTable() {
        putRoutes(3);
        start(A);
        nodes.run(10_000);
        for (int i = 0; i < 100; i++) {
            nodes.run(100);
            assertThat(settings.get(A).mayLackRoutes(nodes.nowMs())).isFalse();
        }
        nodes.setFaults((host, request) -> StoreFault.REFUSED);
        nodes.run(3_000);
        long failingSinceMs = nodes.nowMs();
        nodes.run(10_000);
        assertThat(settings.get(A).confirmedAsOfMs()).isLessThan(failingSinceMs);
        assertThat(settings.get(A).mayLackRoutes(nodes.nowMs())).isTrue();
        append("routes", new KeyedRecord("table", ByteString.copyFromUtf8("unreadable")));
        nodes.setFaults((host, request) -> StoreFault.NONE);
        nodes.run(10_000);
        assertThat(settings.get(A).confirmedAsOfMs()).isLessThan(failingSinceMs);
        putRoutes(4);
        nodes.run(6_000);
        assertThat(settings.get(A).mayLackRoutes(nodes.nowMs())).isFalse();
    }

    @Test
    void targetWithADroppedEntryIsRemoved() {
        putTarget("t-1", "ready");
        start(A);
        nodes.run(1_000);
        dropTarget("t-1");
        nodes.run(100);
        assertThat(targets(A)).isEmpty();
    }

    /** Another writer may repeat an entry that names no target as often as it likes. */
    @Test
    void unusableEntryIsLoggedOnceAndItsNeighboursHold() {
        putTarget("t-1", "ready");
        start(A);
        nodes.run(1_000);
        for (int i = 0; i < 20; i++) {
            putTarget("t-2", "odd");
            nodes.run(300);
        }
        putTarget("t-3", "ready");
        nodes.run(300);
        assertThat(targets(A)).containsExactly("t-1 ready", "t-3 ready");
        assertThat(nodes.stateChanges())
                .filteredOn(change -> change.contains("t-2"))
                .hasSize(1);
        putTarget("t-2", "ready");
        nodes.run(300);
        assertThat(targets(A)).containsExactly("t-1 ready", "t-2 ready", "t-3 ready");
    }

    @Test
    void targetMissingAfterAStoreFailureMayRegisterAgain() {
        putTarget("t-1", "ready");
        putTarget("t-2", "ready");
        start(A);
        nodes.run(1_000);
        nodes.setFaults((host, request) -> StoreFault.REFUSED);
        nodes.run(5_000);
        dropTarget("t-1");
        dropTarget("t-2");
        nodes.setFaults((host, request) -> StoreFault.NONE);
        nodes.run(1_200);
        assertThat(targets(A)).containsExactly("t-1 ready", "t-2 ready");
        putTarget("t-1", "ready");
        nodes.run(5_000);
        assertThat(targets(A)).containsExactly("t-1 ready");
    }

    @Test
    void targetThatStatesThatItLeavesDoesSoWhateverItsEntrySays() {
        putTarget("t-1", "ready@7");
        putTarget("t-2", "ready@7");
        start(A);
        nodes.run(1_000);
        stateLeaving("t-1", nodes.nowMs() - 100);
        nodes.run(10);
        assertThat(targets(A)).containsExactly("t-1 leaving", "t-2 ready");
        assertThat(nodes.stateChanges())
                .filteredOn(line -> line.contains("t-1 is leaving, as it stated"))
                .hasSize(1);
        stateLeaving("t-1", nodes.nowMs());
        putTarget("t-1", "ready@7");
        nodes.run(1_000);
        assertThat(targets(A)).containsExactly("t-1 leaving", "t-2 ready");
        assertThat(nodes.stateChanges())
                .filteredOn(line -> line.contains("t-1 is leaving, as it stated"))
                .hasSize(1);
        dropTarget("t-1");
        nodes.run(1_000);
        putTarget("t-1", "ready@7");
        nodes.run(1_000);
        assertThat(targets(A)).containsExactly("t-1 leaving", "t-2 ready");
    }

    @Test
    void nextIncarnationOfATargetThatLeftIsUsed() {
        putTarget("t-1", "ready@7");
        start(A);
        nodes.run(1_000);
        long sentToFormerAtMs = nodes.nowMs();
        stateLeaving("t-1", sentToFormerAtMs);
        nodes.run(1_000);
        putTarget("t-1", "ready@8");
        nodes.run(1_000);
        assertThat(targets(A)).containsExactly("t-1 ready");
        stateLeaving("t-1", sentToFormerAtMs);
        nodes.run(10);
        assertThat(targets(A)).containsExactly("t-1 ready");
        stateLeaving("t-1", nodes.nowMs());
        nodes.run(10);
        assertThat(targets(A)).containsExactly("t-1 leaving");
    }

    @Test
    void olderAndUnreadableRoutesAreIgnored() {
        putRoutes(7);
        start(A);
        nodes.run(1_000);
        put("routes", "table", "broken");
        putRoutes(5);
        nodes.run(1_000);
        assertThat(settings.get(A).version()).isEqualTo(7);
        assertThat(nodes.stateChanges()).anyMatch(line -> line.contains("cannot be read"));
    }

    @Test
    void unreadableTargetEntryIsIgnoredAndOtherTargetsStay() {
        putTarget("t-1", "ready");
        putTarget("t-2", "bewildered");
        start(A);
        nodes.run(1_000);
        assertThat(targets(A)).containsExactly("t-1 ready");
    }

    @Test
    void directoryIsReloadedAfterItsRecordsExpired() {
        putRoutes(1);
        putTarget("t-1", "ready");
        start(A);
        nodes.run(1_000);
        nodes.setFaults((host, request) -> StoreFault.REFUSED);
        nodes.run(1_000);
        putRoutes(2);
        putTarget("t-2", "ready");
        dropTarget("t-1");
        nodes.store().compact();
        nodes.setFaults((host, request) -> StoreFault.NONE);
        nodes.run(5_000);
        assertThat(settings.get(A).version()).isEqualTo(2);
        assertThat(targets(A)).containsExactly("t-2 ready");
        assertThat(lists.get(A).gaps).isEqualTo(1);
    }

    /** Guards against streams of two versions: a stream began at a target that another daemon never had in its list. */
    @Test
    void versionThatComesAndGoesWithinOneReadIsListed() {
        putTarget("t-1", "ready@1@v1");
        start(A);
        nodes.run(1_000);
        putTarget("t-1", "ready@2@v1");
        nodes.run(20);
        putTarget("t-1", "ready@3@v1");
        nodes.run(20);
        putTarget("t-2", "ready@1@v2");
        dropTarget("t-2");
        nodes.run(1_000);
        assertThat(targets(A)).containsExactly("t-1 ready");
        assertThat(lists.get(A).seenVersions).containsExactlyInAnyOrder("v1", "v2");
    }

    @Test
    void listIsConfirmedOnRequestByAReadThatBeginsThen() {
        putTarget("t-1", "ready");
        start(A);
        nodes.run(1_000);
        long requestedAtMs = nodes.nowMs();
        requestConfirmation();
        nodes.run(200);
        assertThat(lists.get(A).confirmedAsOfMs).isGreaterThanOrEqualTo(requestedAtMs);
        nodes.setFaults((host, request) -> StoreFault.REFUSED);
        nodes.run(100);
        long failingSinceMs = nodes.nowMs();
        requestConfirmation();
        nodes.run(200);
        assertThat(lists.get(A).unconfirmedAsOfMs).isGreaterThanOrEqualTo(failingSinceMs);
        assertThat(lists.get(A).confirmedAsOfMs).isLessThan(failingSinceMs);
    }

    private void requestConfirmation() {
        nodes.act(A, (nowMs, out) -> out.add(new Effect.Raise(new Event.HostListConfirmationRequested())));
    }

    @Test
    void lastStateStaysInEffectWithoutTheStore() {
        putRoutes(1);
        putTarget("t-1", "ready");
        start(A);
        nodes.run(1_000);
        nodes.setFaults((host, request) -> StoreFault.REQUEST_LOST);
        nodes.run(60_000);
        assertThat(settings.get(A).version()).isEqualTo(1);
        assertThat(targets(A)).containsExactly("t-1 ready");
    }

    @Test
    void hostRegistersAgainIfItsEntryIsDropped() {
        start(A);
        nodes.run(1_000);
        append("hosts", KeyedRecord.tombstone("host-a"));
        nodes.run(1_000);
        assertThat(hosts(A)).containsExactly("host-a");
    }

    /** A ready daemon must not refuse requests only because it has not yet loaded the targets. */
    @Test
    void firstRoutesBecomeActiveOnlyAfterTheTargetsAreLoaded() {
        putRoutes(7);
        putTarget("t-1", "ready");
        nodes.setFaults((host, request) -> request instanceof StoreRequest.ReadNewest read
                        && read.partition().topic().equals("targets")
                ? StoreFault.REFUSED
                : StoreFault.NONE);
        start(A);
        nodes.run(1_000);
        assertThat(settings.get(A).ready()).isFalse();
        nodes.setFaults((host, request) -> StoreFault.NONE);
        nodes.run(1_000);
        assertThat(settings.get(A).version()).isEqualTo(7);
        assertThat(targets(A)).containsExactly("t-1 ready");
    }

    /** Guards against streams of two versions: after a restart of all daemons nobody remembers what has just left. */
    @Test
    void daemonThatStartsKnowsTheVersionsThatHaveJustLeft() {
        putTarget("t-1", "ready@1@v1");
        putTarget("t-2", "ready@1@v2");
        List.of(A, B).forEach(this::start);
        nodes.run(1_000);
        dropTarget("t-1");
        nodes.run(1_000);
        List.of(A, B).forEach(nodes::kill);
        nodes.run(1_000);
        List.of(A, B).forEach(this::start);
        nodes.run(1_000);
        assertThat(recordedVersions(A)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(recordedVersions(B)).containsExactlyInAnyOrder("v1", "v2");
    }

    @Test
    void recordedVersionIsRemovedAfterTheLifetimeOfAStream() {
        putTarget("t-1", "ready@1@v1");
        putTarget("t-2", "ready@1@v2");
        List.of(A, B).forEach(this::start);
        nodes.run(1_000);
        dropTarget("t-1");
        nodes.run(SoftwareVersion.STREAM_LIFETIME_MS - 1_000);
        assertThat(recordedVersions(A)).containsExactlyInAnyOrder("v1", "v2");
        nodes.run(5_000);
        assertThat(recordedVersions(A)).containsExactly("v2");
        assertThat(recordedVersions(B)).containsExactly("v2");
    }

    /** All daemons see the same change; the store's capacity is shared by all of them. */
    @Test
    void changeOfTheVersionsIsWrittenByOneDaemon() {
        int[] writes = new int[1];
        nodes.setFaults((host, request) -> {
            writes[0] += writesVersions(request) ? 1 : 0;
            return StoreFault.NONE;
        });
        putTarget("t-1", "ready@1@v1");
        List<HostId> hosts =
                IntStream.range(0, 10).mapToObj(i -> new HostId("host-" + i)).toList();
        hosts.forEach(this::start);
        nodes.run(45_000);
        int atTheStart = writes[0];
        putTarget("t-2", "ready@1@v2");
        nodes.run(45_000);
        assertThat(writes[0] - atTheStart).isEqualTo(1);
        dropTarget("t-1");
        nodes.run(45_000);
        assertThat(writes[0] - atTheStart).isEqualTo(2);
        assertThat(hosts).allSatisfy(host -> assertThat(recordedVersions(host)).containsExactly("v2"));
    }

    /** A daemon that stood still lists what was there before, and must not remove what others have added since. */
    @Test
    void daemonThatStoodStillRemovesNoRecordedVersion() {
        putTarget("t-1", "ready@1@v1");
        List.of(A, B).forEach(this::start);
        nodes.run(40_000);
        nodes.freeze(A);
        putTarget("t-2", "ready@1@v2");
        nodes.run(40_000);
        nodes.thaw(A);
        for (int i = 0; i < 400; i++) {
            nodes.run(100);
            assertThat(storedVersions()).contains("v1", "v2");
        }
        assertThat(recordedVersions(A)).containsExactlyInAnyOrder("v1", "v2");
    }

    /** What cannot be read must not pass for a service that never had another version. */
    @Test
    void unreadableVersionsCountAsAnotherVersionUntilTheyAreReplaced() {
        put("versions", "s", "*");
        putTarget("t-1", "ready@1@v1");
        start(A);
        nodes.run(5_000);
        assertThat(recordedVersions(A)).hasSize(2);
        nodes.run(40_000);
        assertThat(recordedVersions(A)).containsExactly("v1");
    }

    @Test
    void versionsAreWrittenOnceTheStoreTakesThem() {
        nodes.setFaults((host, request) -> writesVersions(request) ? StoreFault.REFUSED : StoreFault.NONE);
        putTarget("t-1", "ready@1@v 1/ä");
        List.of(A, B).forEach(this::start);
        nodes.run(5_000);
        assertThat(recordedVersions(A)).isEmpty();
        nodes.setFaults((host, request) -> StoreFault.NONE);
        nodes.run(3_000);
        assertThat(recordedVersions(A)).containsExactly("v 1/ä");
    }

    private static boolean writesVersions(StoreRequest request) {
        return request instanceof StoreRequest.Append append
                && append.partition().equals(VersionHistory.VERSIONS);
    }

    private List<String> recordedVersions(HostId host) {
        return lists.get(host).versions.getOrDefault(new ServiceName("s"), Set.of()).stream()
                .map(SoftwareVersion::text)
                .toList();
    }

    private List<String> storedVersions() {
        String text =
                nodes.store().newest(VersionHistory.VERSIONS).get("s").value().toStringUtf8();
        return text.lines()
                .map(line -> new String(Base64.getDecoder().decode(line), StandardCharsets.UTF_8))
                .toList();
    }

    private void start(HostId host) {
        nodes.start(host, startedAtMs -> {
            RouteTableSettings routes = new RouteTableSettings(new RegionId("region"));
            settings.put(host, routes);
            HostList list = new HostList();
            lists.put(host, list);
            StoreCalls store = new StoreCalls();
            Location location = new Location(new RegionId("region"), DATA_CENTRE);
            return List.of(
                    store,
                    new DirectoryStateMachine(
                            new DaemonIdentity(host, startedAtMs, location, "10.0.0.1:7"),
                            Map.of(DATA_CENTRE, new RegionId("region")),
                            new TextFormat(),
                            routes,
                            store,
                            RandomGeneratorFactory.of("L64X128MixRandom").create(1)),
                    list);
        });
    }

    private void putRoutes(long version) {
        put("routes", "table", Long.toString(version));
    }

    private void putTarget(String id, String state) {
        put("targets", id, state);
    }

    private void stateLeaving(String id, long sentAtMs) {
        nodes.act(A, (nowMs, out) -> out.add(new Effect.Raise(new Event.TargetLeaving(new TargetId(id), sentAtMs))));
    }

    private void dropTarget(String id) {
        append("targets", KeyedRecord.tombstone(id));
    }

    private void put(String topic, String key, String value) {
        append(topic, new KeyedRecord(key, ByteString.copyFromUtf8(value)));
    }

    private static KeyedRecord hostRecord(String host) {
        return new KeyedRecord(host, ByteString.copyFromUtf8("region\ndc\n10.0.0.2:7"));
    }

    private void append(String topic, KeyedRecord record) {
        nodes.append(new StoreRequest.Append(new TopicPartition(topic, 0), List.of(record), Optional.empty(), 1_000));
    }

    private List<String> targets(HostId host) {
        return lists.get(host).entries.stream()
                .filter(entry -> entry.role() == HostRole.TARGET)
                .map(entry -> entry.name() + (entry.leaving() ? " leaving" : " ready"))
                .toList();
    }

    private List<String> hosts(HostId host) {
        return lists.get(host).entries.stream()
                .filter(entry -> entry.role() == HostRole.ENTRY)
                .map(HostEntry::name)
                .toList();
    }

    /** Holds the last host list that was raised. */
    private static final class HostList implements StateMachine {

        private List<HostEntry> entries = new ArrayList<>();
        private Map<ServiceName, Set<SoftwareVersion>> versions = Map.of();
        private final Set<String> seenVersions = new TreeSet<>();
        private long confirmedAsOfMs;
        private long unconfirmedAsOfMs;
        private int gaps;

        @Override
        public String name() {
            return "hosts";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            if (event instanceof Event.HostListRead read) {
                entries = read.hosts();
                entries.stream()
                        .filter(entry -> entry.role() == HostRole.TARGET)
                        .forEach(entry ->
                                seenVersions.add(entry.softwareVersion().text()));
            } else if (event instanceof Event.HostListConfirmed confirmed) {
                confirmedAsOfMs = confirmed.asOfMs();
            } else if (event instanceof Event.HostListUnconfirmed unconfirmed) {
                unconfirmedAsOfMs = unconfirmed.asOfMs();
            } else if (event instanceof Event.HostListGap) {
                gaps++;
            } else if (event instanceof Event.VersionsRecorded recorded) {
                versions = recorded.versions();
            }
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {
            // No state to dump.
        }
    }

    /** Encodes a route table as its version, and a target as its state and, after an at sign, its incarnation. */
    private static final class TextFormat implements DirectoryFormat {

        @Override
        public TopicPartition routes() {
            return new TopicPartition("routes", 0);
        }

        @Override
        public String routesKey() {
            return "table";
        }

        @Override
        public TopicPartition targets() {
            return new TopicPartition("targets", 0);
        }

        @Override
        public Optional<RouteTable> routeTable(ByteString value) {
            try {
                return Optional.of(RouteTableTests.table(Long.parseLong(value.toStringUtf8())));
            } catch (NumberFormatException e) {
                return Optional.empty();
            }
        }

        @Override
        public Optional<TargetEntry> target(String id, ByteString value) {
            String[] parts = value.toStringUtf8().split("@");
            String state = parts[0];
            long incarnation = parts.length > 1 ? Long.parseLong(parts[1]) : 0;
            if (!List.of("ready", "leaving").contains(state)) {
                return Optional.empty();
            }
            return Optional.of(new TargetEntry(
                    new TargetId(id),
                    new ServiceName("s"),
                    new NetworkAddress("10.0.0.9", 1),
                    DATA_CENTRE,
                    8,
                    state.equals("leaving"),
                    incarnation,
                    parts.length > 2 ? new SoftwareVersion(parts[2]) : SoftwareVersion.UNSTATED));
        }
    }
}
