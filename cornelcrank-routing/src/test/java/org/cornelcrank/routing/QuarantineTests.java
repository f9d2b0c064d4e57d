package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.VirtualFleet.Cut;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QuarantineTests {

    private static final long POISON = 666;
    private static final int TOKENS = 100;

    private final VirtualFleet fleet = new VirtualFleet(5);

    @BeforeEach
    void start() {
        for (int i = 1; i <= 4; i++) {
            fleet.addEngine("r" + i, VirtualFleet.NORTH, 4, 100, 10);
        }
        fleet.start(List.of(VirtualFleet.NORTH, VirtualFleet.NORTH, VirtualFleet.NORTH), RoutingPolicy::defaults);
    }

    private SentRequest sendPoison(int daemon) {
        return fleet.send(daemon, Work.online(TOKENS, POISON).crashing(300));
    }

    @Test
    void requestIsQuarantinedAtItsSecondDeathAndThenRefusedByOtherDaemons() {
        SentRequest first = sendPoison(0);
        fleet.run(3_000);
        assertThat(first.dispatchedTo).hasSize(2);
        assertThat(first.reply).isInstanceOfSatisfying(Refusal.class, refusal -> {
            assertThat(refusal.code()).isEqualTo(RefusalCode.QUARANTINED);
            assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        });
        SentRequest resent = sendPoison(1);
        assertThat(resent.dispatchedTo).isEmpty();
        assertThat(resent.reply).isInstanceOfSatisfying(Refusal.class, refusal -> assertThat(refusal.verdict())
                .isEqualTo(Verdict.NOT_RUN));
    }

    @Test
    void requestThatCrashesTargetsThroughRelaysIsQuarantinedAtItsSecondDeath() {
        fleet.cutFromTargets(0, Cut.REFUSED);
        for (int i = 0; i < 20; i++) {
            fleet.send(0, Work.online(TOKENS, i + 1));
            fleet.run(100);
        }
        fleet.run(2_000);
        SentRequest poison = sendPoison(0);
        fleet.run(5_000);
        assertThat(fleet.count("attempts-relayed")).isPositive();
        assertThat(poison.dispatchedTo).hasSize(2);
        assertThat(poison.reply).isInstanceOfSatisfying(Refusal.class, refusal -> assertThat(refusal.code())
                .isEqualTo(RefusalCode.QUARANTINED));
    }

    @Test
    void otherRequestsOnCrashedTargetsComplete() {
        for (int i = 0; i < 9; i++) {
            fleet.send(i % 3, Work.online(TOKENS, i + 1));
        }
        SentRequest poison = sendPoison(0);
        fleet.run(8_000);
        assertThat(poison.dispatchedTo).hasSize(2);
        assertThat(fleet.sentRequests.values())
                .filteredOn(request -> request.work.fingerprint() != POISON)
                .allMatch(SentRequest::completed);
    }

    @Test
    void suspectsNeverRunConcurrentlyOnATarget() {
        for (int i = 0; i < 12; i++) {
            fleet.send(i % 3, Work.online(TOKENS, i + 1));
        }
        fleet.run(200);
        fleet.crashTarget(fleet.engines.keySet().iterator().next(), 500);
        for (int step = 0; step < 400; step++) {
            fleet.run(10);
            fleet.engines.values().forEach(engine -> assertThat(retriesOn(engine))
                    .isLessThanOrEqualTo(1));
        }
        assertThat(fleet.sentRequests.values()).allMatch(SentRequest::completed);
    }

    /**
     * A target crashes under a batch, and its items may then run only one at a time there. Guards against items that
     * are refused and retried at once, over and over, while another one runs.
     */
    @Test
    void waitingSuspectItemsDoNotRequestPermitsInABusyLoop() {
        VirtualFleet singleTarget = new VirtualFleet(5);
        singleTarget.addEngine("r1", VirtualFleet.NORTH, 8, 100, 10);
        singleTarget.start(List.of(VirtualFleet.NORTH, VirtualFleet.NORTH), RoutingPolicy::defaults);
        BatchOwnerModel owner = new BatchOwnerModel(
                singleTarget.nodes.get(1), "job", "/nilavu/summaries", 16, TOKENS, singleTarget.nowMs + 60_000);
        owner.start(singleTarget.nowMs);
        singleTarget.run(400);
        assertThat(owner.running).isGreaterThan(1);
        singleTarget.crashTarget(singleTarget.engines.keySet().iterator().next(), 500);
        singleTarget.run(3_000);
        long before = singleTarget.count("batch-permits-granted");
        singleTarget.run(1_000);
        assertThat(singleTarget.count("batch-permits-granted") - before).isLessThan(16 * 10);
        singleTarget.run(60_000);
        assertThat(owner.finished).isEqualTo(16);
    }

    @Test
    void itemThatCannotBeTheCauseOfCrashesIsPlacedAgainWhenAllIsCalm() {
        for (RoutingSettings settings : List.of(RoutingSettings.defaults(), RoutingSettings.forLatencyObjectives())) {
            VirtualFleet calmFleet = fleetOfFourTargets(settings);
            BatchOwnerModel owner = startItem(calmFleet, OptionalLong.empty());
            crashTargetsOfTheItem(calmFleet, 4);
            calmFleet.run(10_000);
            assertThat(owner.finished).isEqualTo(1);
        }
    }

    @Test
    void itemThatMayBeTheCauseOfCrashesIsQuarantined() {
        for (RoutingSettings settings : List.of(RoutingSettings.defaults(), RoutingSettings.forLatencyObjectives())) {
            VirtualFleet crashingFleet = fleetOfFourTargets(settings);
            BatchOwnerModel owner = startItem(crashingFleet, OptionalLong.of(POISON));
            crashTargetsOfTheItem(crashingFleet, settings.quarantine().deathsToQuarantine());
            crashingFleet.run(10_000);
            assertThat(engineThatRunsAnItem(crashingFleet)).isEmpty();
            assertThat(owner.finished).isZero();
        }
    }

    private static VirtualFleet fleetOfFourTargets(RoutingSettings settings) {
        VirtualFleet newFleet = new VirtualFleet(5);
        for (int i = 1; i <= 4; i++) {
            newFleet.addEngine("r" + i, VirtualFleet.NORTH, 4, 100, 10);
        }
        newFleet.start(
                List.of(VirtualFleet.NORTH, VirtualFleet.NORTH, VirtualFleet.NORTH),
                () -> new RoutingPolicy(settings, new LeastLoadedTargetSelector(), AdmissionOrder.URGENCY_FIRST));
        return newFleet;
    }

    private static BatchOwnerModel startItem(VirtualFleet onFleet, OptionalLong fingerprint) {
        BatchOwnerModel owner = new BatchOwnerModel(
                onFleet.nodes.get(1), "job", "/nilavu/summaries", 1, TOKENS, onFleet.nowMs + 60_000, fingerprint);
        owner.start(onFleet.nowMs);
        return owner;
    }

    private static void crashTargetsOfTheItem(VirtualFleet onFleet, int crashes) {
        for (int crash = 0; crash < crashes; crash++) {
            for (int step = 0; step < 500 && engineThatRunsAnItem(onFleet).isEmpty(); step++) {
                onFleet.run(10);
            }
            assertThat(engineThatRunsAnItem(onFleet))
                    .as("target after %s crashes", crash)
                    .isPresent();
            onFleet.crashTarget(engineThatRunsAnItem(onFleet).orElseThrow(), 500);
            onFleet.run(10);
        }
    }

    private static Optional<TargetId> engineThatRunsAnItem(VirtualFleet onFleet) {
        return onFleet.engines.values().stream()
                .filter(engine -> engine.running.values().stream().anyMatch(job -> job.work.urgency() == Urgency.BATCH))
                .map(engine -> engine.id)
                .findFirst();
    }

    @Test
    void itemThatCannotBeTheCauseOfACrashDoesNotWaitForSuspects() {
        VirtualFleet singleTarget = new VirtualFleet(5);
        singleTarget.addEngine("r1", VirtualFleet.NORTH, 8, 100, 10);
        singleTarget.start(List.of(VirtualFleet.NORTH, VirtualFleet.SOUTH), RoutingPolicy::defaults);
        long deadlineAtMs = singleTarget.nowMs + 60_000;
        BatchOwnerModel suspects = new BatchOwnerModel(
                singleTarget.nodes.get(0), "suspects", "/nilavu/summaries", 6, 1_000, deadlineAtMs, OptionalLong.of(1));
        BatchOwnerModel sound = new BatchOwnerModel(
                singleTarget.nodes.get(1), "sound", "/nilavu/summaries", 1, 50, deadlineAtMs, OptionalLong.empty());
        suspects.start(singleTarget.nowMs);
        singleTarget.run(300);
        sound.start(singleTarget.nowMs);
        singleTarget.run(300);
        EngineModel engine = singleTarget.engines.values().iterator().next();
        assertThat(engine.running).hasSize(7);
        singleTarget.crashTarget(engine.id, 500);
        singleTarget.run(8_000);
        assertThat(suspects.running).isEqualTo(1);
        assertThat(sound.finished).isEqualTo(1);
    }

    @Test
    void lossOfAnItemThatCannotBeTheCauseConfirmsTheLossesOfOtherRequests() {
        FakeDissemination dissemination = new FakeDissemination();
        RoutingSettings.Quarantine settings = RoutingSettings.defaults().quarantine();
        SuspectRegistry registry = new SuspectRegistry(settings, dissemination, noPromptParts(dissemination));
        dissemination.subscribe(RoutingStateMachine.NAME, registry::factReceived);
        TargetId target = new TargetId("r1");
        Effects out = new Effects();
        registry.connectionLost(target, run(OptionalLong.of(POISON)), 1_000, out);
        assertThat(registry.records()).isEmpty();
        registry.repeatedLoss(target, 1_005, out);
        assertThat(registry.records()).isEmpty();
        registry.connectionLost(target, run(OptionalLong.empty()), 1_010, out);
        registry.repeatedLoss(target, 1_015, out);
        assertThat(registry.records()).containsOnlyKeys(POISON);
        assertThat(registry.records().get(POISON).deaths()).containsOnlyKeys(target);
    }

    private static SuspectRun run(OptionalLong fingerprint) {
        return new SuspectRun(fingerprint, VirtualFleet.SERVICE, List.of(), false);
    }

    private static PromptPartRegistry noPromptParts(FakeDissemination dissemination) {
        DaemonIdentity identity = new DaemonIdentity(new HostId("d0"), 1, VirtualFleet.NORTH, "127.0.0.1:8000");
        return new PromptPartRegistry(
                RoutingSettings.defaults(),
                identity,
                new FakeMembership(identity.host(), List.of(identity)),
                dissemination,
                new MetricRegistry());
    }

    private long retriesOn(EngineModel engine) {
        return fleet.sentRequests.values().stream()
                .filter(request -> request.dispatchedTo.size() > 1)
                .filter(request -> engine.running.values().stream()
                        .anyMatch(job -> job.work.fingerprint() == request.work.fingerprint()))
                .count();
    }

    /** Its caller sends it again every two seconds, to any daemon. */
    @Test
    void requestThatKeepsCrashingTargetsIsRarelyTriedAfterItsQuarantine() {
        VirtualFleet latencyFleet = fleetOfFourTargets(RoutingSettings.forLatencyObjectives());
        latencyFleet.requestOptions = new RequestOptions(2, true, 300);
        List<SentRequest> sent = new ArrayList<>();
        for (int second = 0; second < 100; second += 2) {
            sent.add(latencyFleet.send(
                    latencyFleet.random.nextInt(3),
                    Work.online(TOKENS, POISON).crashing(100).withDeadline(5_000)));
            latencyFleet.run(2_000);
        }
        long spreadAtMs = latencyFleet.crashTimesMs.get(2) + 4_000;
        assertThat(sent.stream().flatMap(request -> request.dispatchedAtMs.stream()))
                .filteredOn(atMs -> atMs > spreadAtMs)
                .hasSizeBetween(1, 3);
    }

    @Test
    void operatorListsAndLiftsAQuarantineOnAllDaemons() {
        sendPoison(0);
        fleet.run(3_000);
        assertThat(submit(2, new ListQuarantine()).entries())
                .singleElement()
                .satisfies(entry -> assertThat(entry.fingerprint()).isEqualTo(POISON));
        assertThat(submit(2, new LiftQuarantine(POISON)).entries()).isEmpty();
        fleet.run(1_000);
        SentRequest again = fleet.send(1, Work.online(TOKENS, POISON));
        fleet.run(3_000);
        assertThat(again.completed()).isTrue();
    }

    private QuarantineListed submit(int daemon, CallerCommand command) {
        VirtualFleet.Node node = fleet.nodes.get(daemon);
        RequestId id = new RequestId(new HostId("operator"), 1, fleet.nowMs);
        fleet.keepEffects = true;
        node.effects.clear();
        node.handle(new Event.CommandReceived(
                id, new Caller(new TeamPath("/nilavu"), "op", Caller.Scope.OPERATOR), command));
        return node.effects.stream()
                .filter(Effect.Reply.class::isInstance)
                .map(effect -> (QuarantineListed) ((Effect.Reply) effect).reply())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void quarantineExpires() {
        sendPoison(0);
        fleet.run(3_000);
        fleet.run(RoutingSettings.defaults().quarantine().quarantineMs());
        SentRequest again = fleet.send(1, Work.online(TOKENS, POISON));
        fleet.run(3_000);
        assertThat(again.completed()).isTrue();
    }
}
