package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PermitFailureTests {

    private static final int TOKENS = 100;
    private static final int SLOTS = 4;
    private static final TargetId TARGET = new TargetId("r1");
    private static final long DISSEMINATION_MS = 200;
    private static final int LONG_TOKENS = 600;
    private static final long CONTROLLER_PAUSE_MS = 700;
    private static final long SHORT_PAUSE_MS = 60;

    private final VirtualFleet fleet = new VirtualFleet(9);
    private EngineModel engine;
    private int controller;

    @BeforeEach
    void start() {
        engine = fleet.addEngine("r1", VirtualFleet.NORTH, SLOTS, 100, 10);
        fleet.start(List.of(VirtualFleet.NORTH, VirtualFleet.NORTH, VirtualFleet.NORTH), RoutingPolicy::defaults);
        controller = fleet.nodes.stream()
                .filter(node -> node.watched.contains(TARGET))
                .findFirst()
                .orElseThrow()
                .index;
    }

    private int otherThanController() {
        return (controller + 1) % fleet.nodes.size();
    }

    private BatchOwnerModel startBatch(int daemon, int items) {
        BatchOwnerModel owner = new BatchOwnerModel(
                fleet.nodes.get(daemon), "job" + daemon, "/nilavu/summaries", items, 300, fleet.nowMs + 600_000);
        owner.start(fleet.nowMs);
        return owner;
    }

    @Test
    void urgentRequestIsDispatchedWithoutPermitIfTheControllerDoesNotReply() {
        fleet.keepEffects = true;
        fleet.killDaemon(controller, 60_000);
        SentRequest request = fleet.send(otherThanController(), Work.online(TOKENS, 1));
        fleet.run(3_000);
        assertThat(request.completed()).isTrue();
        assertThat(request.waitMs()).isLessThan(150);
        assertThat(fleet.nodes.get(otherThanController()).effects)
                .anyMatch(effect -> effect instanceof Effect.Explain explain
                        && explain.decision().contains("without a permit"));
    }

    @Test
    void newControllerCountsRunningPermitsBeforeItGrants() {
        startBatch(otherThanController(), 100);
        fleet.run(1_500);
        assertThat(engine.running).hasSize(SLOTS);
        fleet.killDaemon(controller, 200);
        for (int step = 0; step < 300; step++) {
            fleet.run(10);
            assertThat(engine.running.size() + engine.queue.size()).isLessThanOrEqualTo(SLOTS);
        }
        assertThat(engine.running).hasSize(SLOTS);
    }

    /** The controller knows before its peers that it leaves, so that its successor still names it. */
    @Test
    void requestsThatWaitWhileTheirControllerHandsOverAreNotDispatchedWithoutAPermit() {
        fleet.nodes.forEach(node -> node.settings.setSlots(TARGET, SLOTS));
        List<SentRequest> requests = new ArrayList<>();
        for (int i = 0; i < 3 * SLOTS; i++) {
            requests.add(fleet.send(i % fleet.nodes.size(), Work.online(TOKENS, i)));
        }
        fleet.run(500);
        assertThat(engine.running).hasSize(SLOTS);
        HostId leaving = fleet.nodes.get(controller).identity.host();
        fleet.nodes.get(controller).membership.set(leaving, MemberState.LEAVING);
        fleet.nodes.get(controller).handle(new Event.StopRequested());
        fleet.at(
                fleet.nowMs + DISSEMINATION_MS,
                () -> fleet.nodes.forEach(node -> node.membership.set(leaving, MemberState.LEAVING)));
        for (int step = 0; step < 500; step++) {
            fleet.run(10);
            assertThat(engine.running.size() + engine.queue.size()).isLessThanOrEqualTo(SLOTS);
        }
        assertThat(fleet.count("permits-skipped")).isZero();
        assertThat(requests).allMatch(SentRequest::completed);
    }

    /** Guards against a pause of a controller that sends all requests of its queue to the target at once. */
    @Test
    void requestsThatWaitAreNotDispatchedWithoutAPermitIfTheirControllerPauses() {
        fillSlotsAndQueue();
        fleet.run(800);
        fleet.cutOff(controller);
        fleet.at(fleet.nowMs + CONTROLLER_PAUSE_MS, () -> fleet.reconnect(controller));
        for (int step = 0; step < 200; step++) {
            fleet.run(10);
            assertThat(engine.running.size() + engine.queue.size()).isEqualTo(SLOTS);
        }
        assertThat(fleet.count("permits-skipped")).isZero();
    }

    @Test
    void requestsThatWaitAreDispatchedIfTheirControllerNeverRepliesAgain() {
        List<SentRequest> requests = fillSlotsAndQueue();
        fleet.run(800);
        fleet.cutOff(controller);
        fleet.run(2_500);
        assertThat(requests).allMatch(request -> request.dispatchedTo.size() == 1);
    }

    /** Guards against requests that are given up after their target's end as a controller replies late. */
    @Test
    void requestThatLostItsTargetIsNotGivenUpIfTheOtherControllersPause() {
        SentRequest request = fleet.send(otherThanController(), Work.online(3 * TOKENS, 1));
        fleet.run(300);
        fleet.addEngine("r2", VirtualFleet.NORTH, SLOTS, 100, 10);
        fleet.list(host -> true);
        fleet.run(1_000);
        fleet.nodes.stream().filter(node -> node.index != request.daemon).forEach(node -> fleet.cutOff(node.index));
        fleet.crashTarget(TARGET, 3_000);
        fleet.run(SHORT_PAUSE_MS);
        fleet.nodes.forEach(node -> fleet.reconnect(node.index));
        fleet.run(5_000);
        assertThat(request.dispatchedTo).containsExactly(TARGET, new TargetId("r2"));
        assertThat(request.completed()).isTrue();
    }

    /** Guards against streams that are cut after their target's end as the other controllers pause for some time. */
    @Test
    void streamThatLostItsTargetIsNotCutIfTheOtherControllersPauseForLonger() {
        fleet.resumesAnywhere = true;
        fleet.reportsTokensOfCrashes = true;
        SentRequest stream =
                fleet.send(otherThanController(), Work.online(3 * TOKENS, 1), new RequestOptions(0, true, 0));
        fleet.run(300);
        fleet.addEngine("r2", VirtualFleet.NORTH, SLOTS, 100, 10);
        fleet.list(host -> true);
        fleet.run(1_000);
        fleet.nodes.stream().filter(node -> node.index != stream.daemon).forEach(node -> fleet.cutOff(node.index));
        fleet.crashTarget(TARGET, 10_000);
        fleet.run(2 * CONTROLLER_PAUSE_MS);
        fleet.nodes.forEach(node -> fleet.reconnect(node.index));
        fleet.run(5_000);
        assertThat(stream.completed()).as("%s", stream).isTrue();
        assertThat(stream.dispatchedTo).containsExactly(TARGET, new TargetId("r2"));
    }

    /** Sends requests to a daemon that is not the controller: as many as there are slots, and twice as many more. */
    private List<SentRequest> fillSlotsAndQueue() {
        fleet.nodes.forEach(node -> node.settings.setSlots(TARGET, SLOTS));
        List<SentRequest> requests = new ArrayList<>();
        for (int i = 0; i < 3 * SLOTS; i++) {
            requests.add(fleet.send(otherThanController(), Work.online(LONG_TOKENS, i)));
        }
        return requests;
    }

    @Test
    void requestIsDispatchedWithoutPermitIfTheDaemonsNeverAgreeOnTheController() {
        HostId leaving = fleet.nodes.get(controller).identity.host();
        fleet.nodes.get(controller).membership.set(leaving, MemberState.LEAVING);
        SentRequest request = fleet.send(otherThanController(), Work.online(TOKENS, 1));
        fleet.run(3_000);
        assertThat(request.completed()).isTrue();
        assertThat(request.waitMs()).isLessThan(1_000);
    }

    @Test
    void permitsOfALostHolderAreFreed() {
        startBatch(otherThanController(), 100);
        fleet.run(1_500);
        assertThat(engine.running).hasSize(SLOTS);
        fleet.killDaemon(otherThanController(), 500);
        BatchOwnerModel other = startBatch(controller, 100);
        fleet.run(1_000);
        assertThat(other.running).isEqualTo(SLOTS);
    }

    @Test
    void permitWhoseReleaseWasLostIsFreedByTheNextAdvertisement() {
        VirtualFleet.Node node = fleet.nodes.get(controller);
        HostId holder = fleet.nodes.get(otherThanController()).identity.host();
        for (int i = 0; i < SLOTS; i++) {
            node.handle(new Event.PeerMessageReceived(
                    holder,
                    new RoutingMessage.PermitRequested(
                            new AttemptId(holder, 1, 1_000 + i),
                            TARGET,
                            VirtualFleet.SERVICE,
                            Urgency.IMMEDIATE,
                            10_000,
                            RoutingMessage.PermitRequested.NO_OBJECTIVE,
                            false)));
        }
        fleet.run(2_000);
        node.handle(new Event.PeerMessageReceived(holder, new RoutingMessage.RunningPermits(TARGET, List.of())));
        SentRequest request = fleet.send(controller, Work.online(TOKENS, 1));
        fleet.run(20);
        assertThat(engine.running).hasSize(1);
        assertThat(request.dispatchedTo).hasSize(1);
    }

    @Test
    void lateGrantIsReleasedAndNotUsedByAnotherRequest() {
        VirtualFleet.Node node = fleet.nodes.get(otherThanController());
        fleet.keepEffects = true;
        SentRequest request = fleet.send(otherThanController(), Work.online(TOKENS, 1));
        node.handle(new Event.CallerDisconnected(request.id));
        AttemptId requested = node.effects.stream()
                .filter(Effect.Send.class::isInstance)
                .map(effect -> ((Effect.Send) effect).message())
                .filter(RoutingMessage.PermitRequested.class::isInstance)
                .map(message -> ((RoutingMessage.PermitRequested) message).attempt())
                .findFirst()
                .orElseThrow();
        SentRequest next = fleet.send(otherThanController(), Work.online(TOKENS, 2));
        node.effects.clear();
        node.handle(new Event.PeerMessageReceived(
                fleet.nodes.get(controller).identity.host(),
                new RoutingMessage.PermitGranted(
                        requested, TARGET, new TargetOccupancy(SLOTS, 0, 0, 0, new TreeSet<>()))));
        assertThat(node.effects).noneMatch(Effect.Dispatch.class::isInstance);
        assertThat(node.effects)
                .anyMatch(effect -> effect instanceof Effect.Send send
                        && send.message() instanceof RoutingMessage.PermitReleased released
                        && released.attempt().equals(requested));
        fleet.run(2_000);
        assertThat(next.completed()).isTrue();
        assertThat(request.dispatchedTo).isEmpty();
    }

    @Test
    void preemptedBatchWorkResumesWhereItStopped() {
        BatchOwnerModel owner = startBatch(otherThanController(), 6);
        fleet.run(2_500);
        for (int i = 0; i < SLOTS; i++) {
            fleet.send(i % 3, Work.online(TOKENS, i));
        }
        fleet.run(30_000);
        assertThat(owner.finished).isEqualTo(6);
        assertThat(owner.keptTokens).isPositive();
        assertThat(owner.lostTokens).isZero();
        assertThat(fleet.sentRequests.values()).allMatch(request -> request.completed() && request.waitMs() < 120);
    }

    @Test
    void allItemsCompleteDespiteAChangeOfController() {
        BatchOwnerModel owner = startBatch(otherThanController(), 40);
        fleet.run(2_000);
        fleet.killDaemon(controller, 1_000);
        fleet.run(60_000);
        assertThat(owner.finished).isEqualTo(40);
        assertThat(owner.failed).isZero();
    }

    @Test
    void hugeJobDoesNotStarveASmallJobOfAnotherTeam() {
        assertThat(finishedAlongsideHugeJobDueIn(36_000_000)).isEqualTo(10);
    }

    @Test
    void hugeJobCloseToItsDeadlineLeavesAThirdToOtherTeams() {
        assertThat(finishedAlongsideHugeJobDueIn(60_000)).isGreaterThanOrEqualTo(20_000 / 3_100 * SLOTS / 3);
    }

    /** Returns how many of ten items finish in 20 s, in which four slots can run 25. */
    private int finishedAlongsideHugeJobDueIn(long dueInMs) {
        VirtualFleet.Node first = fleet.nodes.get(otherThanController());
        new BatchOwnerModel(first, "huge", "/nilavu/summaries", 2_000, 300, fleet.nowMs + dueInMs).start(fleet.nowMs);
        fleet.run(5_000);
        VirtualFleet.Node second = fleet.nodes.get(controller);
        BatchOwnerModel small =
                new BatchOwnerModel(second, "small", "/tatranske/rollup", 10, 300, fleet.nowMs + 36_000_000);
        small.start(fleet.nowMs);
        fleet.run(20_000);
        return small.finished;
    }

    @Test
    void drainedTargetGetsNoNewWorkAndCompletesRunningWork() {
        BatchOwnerModel owner = startBatch(otherThanController(), 100);
        SentRequest running = fleet.send(0, Work.online(TOKENS, 1));
        fleet.run(200);
        for (VirtualFleet.Node node : fleet.nodes) {
            Effects out = new Effects();
            node.settings.drain("r1", fleet.nowMs, out);
            node.execute(out);
        }
        fleet.run(10);
        int started = owner.running;
        fleet.run(10_000);
        assertThat(running.completed()).isTrue();
        assertThat(owner.finished).isEqualTo(started);
        assertThat(engine.running).isEmpty();
    }

    @Test
    void leavingDaemonHandsOverItsTargetsWithoutLosingRequests() {
        startBatch(otherThanController(), 100);
        for (int i = 0; i < 60; i++) {
            int daemon = i % 3;
            int number = i;
            fleet.at(fleet.nowMs + 120L * i, () -> fleet.send(daemon, Work.online(20, number)));
        }
        fleet.at(
                fleet.nowMs + 1_000,
                () -> fleet.nodes.forEach(node ->
                        node.membership.set(fleet.nodes.get(controller).identity.host(), MemberState.LEAVING)));
        fleet.run(12_000);
        assertThat(fleet.sentRequests.values()).allMatch(SentRequest::completed);
    }

    @Test
    void requestsBeyondTheTeamLimitAreRefused() {
        fleet.nodes.get(0).settings.putTeam("/nilavu", List.of(), 3, 0);
        for (int i = 0; i < 20; i++) {
            fleet.send(0, Work.online(1, i));
        }
        fleet.run(5_000);
        assertThat(fleet.sentRequests.values())
                .filteredOn(SentRequest::completed)
                .hasSize(10);
    }
}
