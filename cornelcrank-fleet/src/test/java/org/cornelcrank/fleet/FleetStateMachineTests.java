package org.cornelcrank.fleet;

import java.util.List;

import com.google.protobuf.ByteString;
import org.cornelcrank.config.TargetPolicy;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetStateMachineTests {

    private static final long SETTLE_MS = FleetSettings.defaults().settleMs();

    private final FleetSimulation world = new FleetSimulation();
    private long attempts;

    @Test
    void modelIsLoadedOnExactlyTheConfiguredNumberOfTargets() {
        world.service("stav-app", "", 2);
        engines("r1", "r2", "r3");
        world.claim("a");

        world.runFor(SETTLE_MS + 120_000);

        assertThat(world.serving("stav-app")).hasSize(2);
        assertThat(orders()).isEqualTo(2);
    }

    @Test
    void concurrentOrdersAreLimitedForTheWeightStore() {
        world.service("stav-app", "", 9);
        engines("r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9");
        world.claim("a");

        world.runFor(SETTLE_MS + 300_000);

        assertThat(world.serving("stav-app")).hasSize(9);
        assertThat(world.maxConcurrentOrders).isEqualTo(FleetSettings.defaults().maxOrdersAtOnce());
    }

    @Test
    void orderForTheLastServingTargetIsDeferredWithAReason() {
        world.service("stav-app", "v2", 1);
        world.engine("r1", "stav-app@v1");
        world.claim("a");

        world.runFor(SETTLE_MS + 600_000);

        assertThat(world.serving("stav-app@v1")).hasSize(1);
        assertThat(world.holders.get("a").explanations)
                .contains("r1 order deferred: only 0 other targets have stav-app loaded, 1 must keep it");
    }

    @Test
    void anotherTargetLoadsTheVersionBeforeTheOnlyServingOneIsReplaced() {
        world.service("stav-app", "v2", 1);
        world.engine("r1", "stav-app@v1");
        world.engine("r2");
        world.claim("a");

        runAndRequireServing(SETTLE_MS + 600_000, 1);

        assertThat(world.serving("stav-app@v2")).hasSize(1);
        assertThat(world.serving("stav-app@v1")).isEmpty();
    }

    @Test
    void versionIsRolledOutTargetByTarget() {
        world.service("stav-app", "v2", 3);
        for (String name : List.of("r1", "r2", "r3")) {
            world.engine(name, "stav-app@v1");
        }
        world.claim("a");

        runAndRequireServing(SETTLE_MS + 600_000, 2);

        assertThat(world.serving("stav-app@v2")).hasSize(3);
        List<Long> times = world.engines.values().stream()
                .flatMap(engine -> engine.ordersAtMs.stream())
                .sorted()
                .toList();
        long stepMs = FleetSimulation.LOAD_MS + FleetSettings.defaults().bakeMs();
        assertThat(times.get(1) - times.get(0)).isGreaterThanOrEqualTo(stepMs);
        assertThat(times.get(2) - times.get(1)).isGreaterThanOrEqualTo(stepMs);
    }

    @Test
    void versionWithMoreFailuresIsHaltedAndTheNextOneIsRolledOut() {
        world.service("stav-app", "v2", 3);
        for (String name : List.of("r1", "r2", "r3")) {
            world.engine(name, "stav-app@v1");
        }
        world.claim("a");
        for (int i = 0; i < 600; i++) {
            world.engines.forEach((id, engine) -> attempt(id, engine.loaded.contains("stav-app@v2")));
            world.runFor(1_000);
        }

        assertThat(world.serving("stav-app@v2")).hasSize(1);
        assertThat(world.serving("stav-app@v1")).hasSize(2);
        assertThat(world.holders.get("b").state.halted()).hasSize(1);

        world.service("stav-app", "v3", 3);
        world.runFor(600_000);
        assertThat(world.serving("stav-app@v3")).hasSize(3);
        assertThat(world.holders.get("a").state.halted()).isEmpty();
    }

    @Test
    void versionIsHaltedWhenItsFirstTargetIsLost() {
        world.service("stav-app", "v2", 3);
        for (String name : List.of("r1", "r2", "r3")) {
            world.engine(name, "stav-app@v1");
        }
        world.claim("a");
        while (world.serving("stav-app@v2").isEmpty()) {
            world.runFor(1_000);
        }
        world.runFor(3_000);
        world.engines.get(world.serving("stav-app@v2").get(0)).lost = true;

        world.runFor(600_000);

        assertThat(world.serving("stav-app@v2")).hasSize(1);
        assertThat(world.holders.get("a").state.halted()).hasSize(1);
    }

    @Test
    void modelsOfUnmanagedServicesStayLoaded() {
        world.service("hlasenia-llm", "", 0);
        world.service("stav-app", "", 1);
        world.engine("r1", "hlasenia-llm@v7");
        world.claim("a");

        world.runFor(SETTLE_MS + 120_000);

        assertThat(world.engines.get(new TargetId("r1")).loaded).containsExactly("hlasenia-llm@v7", "stav-app");
    }

    @Test
    void drainedTargetGetsNoOrder() {
        world.service("stav-app", "", 2);
        engines("r1", "r2");
        world.targetPolicies.put(new TargetId("r1"), new TargetPolicy(new TargetId("r1"), 0, false, true, "mixed"));
        world.claim("a");

        world.runFor(SETTLE_MS + 120_000);

        assertThat(world.serving("stav-app")).containsExactly(new TargetId("r2"));
    }

    @Test
    void unacknowledgedOrderIsNotRepeatedOnceTheReportConfirmsIt() {
        world.service("stav-app", "", 1);
        world.engine("r1").acknowledgementsLost = true;
        world.claim("a");

        world.runFor(SETTLE_MS + 600_000);

        assertThat(world.engines.get(new TargetId("r1")).ordersAtMs).hasSize(1);
    }

    @Test
    void newClaimHolderWaitsForOrdersOfThePreviousOneIfTargetsIgnoreFencing() {
        world.service("stav-app", "", 2);
        engines("r1", "r2");
        world.claim("a");
        world.runFor(SETTLE_MS + 3_000);
        assertThat(orders()).isEqualTo(2);
        world.service("stav-app", "v2", 2);

        world.holders.get("a").pause();
        world.claim("b");
        long claimedAtMs = world.nowMs();
        world.runFor(SETTLE_MS + 300_000);

        List<Long> ordersOfNewHolderAtMs = world.engines.values().stream()
                .flatMap(engine -> engine.ordersAtMs.stream())
                .filter(atMs -> atMs >= claimedAtMs)
                .toList();
        assertThat(ordersOfNewHolderAtMs).hasSize(2).allSatisfy(atMs -> assertThat(atMs - claimedAtMs)
                .isGreaterThanOrEqualTo(SETTLE_MS));
        assertThat(world.serving("stav-app@v2")).hasSize(2);
    }

    @Test
    void claimHolderPausedBetweenProofAndOrderDropsTheOrder() {
        world.service("stav-app", "", 1);
        world.engine("r1");
        world.claim("a");
        while (world.holders.get("a").state.lastOrder(new TargetId("r1")).isEmpty()
                && world.nowMs() < 1_000_000 + SETTLE_MS + 10_000) {
            world.runFor(1);
            if (world.holders.get("b").state.lastOrder(new TargetId("r1")).isPresent()) {
                world.holders.get("a").pause();
                break;
            }
        }
        assertThat(orders()).isZero();

        world.runFor(60_000);
        world.holders.get("a").resume();
        world.runFor(10);

        assertThat(orders()).isZero();
        assertThat(world.holders.get("a").explanations)
                .anyMatch(text -> text.startsWith("r1 order dropped: the proof"));
    }

    @Test
    void engineThatChecksFencingServesTheNewClaimHolderAtOnce() {
        world.service("stav-app", "", 1);
        FleetSimulation.Engine engine = world.engine("r1");
        engine.checksFencing = true;
        world.targetPolicies.put(engine.id, new TargetPolicy(engine.id, 0, true, false, "mixed"));
        world.claim("a");
        world.claim("b");

        world.runFor(60_000);

        assertThat(world.serving("stav-app")).hasSize(1);
        assertThat(engine.ordersAtMs.get(0)).isLessThan(1_000_000 + SETTLE_MS);
        assertThat(engine.fencingNumber).isEqualTo(2);
    }

    private void engines(String... names) {
        for (String name : names) {
            world.engine(name);
        }
    }

    private int orders() {
        return world.engines.values().stream()
                .mapToInt(engine -> engine.ordersAtMs.size())
                .sum();
    }

    private void runAndRequireServing(long ms, int minServing) {
        for (long elapsed = 0; elapsed < ms; elapsed += 1_000) {
            world.runFor(1_000);
            long serving = world.engines.values().stream()
                    .filter(engine -> engine.loaded.stream().anyMatch(name -> name.startsWith("stav-app")))
                    .count();
            assertThat(serving).isGreaterThanOrEqualTo(minServing);
        }
    }

    private void attempt(TargetId target, boolean fails) {
        AttemptId attempt = new AttemptId(new HostId("a"), 1, attempts++);
        FleetStateMachine stateMachine = world.holders.get("a").stateMachine;
        stateMachine.attemptDispatched(attempt, target);
        AttemptOutcome outcome = fails
                ? new AttemptOutcome.Failed(
                        Verdict.MAY_HAVE_RUN, FailureKind.TARGET_ERROR, 500, 0, false, 0, ByteString.EMPTY, "")
                : new AttemptOutcome.Succeeded(200, "text/plain", ByteString.EMPTY, 1);
        world.holders.get("a").handle(new Event.AttemptEnded(attempt, outcome));
    }
}
