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

    private final FleetSimulation simulation = new FleetSimulation();
    private long attempts;

    @Test
    void modelIsLoadedOnExactlyTheConfiguredNumberOfTargets() {
        simulation.service("stav-app", "", 2);
        engines("r1", "r2", "r3");
        simulation.claim("a");

        simulation.runFor(SETTLE_MS + 120_000);

        assertThat(simulation.serving("stav-app")).hasSize(2);
        assertThat(orders()).isEqualTo(2);
    }

    @Test
    void concurrentOrdersAreLimitedForTheWeightStore() {
        simulation.service("stav-app", "", 9);
        engines("r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9");
        simulation.claim("a");

        simulation.runFor(SETTLE_MS + 300_000);

        assertThat(simulation.serving("stav-app")).hasSize(9);
        assertThat(simulation.maxConcurrentOrders)
                .isEqualTo(FleetSettings.defaults().maxOrdersAtOnce());
    }

    @Test
    void orderForTheLastServingTargetIsDeferredWithAReason() {
        simulation.service("stav-app", "v2", 1);
        simulation.engine("r1", "stav-app@v1");
        simulation.claim("a");

        simulation.runFor(SETTLE_MS + 600_000);

        assertThat(simulation.serving("stav-app@v1")).hasSize(1);
        assertThat(simulation.holders.get("a").explanations)
                .contains("r1 order deferred: only 0 other targets have stav-app loaded, 1 must keep it");
    }

    @Test
    void anotherTargetLoadsTheVersionBeforeTheOnlyServingOneIsReplaced() {
        simulation.service("stav-app", "v2", 1);
        simulation.engine("r1", "stav-app@v1");
        simulation.engine("r2");
        simulation.claim("a");

        runAndRequireServing(SETTLE_MS + 600_000, 1);

        assertThat(simulation.serving("stav-app@v2")).hasSize(1);
        assertThat(simulation.serving("stav-app@v1")).isEmpty();
    }

    @Test
    void versionIsRolledOutTargetByTarget() {
        simulation.service("stav-app", "v2", 3);
        for (String name : List.of("r1", "r2", "r3")) {
            simulation.engine(name, "stav-app@v1");
        }
        simulation.claim("a");

        runAndRequireServing(SETTLE_MS + 600_000, 2);

        assertThat(simulation.serving("stav-app@v2")).hasSize(3);
        List<Long> times = simulation.engines.values().stream()
                .flatMap(engine -> engine.ordersAtMs.stream())
                .sorted()
                .toList();
        long stepMs = FleetSimulation.LOAD_MS + FleetSettings.defaults().bakeMs();
        assertThat(times.get(1) - times.get(0)).isGreaterThanOrEqualTo(stepMs);
        assertThat(times.get(2) - times.get(1)).isGreaterThanOrEqualTo(stepMs);
    }

    @Test
    void versionWithMoreFailuresIsHaltedAndTheNextOneIsRolledOut() {
        simulation.service("stav-app", "v2", 3);
        for (String name : List.of("r1", "r2", "r3")) {
            simulation.engine(name, "stav-app@v1");
        }
        simulation.claim("a");
        for (int i = 0; i < 600; i++) {
            simulation.engines.forEach((id, engine) -> attempt(id, engine.loaded.contains("stav-app@v2")));
            simulation.runFor(1_000);
        }

        assertThat(simulation.serving("stav-app@v2")).hasSize(1);
        assertThat(simulation.serving("stav-app@v1")).hasSize(2);
        assertThat(simulation.holders.get("b").state.halted()).hasSize(1);

        simulation.service("stav-app", "v3", 3);
        simulation.runFor(600_000);
        assertThat(simulation.serving("stav-app@v3")).hasSize(3);
        assertThat(simulation.holders.get("a").state.halted()).isEmpty();
    }

    @Test
    void versionIsHaltedWhenItsFirstTargetIsLost() {
        simulation.service("stav-app", "v2", 3);
        for (String name : List.of("r1", "r2", "r3")) {
            simulation.engine(name, "stav-app@v1");
        }
        simulation.claim("a");
        while (simulation.serving("stav-app@v2").isEmpty()) {
            simulation.runFor(1_000);
        }
        simulation.runFor(3_000);
        simulation.engines.get(simulation.serving("stav-app@v2").get(0)).lost = true;

        simulation.runFor(600_000);

        assertThat(simulation.serving("stav-app@v2")).hasSize(1);
        assertThat(simulation.holders.get("a").state.halted()).hasSize(1);
    }

    @Test
    void modelsOfUnmanagedServicesStayLoaded() {
        simulation.service("hlasenia-llm", "", 0);
        simulation.service("stav-app", "", 1);
        simulation.engine("r1", "hlasenia-llm@v7");
        simulation.claim("a");

        simulation.runFor(SETTLE_MS + 120_000);

        assertThat(simulation.engines.get(new TargetId("r1")).loaded).containsExactly("hlasenia-llm@v7", "stav-app");
    }

    @Test
    void drainedTargetGetsNoOrder() {
        simulation.service("stav-app", "", 2);
        engines("r1", "r2");
        simulation.targetPolicies.put(
                new TargetId("r1"), new TargetPolicy(new TargetId("r1"), 0, false, true, "mixed"));
        simulation.claim("a");

        simulation.runFor(SETTLE_MS + 120_000);

        assertThat(simulation.serving("stav-app")).containsExactly(new TargetId("r2"));
    }

    @Test
    void unacknowledgedOrderIsNotRepeatedOnceTheReportConfirmsIt() {
        simulation.service("stav-app", "", 1);
        simulation.engine("r1").acknowledgementsLost = true;
        simulation.claim("a");

        simulation.runFor(SETTLE_MS + 600_000);

        assertThat(simulation.engines.get(new TargetId("r1")).ordersAtMs).hasSize(1);
    }

    @Test
    void newClaimHolderWaitsForOrdersOfThePreviousOneIfTargetsIgnoreFencing() {
        simulation.service("stav-app", "", 2);
        engines("r1", "r2");
        simulation.claim("a");
        simulation.runFor(SETTLE_MS + 3_000);
        assertThat(orders()).isEqualTo(2);
        simulation.service("stav-app", "v2", 2);

        simulation.holders.get("a").pause();
        simulation.claim("b");
        long claimedAtMs = simulation.nowMs();
        simulation.runFor(SETTLE_MS + 300_000);

        List<Long> ordersOfNewHolderAtMs = simulation.engines.values().stream()
                .flatMap(engine -> engine.ordersAtMs.stream())
                .filter(atMs -> atMs >= claimedAtMs)
                .toList();
        assertThat(ordersOfNewHolderAtMs).hasSize(2).allSatisfy(atMs -> assertThat(atMs - claimedAtMs)
                .isGreaterThanOrEqualTo(SETTLE_MS));
        assertThat(simulation.serving("stav-app@v2")).hasSize(2);
    }

    @Test
    void claimHolderPausedBetweenProofAndOrderDropsTheOrder() {
        simulation.service("stav-app", "", 1);
        simulation.engine("r1");
        simulation.claim("a");
        while (simulation.holders.get("a").state.lastOrder(new TargetId("r1")).isEmpty()
                && simulation.nowMs() < 1_000_000 + SETTLE_MS + 10_000) {
            simulation.runFor(1);
            if (simulation.holders.get("b").state.lastOrder(new TargetId("r1")).isPresent()) {
                simulation.holders.get("a").pause();
                break;
            }
        }
        assertThat(orders()).isZero();

        simulation.runFor(60_000);
        simulation.holders.get("a").resume();
        simulation.runFor(10);

        assertThat(orders()).isZero();
        assertThat(simulation.holders.get("a").explanations)
                .anyMatch(text -> text.startsWith("r1 order dropped: the proof"));
    }

    @Test
    void engineThatChecksFencingServesTheNewClaimHolderAtOnce() {
        simulation.service("stav-app", "", 1);
        FleetSimulation.Engine engine = simulation.engine("r1");
        engine.checksFencing = true;
        simulation.targetPolicies.put(engine.id, new TargetPolicy(engine.id, 0, true, false, "mixed"));
        simulation.claim("a");
        simulation.claim("b");

        simulation.runFor(60_000);

        assertThat(simulation.serving("stav-app")).hasSize(1);
        assertThat(engine.ordersAtMs.get(0)).isLessThan(1_000_000 + SETTLE_MS);
        assertThat(engine.fencingNumber).isEqualTo(2);
    }

    private void engines(String... names) {
        for (String name : names) {
            simulation.engine(name);
        }
    }

    private int orders() {
        return simulation.engines.values().stream()
                .mapToInt(engine -> engine.ordersAtMs.size())
                .sum();
    }

    private void runAndRequireServing(long ms, int minServing) {
        for (long elapsed = 0; elapsed < ms; elapsed += 1_000) {
            simulation.runFor(1_000);
            long serving = simulation.engines.values().stream()
                    .filter(engine -> engine.loaded.stream().anyMatch(name -> name.startsWith("stav-app")))
                    .count();
            assertThat(serving).isGreaterThanOrEqualTo(minServing);
        }
    }

    private void attempt(TargetId target, boolean fails) {
        AttemptId attempt = new AttemptId(new HostId("a"), 1, attempts++);
        FleetStateMachine stateMachine = simulation.holders.get("a").stateMachine;
        stateMachine.attemptDispatched(attempt, target);
        AttemptOutcome outcome = fails
                ? new AttemptOutcome.Failed(
                        Verdict.MAY_HAVE_RUN, FailureKind.TARGET_ERROR, 500, 0, false, 0, ByteString.EMPTY, "")
                : new AttemptOutcome.Succeeded(200, "text/plain", ByteString.EMPTY, 1);
        simulation.holders.get("a").handle(new Event.AttemptEnded(attempt, outcome));
    }
}
