package org.cornelcrank.routing;

import java.util.List;

import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the model that tests of daemons out of step rely on. */
class VirtualDirectoryTests {

    private static final TargetId LATER = new TargetId("r1");

    private final VirtualFleet fleet = new VirtualFleet(1);
    private VirtualDirectory directory;
    private VirtualFleet.Node node;

    @BeforeEach
    void start() {
        fleet.addEngine("r0", VirtualFleet.SOUTH, new SoftwareVersion("v1"));
        fleet.start(List.of(VirtualFleet.SOUTH), RoutingPolicy::defaults);
        fleet.followDirectory();
        directory = fleet.directory.get();
        node = fleet.nodes.get(0);
        fleet.run(100);
    }

    private List<Long> unconfirmedAsOfMs() {
        return node.unconfirmedAsOfMs;
    }

    private void listLater() {
        fleet.addEngine(LATER.value(), VirtualFleet.SOUTH, new SoftwareVersion("v1"));
        fleet.list(host -> true);
    }

    @Test
    void changeReachesADaemonInTouchWithinARoundTripAndALaggingOneLater() {
        node.storeLagMs = 500;
        listLater();
        fleet.run(500);
        assertThat(node.watched).doesNotContain(LATER);
        fleet.run(2 * VirtualFleet.LATENCY_MS);
        assertThat(node.watched).contains(LATER);
    }

    @Test
    void confirmationReadsWhatIsListedThoughTheHeldReadIsLost() {
        directory.cutOff(node);
        listLater();
        directory.reconnect(node);
        fleet.run(500);
        assertThat(node.watched).doesNotContain(LATER);
        directory.confirm(node);
        fleet.run(2 * VirtualFleet.LATENCY_MS);
        assertThat(node.watched).contains(LATER);
        assertThat(unconfirmedAsOfMs()).isEmpty();
    }

    @Test
    void confirmationFailsAfterItsTimeLimitAndTheNextOneAfterAnother() {
        directory.cutOff(node);
        long sentAtMs = fleet.nowMs;
        directory.confirm(node);
        directory.confirm(node);
        fleet.run(999);
        assertThat(unconfirmedAsOfMs()).isEmpty();
        fleet.run(1);
        fleet.run(1_000);
        assertThat(unconfirmedAsOfMs()).containsExactly(sentAtMs, sentAtMs + 1_000);
    }

    @Test
    void answerThatArrivesAtAFrozenDaemonIsHandledWhenItWakes() {
        node.freeze(3_000);
        listLater();
        fleet.run(2_999);
        assertThat(node.watched).doesNotContain(LATER);
        fleet.run(1);
        assertThat(node.watched).contains(LATER);
    }
}
