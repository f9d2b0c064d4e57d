package org.cornelcrank.membership;

import java.util.List;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.RegionId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MembershipStateMachineTests {

    private final MembershipCluster cluster = new MembershipCluster(7);

    @Test
    void daemonsOfAllDataCentresDiscoverEachOtherFromSeeds() {
        cluster.startAll(4, "a", "b", "c");

        cluster.runUntil(cluster::allSeeEachOther, 15_000);
    }

    @Test
    void crashedDaemonIsDetectedInItsDataCentreWithinThreeSecondsAndElsewhereWithinOneMore() {
        settle(4, "a", "b", "c");

        cluster.crash("a-2");

        cluster.runUntil(() -> localNodesSee("a", "a-2", MemberState.DEAD), 3_000);
        cluster.runUntil(() -> cluster.allSee("a-2", MemberState.DEAD), 1_000);
    }

    @Test
    void losingAThirdOfTheDatagramsCausesNoFalseDeaths() {
        settle(6, "a");
        cluster.loseDatagrams(0.33);

        cluster.runFor(120_000);

        assertThat(deathsSeen()).isZero();
    }

    @Test
    void shortPauseIsRefuted() {
        settle(4, "a");

        cluster.nodes.get("a-1").pause();
        cluster.runFor(1_200);
        cluster.nodes.get("a-1").resume();
        cluster.runFor(2_000);

        assertThat(cluster.allSee("a-1", MemberState.ALIVE)).isTrue();
        assertThat(cluster.nodes.get("a-1").changes).doesNotContain("a-0 SUSPECT", "a-2 SUSPECT", "a-3 SUSPECT");
    }

    @Test
    void daemonRejoinsAfterLongPauseWithoutDeclaringPeersDead() {
        settle(5, "a", "b");
        cluster.nodes.get("a-1").pause();
        cluster.runUntil(() -> localNodesSee("a", "a-1", MemberState.DEAD), 4_000);
        cluster.runFor(20_000);

        cluster.nodes.get("a-1").resume();

        cluster.runUntil(() -> cluster.allSee("a-1", MemberState.ALIVE), 3_000);
        assertThat(cluster.nodes.get("a-1").changes).noneMatch(change -> change.endsWith("DEAD"));
    }

    @Test
    void oneWayLinkFailureBetweenTwoDaemonsCausesNoFalseDeaths() {
        settle(5, "a");
        cluster.dropMessages((from, to) -> from.equals("a-0") && to.equals("a-1"));

        cluster.runFor(60_000);

        assertThat(deathsSeen()).isZero();
    }

    @Test
    void daemonThatReceivesNothingIsTheOnlyOneDeclaredDeadAndRecovers() {
        settle(6, "a");
        cluster.dropMessages((from, to) -> to.equals("a-0"));
        cluster.runFor(30_000);

        for (MembershipCluster.Node node : cluster.nodes.values()) {
            if (!node.host.equals("a-0")) {
                assertThat(node.changes)
                        .as(node.host)
                        .noneMatch(change -> change.endsWith("DEAD") && !change.startsWith("a-0"));
                assertThat(node.stateOf("a-0")).isEqualTo(MemberState.DEAD);
            }
        }

        cluster.dropMessages((from, to) -> false);
        cluster.runUntil(() -> cluster.allSeeEachOther() && cluster.allSee("a-0", MemberState.ALIVE), 15_000);
    }

    @Test
    void membershipConvergesOnceALinkStopsFlapping() {
        settle(5, "a");
        for (int i = 0; i < 10; i++) {
            cluster.dropMessages((from, to) -> from.equals("a-0") || to.equals("a-0"));
            cluster.runFor(1_500);
            cluster.dropMessages((from, to) -> false);
            cluster.runFor(700);
        }

        cluster.runUntil(() -> cluster.allSee("a-0", MemberState.ALIVE) && cluster.allSeeEachOther(), 15_000);
    }

    @Test
    void restartedDaemonReplacesItsEarlierIncarnation() {
        settle(4, "a", "b");
        cluster.crash("a-3");
        cluster.runFor(500);
        cluster.start("a-3", "a");

        cluster.runUntil(() -> cluster.allSee("a-3", MemberState.ALIVE), 5_000);
        long incarnation = cluster.nodes.get("a-3").stateMachine.self().incarnation();
        cluster.runUntil(
                () -> cluster.nodes.values().stream().allMatch(node -> incarnationSeen(node) == incarnation), 5_000);
    }

    @Test
    void plannedShutdownIsKnownEverywhereWithinASecond() {
        settle(4, "a", "b");

        cluster.nodes.get("b-2").handle(new Event.StopRequested());

        cluster.runUntil(() -> cluster.allSee("b-2", MemberState.LEAVING), 1_000);
    }

    @Test
    void leavingDaemonThatCrashesIsDeclaredDead() {
        settle(4, "a");
        cluster.nodes.get("a-2").handle(new Event.StopRequested());
        cluster.runFor(1_000);

        cluster.crash("a-2");

        cluster.runUntil(() -> cluster.allSee("a-2", MemberState.DEAD), 4_000);
    }

    @Test
    void unreachableDataCentreIsShownDeadAndReturnsWithoutRefutations() {
        settle(3, "a", "b", "c");
        cluster.dropMessages((from, to) -> from.startsWith("b") != to.startsWith("b"));
        cluster.runUntil(() -> cluster.nodes.get("a-0").stateOf("b-1") == MemberState.DEAD, 15_000);
        cluster.runUntil(() -> cluster.nodes.get("b-0").stateOf("c-1") == MemberState.DEAD, 15_000);
        assertThat(cluster.nodes.get("a-0").stateOf("c-1")).isEqualTo(MemberState.ALIVE);
        long incarnation = cluster.nodes.get("b-1").stateMachine.self().incarnation();

        cluster.dropMessages((from, to) -> false);

        cluster.runUntil(cluster::allSeeEachOther, 10_000);
        assertThat(cluster.nodes.get("b-1").stateMachine.self().incarnation()).isEqualTo(incarnation);
    }

    @Test
    void dataCentresConnectedOnlyThroughAThirdOneStayAlive() {
        settle(3, "a", "b", "c");
        cluster.dropMessages(
                (from, to) -> from.startsWith("a") && to.startsWith("b") || from.startsWith("b") && to.startsWith("a"));

        cluster.runFor(60_000);

        assertThat(cluster.allSeeEachOther()).isTrue();
        assertThat(deathsSeen()).isZero();
    }

    @Test
    void daemonThatJoinsDuringAPartitionIsDiscoveredAfterIt() {
        settle(3, "a", "b");
        cluster.dropMessages((from, to) -> from.charAt(0) != to.charAt(0));
        cluster.runFor(20_000);
        cluster.start("b-9", "b");
        cluster.runFor(20_000);
        assertThat(cluster.nodes.get("b-0").stateOf("b-9")).isEqualTo(MemberState.ALIVE);

        cluster.dropMessages((from, to) -> false);

        cluster.runUntil(cluster::allSeeEachOther, 15_000);
    }

    @Test
    void factsReachAllDaemonsOfTheirScopeAndNoOthers() {
        settle(5, "a", "b");
        MembershipCluster.Node publisher = cluster.nodes.get("a-0");

        publisher.publish(fact("local", 1, Fact.Scope.DATA_CENTRE));
        publisher.publish(fact("global", 1, Fact.Scope.EVERYWHERE));
        cluster.runFor(20_000);

        for (MembershipCluster.Node node : cluster.nodes.values()) {
            List<String> keys = node.received.stream().map(Fact::key).sorted().toList();
            assertThat(keys).isEqualTo(node.host.startsWith("a") ? List.of("global", "local") : List.of("global"));
        }
    }

    @Test
    void higherFactVersionWinsAndALateOlderOneIsIgnored() {
        settle(3, "a");
        cluster.nodes.get("a-0").publish(fact("key", 5, Fact.Scope.DATA_CENTRE));
        cluster.runFor(1_000);

        cluster.nodes.get("a-1").publish(fact("key", 4, Fact.Scope.DATA_CENTRE));
        cluster.nodes.get("a-2").publish(fact("key", 6, Fact.Scope.DATA_CENTRE));
        cluster.runFor(1_000);

        for (MembershipCluster.Node node : cluster.nodes.values()) {
            assertThat(node.received.stream().map(Fact::version)).containsExactly(5L, 6L);
        }
    }

    @Test
    void forwardedFactStillExpiresEverywhere() {
        settle(3, "a");
        cluster.nodes.get("a-0").publish(fact("key", 1, Fact.Scope.DATA_CENTRE));
        cluster.runFor(40_000);

        cluster.start("a-7", "a");
        cluster.runFor(40_000);

        assertThat(cluster.nodes.get("a-7").received).isEmpty();
    }

    @Test
    void unknownListedHostIsContactedAndUnlistedLiveMemberStays() {
        cluster.seed("a-0");
        cluster.start("a-0", "a");
        cluster.start("a-1", "a");
        cluster.runFor(5_000);
        cluster.dropMessages((from, to) -> from.equals("a-5") && !to.equals("a-1"));
        cluster.start("a-5", "a");
        cluster.runFor(5_000);
        assertThat(cluster.nodes.get("a-1").stateOf("a-5")).isNull();
        cluster.dropMessages((from, to) -> from.equals("a-5")
                && cluster.nodes.get("a-5").stateMachine.members().size() == 1);

        cluster.nodes.get("a-0").handle(new Event.HostListRead(List.of(listed("a-5"))));
        cluster.runUntil(cluster::allSeeEachOther, 20_000);

        assertThat(cluster.nodes.get("a-0").stateOf("a-1")).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void memberNewlyListedAsLeavingIsMarkedLeavingUntilItRefutes() {
        settle(3, "a");
        cluster.nodes.get("a-0").handle(new Event.HostListRead(List.of(listed("a-1"))));

        cluster.nodes.get("a-0").handle(new Event.HostListRead(List.of(leaving("a-1"))));
        assertThat(cluster.nodes.get("a-0").stateOf("a-1")).isEqualTo(MemberState.LEAVING);
        cluster.runFor(1_000);

        assertThat(cluster.allSee("a-1", MemberState.ALIVE)).isTrue();
    }

    private void settle(int hosts, String... dataCentres) {
        cluster.startAll(hosts, dataCentres);
        cluster.runUntil(cluster::allSeeEachOther, 30_000);
        cluster.runFor(5_000);
    }

    private boolean localNodesSee(String dataCentre, String host, MemberState state) {
        return cluster.nodes.values().stream()
                .filter(node -> node.dataCentre.equals(dataCentre) && !node.host.equals(host))
                .allMatch(node -> node.stateOf(host) == state);
    }

    private long deathsSeen() {
        return cluster.nodes.values().stream()
                .flatMap(node -> node.changes.stream())
                .filter(change -> change.endsWith("DEAD"))
                .count();
    }

    private static long incarnationSeen(MembershipCluster.Node node) {
        return node.stateMachine.find(new HostId("a-3")).orElseThrow().incarnation();
    }

    private static Fact fact(String key, long version, Fact.Scope scope) {
        return new Fact("test", key, version, ByteString.copyFromUtf8("v"), 30_000, scope);
    }

    private static HostEntry listed(String host) {
        return entry(host, false);
    }

    private static HostEntry leaving(String host) {
        return entry(host, true);
    }

    private static HostEntry entry(String host, boolean leaving) {
        Location location = new Location(new RegionId("region"), new DataCentreId("a"));
        return new HostEntry(host, HostRole.ENTRY, location, host + ":1", Set.of(), leaving);
    }
}
