package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Plays requests that are open while the settings change. */
class SettingsChangeTests {

    private static final int TOKENS = 50;
    private static final long OBJECTIVE_MS = 5_000;
    private static final long DEADLINE_MS = 8_000;

    private final VirtualFleet fleet = new VirtualFleet(1);

    @BeforeEach
    void start() {
        fleet.resumesAnywhere = true;
        fleet.reportsTokensOfCrashes = true;
        fleet.requestOptions = new RequestOptions(3, true, OBJECTIVE_MS);
        fleet.addEngine("r1", VirtualFleet.NORTH, 4, 100, 10);
        fleet.addEngine("r2", VirtualFleet.NORTH, 4, 100, 10);
        fleet.addEngine("r3", VirtualFleet.NORTH, 4, 100, 10);
        fleet.start(
                List.of(VirtualFleet.NORTH, VirtualFleet.NORTH, VirtualFleet.NORTH),
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        RoutingPolicy.defaults().selector(),
                        RoutingPolicy.defaults().admission()));
    }

    private SentRequest send(int daemon, long fingerprint) {
        return fleet.send(daemon, Work.online(TOKENS, fingerprint).withDeadline(DEADLINE_MS));
    }

    private void dropTeam() {
        fleet.nodes.forEach(node -> {
            Effects out = new Effects();
            node.settings.dropTeam("/nilavu", fleet.nowMs, out);
            node.execute(out);
        });
    }

    private void drain(String target) {
        fleet.nodes.forEach(node -> {
            Effects out = new Effects();
            node.settings.drain(target, fleet.nowMs, out);
            node.execute(out);
        });
    }

    /** Guards against streams that are cut because their team was removed before they had to be resumed. */
    @Test
    void streamThatWasAcceptedBeforeItsTeamWasRemovedIsResumed() {
        SentRequest stream = send(0, 1);
        fleet.run(300);
        assertThat(stream.firstTokenAtMs).isPositive();
        dropTeam();
        fleet.crashTarget(stream.dispatchedTo.get(0), 10_000);
        fleet.run(DEADLINE_MS);
        assertThat(stream.dispatchedTo).hasSize(2).doesNotHaveDuplicates();
        assertThat(stream.completedInTime()).as("%s", stream).isTrue();
    }

    /** Guards against requests that are refused because their team was removed after their service was selected. */
    @Test
    void requestWhoseTeamWasRemovedAfterItsAdmissionRuns() {
        Optional<TeamPolicy> policy = fleet.nodes.get(0).settings.team(new TeamPath("/nilavu"));
        fleet.requestOptions = new RequestOptions(3, true, OBJECTIVE_MS, Optional.empty(), policy);
        dropTeam();
        SentRequest request = send(0, 1);
        fleet.run(DEADLINE_MS);
        assertThat(request.completedInTime()).as("%s", request).isTrue();
    }

    /** Guards against waiting requests that are refused because their team was removed meanwhile. */
    @Test
    void requestsThatWaitWhileTheirTeamIsRemovedRun() {
        List<SentRequest> waiting = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            waiting.add(send(i % 3, i));
        }
        fleet.run(50);
        dropTeam();
        fleet.crashTarget(waiting.get(0).dispatchedTo.get(0), 10_000);
        fleet.run(DEADLINE_MS);
        assertThat(waiting).allMatch(SentRequest::completedInTime);
    }

    /** Guards against streams that are cut as the targets where they wait to be resumed are drained, though others are left. */
    @ParameterizedTest
    @ValueSource(strings = {"r2", "r3", "r4", "r5"})
    void streamThatWaitsToBeResumedGoesOnAtTheTargetThatIsNotDrained(String left) {
        fleet.addEngine("r4", VirtualFleet.NORTH, 4, 100, 10);
        fleet.addEngine("r5", VirtualFleet.NORTH, 4, 100, 10);
        fleet.list(host -> true);
        fleet.run(2_000);
        SentRequest stream = send(0, 1);
        fleet.run(300);
        for (int i = 2; i <= 20; i++) {
            fleet.send(i % 3, Work.online(2 * TOKENS, i).withDeadline(DEADLINE_MS));
            fleet.run(5);
        }
        TargetId first = stream.dispatchedTo.get(0);
        fleet.crashTarget(first, 10_000);
        fleet.run(20);
        for (String target : List.of("r1", "r2", "r3", "r4", "r5")) {
            if (!target.equals(left) && !target.equals(first.value())) {
                drain(target);
            }
        }
        fleet.run(DEADLINE_MS);
        assertThat(stream.completedInTime()).as("%s", stream).isTrue();
    }

    /** Guards against streams that are cut as the queues of the other targets are full after a change of the slots. */
    @Test
    void streamThatHasToBeResumedWhileAllQueuesAreFullIsNotCut() {
        SentRequest stream = fleet.send(0, Work.online(2 * TOKENS, 1).withDeadline(4 * DEADLINE_MS));
        fleet.run(300);
        fillQueues();
        fleet.crashTarget(stream.dispatchedTo.get(0), 10_000);
        fleet.run(4 * DEADLINE_MS);
        assertThat(stream.completedInTime()).as("%s", stream).isTrue();
        assertThat(stream.dispatchedTo).hasSize(2).doesNotHaveDuplicates();
    }

    /** Guards against streams that are cut by a full queue although only their own target can resume them. */
    @Test
    void streamThatOnlyItsTargetCanResumeIsNotCutWhileTheQueueThereIsFull() {
        RequestOptions bound = new RequestOptions(3, false, OBJECTIVE_MS);
        SentRequest stream = fleet.send(0, Work.online(2 * TOKENS, 1).withDeadline(4 * DEADLINE_MS), bound);
        fleet.run(300);
        fillQueues();
        fleet.cutFromTarget(0, stream.dispatchedTo.get(0), VirtualFleet.Cut.REFUSED);
        fleet.reconnectToTarget(0, stream.dispatchedTo.get(0));
        fleet.run(4 * DEADLINE_MS);
        assertThat(stream.completedInTime()).as("%s", stream).isTrue();
        assertThat(stream.dispatchedTo).hasSize(2).containsOnly(stream.dispatchedTo.get(0));
    }

    /** Guards against streams that are cut as the entry of their silent target lapses and comes back. */
    @Test
    void streamIsNotCutAsTheEntryOfItsSilentTargetLapsesAndComesBack() {
        SentRequest stream = fleet.send(
                0, Work.online(TOKENS, 1).withDeadline(DEADLINE_MS), new RequestOptions(1, true, OBJECTIVE_MS));
        fleet.run(300);
        TargetId target = stream.dispatchedTo.get(0);
        fleet.silence(target, 1_500);
        fleet.list(host -> !host.name().equals(target.value()));
        fleet.run(100);
        fleet.list(host -> true);
        fleet.run(DEADLINE_MS);
        assertThat(stream.completedInTime()).as("%s", stream).isTrue();
        assertThat(stream.dispatchedTo).hasSize(1);
    }

    /** Guards against streams that are cut on their last run as silent targets seem to be unreachable. */
    @Test
    void streamOnItsLastRunIsNotCutAsItsDaemonDoubtsItsWayToSilentTargets() {
        RequestOptions once = new RequestOptions(1, true, OBJECTIVE_MS);
        SentRequest stream = fleet.send(0, Work.online(2 * TOKENS, 1).withDeadline(DEADLINE_MS), once);
        fleet.run(300);
        fleet.engines.keySet().forEach(target -> {
            fleet.silence(target, 1_500);
            fleet.refuseNewConnections(0, target);
        });
        fleet.run(400);
        send(0, 2);
        fleet.run(DEADLINE_MS);
        assertThat(stream.completedInTime()).as("%s", stream).isTrue();
    }

    /** Guards against streams that are cut as the target to which they were to move from a silent one is down. */
    @Test
    void streamThatLeftASilentTargetGoesOnThereIfTheOtherIsDown() {
        fleet.readTimeoutMs = 600;
        fleet.list(host -> !host.name().equals("r3"));
        fleet.run(100);
        SentRequest stream = fleet.send(0, Work.online(4 * TOKENS, 1).withDeadline(DEADLINE_MS));
        fleet.run(300);
        TargetId first = stream.dispatchedTo.get(0);
        fleet.silence(first, 1_500);
        fleet.run(fleet.readTimeoutMs - 1);
        fleet.engines.values().forEach(engine -> engine.up = engine.id.equals(first));
        fleet.run(DEADLINE_MS);
        assertThat(stream.completedInTime()).as("%s", stream).isTrue();
        assertThat(stream.dispatchedTo).hasSizeGreaterThan(1);
    }

    /** Guards against streams that are cut after a few refusals, although room comes before their deadline. */
    @Test
    void streamThatEachTargetRefusesToResumeGoesOnOnceOneHasRoom() {
        SentRequest stream = send(0, 1);
        fleet.run(300);
        TargetId first = stream.dispatchedTo.get(0);
        fleet.engines.values().forEach(engine -> engine.refuses = true);
        fleet.crashTarget(first, DEADLINE_MS);
        fleet.run(3_000);
        fleet.engines.values().forEach(engine -> engine.refuses = false);
        fleet.run(DEADLINE_MS);
        assertThat(stream.completedInTime()).as("%s", stream).isTrue();
    }

    /** Halves the slots of all targets, and sends more requests than fit into their queues. */
    private void fillQueues() {
        for (TargetId target : fleet.engines.keySet()) {
            fleet.nodes.forEach(node -> node.settings.setSlots(target, 2));
        }
        for (int i = 2; i <= 80; i++) {
            fleet.send(i % 3, Work.online(TOKENS, i).withDeadline(4 * DEADLINE_MS));
        }
        fleet.run(30);
        assertThat(fleet.sentRequests.values()).anyMatch(request -> request.reply instanceof Refusal);
    }

    /** Guards against requests that stay open for ever because the handling of an event of theirs failed. */
    @Test
    void requestWhoseEventCouldNotBeHandledEndsAfterItsDeadline() {
        SentRequest stream = send(0, 1);
        fleet.run(300);
        VirtualFleet.Node node = fleet.nodes.get(0);
        node.settings.failing = true;
        fleet.crashTarget(stream.dispatchedTo.get(0), 10_000);
        assertThatThrownBy(() -> fleet.run(300)).hasMessage("made to fail");
        node.settings.failing = false;
        fleet.run(2 * DEADLINE_MS);
        assertThat(stream.reply).isInstanceOfSatisfying(Refusal.class, refusal -> {
            assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(refusal.code()).isEqualTo(RefusalCode.DEADLINE_EXCEEDED);
        });
    }
}
