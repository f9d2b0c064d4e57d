package org.cornelcrank.routing;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OnlineRoutingTests {

    private static final int TOKENS = 50;
    private static final int ITEMS = 12;
    private static final Refusal STOPPING = Refusal.notRun(RefusalCode.NOT_READY, "the daemon is stopping", 10);

    private final VirtualFleet fleet = new VirtualFleet(1);

    private void startWithTwoTargets() {
        fleet.addEngine("r1", VirtualFleet.NORTH, 4, 100, 10);
        fleet.addEngine("r2", VirtualFleet.NORTH, 4, 100, 10);
        fleet.start(List.of(VirtualFleet.NORTH, VirtualFleet.NORTH, VirtualFleet.NORTH), RoutingPolicy::defaults);
    }

    @Test
    void requestCompletesOnOneTarget() {
        startWithTwoTargets();
        SentRequest request = fleet.send(0, Work.online(TOKENS, 1));
        fleet.run(2_000);
        assertThat(request.reply).isInstanceOf(OnlineEnded.class);
        assertThat(request.dispatchedTo).hasSize(1);
    }

    @Test
    void refusedConnectionIsRetriedOnAnotherTarget() {
        startWithTwoTargets();
        fleet.engines.values().iterator().next().up = false;
        for (int i = 0; i < 8; i++) {
            fleet.send(i % 3, Work.online(TOKENS, i).notRepeatable());
        }
        fleet.run(3_000);
        assertThat(fleet.sentRequests.values()).allMatch(SentRequest::completed);
    }

    @Test
    void nonRepeatableRequestIsNotRetriedOnceItMayHaveRun() {
        startWithTwoTargets();
        SentRequest request = fleet.send(0, Work.online(TOKENS, 1).notRepeatable());
        fleet.run(200);
        fleet.crashTarget(request.dispatchedTo.get(0), 1_000);
        fleet.run(3_000);
        assertThat(request.dispatchedTo).hasSize(1);
        assertThat(request.reply).isInstanceOfSatisfying(Refusal.class, refusal -> assertThat(refusal.verdict())
                .isEqualTo(Verdict.MAY_HAVE_RUN));
    }

    @Test
    void requestIsRefusedAsNotRunIfNoTargetServesIt() {
        fleet.start(List.of(VirtualFleet.NORTH), RoutingPolicy::defaults);
        SentRequest request = fleet.send(0, Work.online(TOKENS, 1));
        assertThat(request.reply).isInstanceOfSatisfying(Refusal.class, refusal -> {
            assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(refusal.code()).isEqualTo(RefusalCode.NO_TARGET);
            assertThat(refusal.retryAfterMs()).isPositive();
        });
    }

    @Test
    void requestsOpenAtTheTimeLimitOfAStopEndWithTheirVerdict() {
        startWithTwoTargets();
        VirtualFleet.Node node = fleet.nodes.get(0);
        for (int i = 0; i < 24; i++) {
            fleet.send(0, Work.online(TOKENS, i).notRepeatable());
        }
        fleet.run(200);
        List<SentRequest> open = List.copyOf(fleet.sentRequests.values());
        node.handle(new Event.StopTimedOut(STOPPING));
        List<SentRequest> running =
                open.stream().filter(each -> !each.dispatchedTo.isEmpty()).toList();
        List<SentRequest> waiting =
                open.stream().filter(each -> each.dispatchedTo.isEmpty()).toList();
        assertThat(running).isNotEmpty().allSatisfy(each -> assertThat(each.reply)
                .isEqualTo(new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED, "the daemon is stopping", 0)));
        assertThat(waiting).isNotEmpty().allSatisfy(each -> assertThat(each.reply)
                .isEqualTo(STOPPING));
        fleet.run(10_000);
        assertThat(waiting).allMatch(each -> each.dispatchedTo.isEmpty());
        assertThat(fleet.engines.values()).allMatch(engine -> engine.running.isEmpty() && engine.queue.isEmpty());
    }

    @Test
    void requestThatArrivesAfterTheTimeLimitOfAStopIsRefusedAsNotRun() {
        startWithTwoTargets();
        fleet.nodes.get(0).handle(new Event.StopTimedOut(STOPPING));
        SentRequest request = fleet.send(0, Work.online(TOKENS, 1));
        fleet.run(2_000);
        assertThat(request.reply).isEqualTo(STOPPING);
        assertThat(request.dispatchedTo).isEmpty();
    }

    @Test
    void leavingTargetGetsNoNewWorkFromAnyDaemonAfterThreeSeconds() {
        startWithTwoTargets();
        TargetId leaving = new TargetId("r1");
        HostEntry entry = fleet.hosts.get(leaving);
        HostEntry listed =
                new HostEntry(entry.name(), entry.role(), entry.location(), entry.address(), entry.services(), true);
        fleet.nodes.get(0).handle(new Event.HostListRead(List.of(listed, fleet.hosts.get(new TargetId("r2")))));
        fleet.run(3_000);
        for (int i = 0; i < 12; i++) {
            fleet.send(i % 3, Work.online(TOKENS, i));
        }
        fleet.run(5_000);
        assertThat(fleet.sentRequests.values())
                .allMatch(SentRequest::completed)
                .noneMatch(request -> request.dispatchedTo.contains(leaving));
    }

    /** Its controller does not know yet that the target leaves, and would grant a released slot again at once. */
    @Test
    void itemIsNotSentToALeavingTargetAndItsPermitIsReleasedOnlyAfterAWhile() {
        startWithTwoTargets();
        TargetId leaving = new TargetId("r1");
        VirtualFleet.Node owner = fleet.nodes.get(0);
        owner.handle(new Event.HostListRead(List.of(leaving(leaving, 0), fleet.hosts.get(new TargetId("r2")))));
        BatchOwnerModel job = new BatchOwnerModel(owner, "job", "/nilavu/batch", ITEMS, TOKENS, fleet.nowMs + 60_000);
        job.start(fleet.nowMs);
        fleet.keepEffects = true;
        DaemonIdentity controller = fleet.nodes.get(1).identity;
        AttemptId permit = new AttemptIdGenerator(controller).next();
        owner.handle(new Event.PeerMessageReceived(
                controller.host(), new RoutingMessage.BatchGranted(permit, leaving, new JobId("job"))));
        fleet.run(1_500);
        assertThat(owner.effects).noneMatch(effect -> releases(effect, permit));
        fleet.run(20_000);
        assertThat(owner.effects).filteredOn(effect -> releases(effect, permit)).hasSize(1);
        assertThat(job.finished).isEqualTo(ITEMS);
        assertThat(owner.effects)
                .noneMatch(effect -> effect instanceof Effect.Dispatch dispatch
                        && dispatch.target().equals(leaving));
    }

    private static boolean releases(Effect effect, AttemptId permit) {
        return effect instanceof Effect.Send send
                && send.message() instanceof RoutingMessage.PermitReleased released
                && released.attempt().equals(permit);
    }

    @Test
    void nextIncarnationOfATargetThatLeftIsUsedAtOnceByAllDaemons() {
        startWithTwoTargets();
        TargetId target = new TargetId("r1");
        fleet.nodes.get(0).handle(new Event.HostListRead(List.of(leaving(target, 1))));
        fleet.run(1_000);
        HostEntry former = fleet.hosts.get(target);
        HostEntry next = new HostEntry(
                former.name(),
                former.role(),
                former.location(),
                former.address(),
                former.services(),
                false,
                2,
                SoftwareVersion.UNSTATED);
        fleet.nodes.forEach(node -> node.handle(new Event.HostListRead(List.of(next))));
        for (int i = 0; i < 3; i++) {
            fleet.send(i, Work.online(TOKENS, i));
        }
        fleet.run(5_000);
        assertThat(fleet.sentRequests.values()).allMatch(SentRequest::completed);
    }

    private HostEntry leaving(TargetId target, long incarnation) {
        HostEntry entry = fleet.hosts.get(target);
        return new HostEntry(
                entry.name(),
                entry.role(),
                entry.location(),
                entry.address(),
                entry.services(),
                true,
                incarnation,
                SoftwareVersion.UNSTATED);
    }

    @Test
    void targetWithManyLoadedModelsStillServes() {
        startWithTwoTargets();
        TreeSet<String> loaded = new TreeSet<>(Set.of(VirtualFleet.SERVICE.value()));
        for (int i = 0; i < 100; i++) {
            loaded.add("adapter-of-customer-" + i);
        }
        for (VirtualFleet.Node node : fleet.nodes) {
            node.handle(new Event.TargetReported(
                    new TargetReport(new TargetId("r1"), fleet.nowMs, 4, 0, 0, loaded, false, 0)));
        }
        SentRequest request = fleet.send(0, Work.online(TOKENS, 1));
        fleet.run(2_000);
        assertThat(request.completed()).isTrue();
    }

    @Test
    void factOfAnUnknownKindIsIgnored() {
        startWithTwoTargets();
        fleet.nodes
                .get(0)
                .receive(new Fact(
                        RoutingStateMachine.NAME,
                        "later/kind/of-fact",
                        1,
                        ByteString.EMPTY,
                        1_000,
                        Fact.Scope.EVERYWHERE));
        SentRequest request = fleet.send(0, Work.online(TOKENS, 1));
        fleet.run(2_000);
        assertThat(request.completed()).isTrue();
    }
}
