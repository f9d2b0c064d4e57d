package org.cornelcrank.routing;

import java.util.List;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.VirtualFleet.Online;
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

    private Online sendPoison(int daemon) {
        return fleet.send(daemon, Work.online(TOKENS, POISON).crashing(300));
    }

    @Test
    void quarantinesARequestAtItsSecondDeathAndRefusesResendsThroughOtherDaemons() {
        Online first = sendPoison(0);
        fleet.run(3_000);
        assertThat(first.dispatchedTo).hasSize(2);
        assertThat(first.reply).isInstanceOfSatisfying(Refusal.class, refusal -> {
            assertThat(refusal.code()).isEqualTo(RefusalCode.QUARANTINED);
            assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        });
        Online resent = sendPoison(1);
        assertThat(resent.dispatchedTo).isEmpty();
        assertThat(resent.reply).isInstanceOfSatisfying(Refusal.class, refusal -> assertThat(refusal.verdict())
                .isEqualTo(Verdict.NOT_RUN));
    }

    @Test
    void innocentsInFlightBesideAPoisonFinish() {
        for (int i = 0; i < 9; i++) {
            fleet.send(i % 3, Work.online(TOKENS, i + 1));
        }
        Online poison = sendPoison(0);
        fleet.run(8_000);
        assertThat(poison.dispatchedTo).hasSize(2);
        assertThat(fleet.online.values())
                .filteredOn(request -> request.work.fingerprint() != POISON)
                .allMatch(Online::answered);
    }

    @Test
    void suspectsNeverRunBesideEachOther() {
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
        assertThat(fleet.online.values()).allMatch(Online::answered);
    }

    /** Load: a target crashes under a batch; the items that were on it may run only one at a time there. */
    @Test
    void suspectItemsThatWaitForOneAnotherDoNotKeepTheDaemonsBusy() {
        VirtualFleet alone = new VirtualFleet(5);
        alone.addEngine("r1", VirtualFleet.NORTH, 8, 100, 10);
        alone.start(List.of(VirtualFleet.NORTH, VirtualFleet.NORTH), RoutingPolicy::defaults);
        BatchOwnerModel owner =
                new BatchOwnerModel(alone.nodes.get(1), "job", "/nilavu/summaries", 16, TOKENS, alone.nowMs + 60_000);
        owner.start(alone.nowMs);
        alone.run(400);
        assertThat(owner.running).isGreaterThan(1);
        alone.crashTarget(alone.engines.keySet().iterator().next(), 500);
        alone.run(3_000);
        long before = alone.count("batch-permits-granted");
        alone.run(1_000);
        assertThat(alone.count("batch-permits-granted") - before).isLessThan(16 * 10);
        alone.run(60_000);
        assertThat(owner.finished).isEqualTo(16);
    }

    private long retriesOn(EngineModel engine) {
        return fleet.online.values().stream()
                .filter(request -> request.dispatchedTo.size() > 1)
                .filter(request -> engine.running.values().stream()
                        .anyMatch(job -> job.work.fingerprint() == request.work.fingerprint()))
                .count();
    }

    @Test
    void anOperatorListsAndLiftsAQuarantineEverywhere() {
        sendPoison(0);
        fleet.run(3_000);
        assertThat(ask(2, new ListQuarantine()).entries())
                .singleElement()
                .satisfies(entry -> assertThat(entry.fingerprint()).isEqualTo(POISON));
        assertThat(ask(2, new LiftQuarantine(POISON)).entries()).isEmpty();
        fleet.run(1_000);
        Online again = fleet.send(1, Work.online(TOKENS, POISON));
        fleet.run(3_000);
        assertThat(again.answered()).isTrue();
    }

    private QuarantineListed ask(int daemon, CallerCommand command) {
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
    void aQuarantineExpires() {
        sendPoison(0);
        fleet.run(3_000);
        fleet.run(RoutingSettings.defaults().quarantine().quarantineMs());
        Online again = fleet.send(1, Work.online(TOKENS, POISON));
        fleet.run(3_000);
        assertThat(again.answered()).isTrue();
    }
}
