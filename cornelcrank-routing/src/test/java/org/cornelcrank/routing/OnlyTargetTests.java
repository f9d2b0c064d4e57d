package org.cornelcrank.routing;

import java.util.Collections;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.routing.VirtualFleet.Cut;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that only one target can run, whose daemon loses its way to that target. */
class OnlyTargetTests {

    private static final int DAEMON = 0;

    /** How long the targets of a fleet need for the prompt, and for each token, in ms. */
    private static final long PROMPT_MS = 200;

    private static final long TOKEN_MS = 10;

    private final VirtualFleet fleet = new VirtualFleet(5);
    private final TargetId target = new TargetId("only");

    private void start() {
        fleet.addEngine("only", VirtualFleet.SOUTH, 8, PROMPT_MS, TOKEN_MS);
        startDaemons(Collections.nCopies(4, VirtualFleet.SOUTH));
    }

    private void startDaemons(List<Location> locations) {
        fleet.requestOptions = new RequestOptions(3, true, 0, Optional.empty(), Optional.empty());
        fleet.resumesAnywhere = true;
        fleet.start(
                locations,
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        new PrefixAffinityTargetSelector(),
                        AdmissionOrder.URGENCY_FIRST));
        fleet.keepEffects = true;
    }

    private SentRequest sendStream(long key, boolean resumed) {
        RequestOptions options =
                new RequestOptions(3, true, 0, Optional.of(new StreamIdentity(key, resumed)), Optional.empty());
        return fleet.send(DAEMON, Work.online(10, key).withDeadline(6_000), options);
    }

    private SentRequest sendAndRun(long spanMs) {
        SentRequest request = fleet.send(DAEMON, Work.online(100, fleet.nowMs).withDeadline(6_000));
        fleet.run(spanMs);
        assertThat(request.dispatchedTo).isNotEmpty();
        return request;
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void requestWithoutResponseIsNotGivenUpWithTheWayToItsOnlyTarget(Cut cut) {
        start();
        SentRequest request = sendAndRun(PROMPT_MS / 2);
        fleet.cutFromTarget(DAEMON, target, cut);
        fleet.run(6_000);
        assertThat(request).matches(SentRequest::completedInTime);
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void streamIsNotCutWithTheWayToItsOnlyTarget(Cut cut) {
        start();
        SentRequest request = sendAndRun(PROMPT_MS + 20 * TOKEN_MS);
        fleet.cutFromTarget(DAEMON, target, cut);
        fleet.run(6_000);
        assertThat(request).matches(SentRequest::completedInTime);
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void streamIsNotCutWithTheWayToTheOnlyTargetOfItsVersion(Cut cut) {
        fleet.addEngine("r-1", VirtualFleet.SOUTH, new SoftwareVersion("1"));
        fleet.addEngine("r-2", VirtualFleet.SOUTH, new SoftwareVersion("2"));
        startDaemons(Collections.nCopies(4, VirtualFleet.SOUTH));
        SentRequest request = sendAndRun(500);
        TargetId first = request.dispatchedTo.get(0);
        fleet.cutFromTarget(DAEMON, first, cut);
        fleet.run(6_000);
        assertThat(request).matches(SentRequest::completedInTime);
        assertThat(request.dispatchedTo).containsOnly(first);
    }

    @Test
    void requestIsNotGivenUpIfItsConnectionIsResetAfterNewOnesWereRefused() {
        start();
        SentRequest request = sendAndRun(PROMPT_MS / 2);
        fleet.refuseNewConnections(DAEMON, target);
        SentRequest later = sendAndRun(PROMPT_MS / 2);
        assertThat(fleet.count("attempts-relayed")).isPositive();
        fleet.cutFromTarget(DAEMON, target, Cut.REFUSED);
        fleet.run(6_000);
        assertThat(List.of(request, later)).allMatch(SentRequest::completedInTime);
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void streamIsNotCutWithTheWayOfItsRelayToItsOnlyTarget(Cut cut) {
        start();
        fleet.cutFromTarget(DAEMON, target, cut);
        SentRequest request = sendAndRun(PROMPT_MS + 1_000);
        HostId relay = fleet.nodes
                .get(DAEMON)
                .jobs
                .values()
                .iterator()
                .next()
                .relayedBy
                .orElseThrow();
        fleet.cutFromTarget(Integer.parseInt(relay.value().substring(1)), target, cut);
        fleet.run(6_000);
        assertThat(request).matches(SentRequest::completedInTime);
    }

    @Test
    void silentRequestIsNotLeftWithoutACheckByALostProbe() {
        start();
        VirtualFleet.Node node = fleet.nodes.get(DAEMON);
        SentRequest request = sendAndRun(PROMPT_MS / 2);
        node.losesProbes = true;
        fleet.cutFromTarget(DAEMON, target, Cut.SILENT);
        fleet.run(500);
        assertThat(node.probes).isPositive();
        node.losesProbes = false;
        fleet.run(6_000);
        assertThat(request).matches(SentRequest::completedInTime);
    }

    @Test
    void targetIsNotRelayedForGoodAfterALostProbe() {
        start();
        VirtualFleet.Node node = fleet.nodes.get(DAEMON);
        sendAndRun(PROMPT_MS / 2);
        fleet.cutFromTarget(DAEMON, target, Cut.REFUSED);
        fleet.run(2_000);
        node.losesProbes = true;
        fleet.run(1_000);
        node.losesProbes = false;
        fleet.reconnectToTarget(DAEMON, target);
        fleet.run(2_000);
        long relayed = fleet.count("attempts-relayed");
        assertThat(relayed).isPositive();
        sendAndRun(3_000);
        assertThat(fleet.count("attempts-relayed")).isEqualTo(relayed);
    }

    @Test
    void peersAreNotLeftWithoutRepliesAfterLostProbes() {
        start();
        List<VirtualFleet.Node> peers = fleet.nodes.subList(1, 4);
        peers.forEach(peer -> peer.losesProbes = true);
        fleet.cutFromTarget(DAEMON, target, Cut.REFUSED);
        SentRequest refused = sendAndRun(2_500);
        assertThat(refused.completed()).isFalse();
        peers.forEach(peer -> peer.losesProbes = false);
        fleet.run(3_000);
        SentRequest request = sendAndRun(6_000);
        assertThat(request).matches(SentRequest::completedInTime);
    }

    /** Guards against refusals for targets other than the one under check. */
    @Test
    void streamIsNotRefusedWhileTheOnlyRelayIsReplaced() {
        fleet.addEngine("r-1", VirtualFleet.SOUTH, new SoftwareVersion("1"));
        fleet.addEngine("r-2", VirtualFleet.SOUTH, new SoftwareVersion("2"));
        startDaemons(List.of(VirtualFleet.SOUTH, VirtualFleet.SOUTH, VirtualFleet.NORTH));
        long key = 1;
        SentRequest begun = sendStream(key, false);
        fleet.run(1_000);
        long otherKey = key;
        SentRequest other;
        do {
            other = sendStream(++otherKey, false);
            fleet.run(1_000);
        } while (other.dispatchedTo.equals(begun.dispatchedTo));
        fleet.nodes.get(2).losesProbes = true;
        fleet.cutFromTargets(DAEMON, Cut.REFUSED);
        assertThat(sendAndRun(3_000)).matches(SentRequest::completed);
        fleet.nodes.get(2).losesProbes = false;
        fleet.killDaemon(1, 500);
        long checked = fleet.count("paths-checked");
        SentRequest first = sendStream(key, true);
        while (first.reply == null && fleet.count("paths-checked") == checked) {
            fleet.run(1);
        }
        SentRequest second = sendStream(otherKey, true);
        assertThat(second.reply).isNull();
        fleet.run(6_000);
        assertThat(List.of(first, second)).allMatch(SentRequest::completedInTime);
        assertThat(second.dispatchedTo).containsOnly(other.dispatchedTo.get(0));
    }

    @Test
    void requestDoesNotWaitForItsOnlyTargetOnceThatIsFoundDown() {
        start();
        SentRequest request = sendAndRun(PROMPT_MS / 2);
        fleet.cutFromTarget(DAEMON, target, Cut.REFUSED);
        fleet.crashTarget(target, 10_000);
        fleet.run(1_000);
        assertThat(request.reply).isInstanceOfSatisfying(Refusal.class, refusal -> assertThat(refusal.code())
                .isEqualTo(RefusalCode.NO_TARGET));
    }
}
