package org.cornelcrank.routing;

import java.util.Collections;
import java.util.List;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.routing.VirtualFleet.Cut;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Targets that are listed with a new incarnation while the way to them is checked. */
class ReplacedTargetTests {

    private static final int DAEMON = 0;
    private static final String OLD_ADDRESS = "127.0.0.1:9000";
    private static final String NEW_ADDRESS = "127.0.0.1:9001";

    private final VirtualFleet fleet = new VirtualFleet(5);
    private final TargetId target = new TargetId("only");
    private VirtualFleet.Node node;

    private void start(RequestOptions options) {
        fleet.addEngine("only", VirtualFleet.SOUTH, 8, 200, 10);
        fleet.requestOptions = options;
        fleet.resumesAnywhere = options.resumableAnywhere();
        fleet.start(
                Collections.nCopies(4, VirtualFleet.SOUTH),
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        new PrefixAffinityTargetSelector(),
                        AdmissionOrder.URGENCY_FIRST));
        fleet.keepEffects = true;
        node = fleet.nodes.get(DAEMON);
    }

    private SentRequest send() {
        return fleet.send(DAEMON, Work.online(60, fleet.nowMs).withDeadline(6_000));
    }

    /** Lets checks last for all their rounds. */
    private void silencePeers() {
        fleet.nodes.stream().filter(other -> other != node).forEach(peer -> peer.losesProbes = true);
    }

    private List<Effect.Explain> waysLost() {
        return node.effects.stream()
                .filter(Effect.Explain.class::isInstance)
                .map(Effect.Explain.class::cast)
                .filter(explain -> explain.decision().equals("reached through other daemons"))
                .toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {OLD_ADDRESS, NEW_ADDRESS})
    void streamDoesNotWaitForATargetThatHasBeenReplaced(String address) {
        start(RequestOptions.DEFAULTS);
        SentRequest request = send();
        fleet.run(400);
        silencePeers();
        fleet.cutFromTarget(DAEMON, target, Cut.REFUSED);
        fleet.run(100);
        assertThat(request.reply).isNull();
        fleet.replaceTarget(target, address);
        fleet.run(100);
        assertThat(request.reply).isInstanceOf(Refusal.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {OLD_ADDRESS, NEW_ADDRESS})
    void requestDoesNotWaitForTheCheckOfATargetThatHasBeenReplaced(String address) {
        start(new RequestOptions(3, true, 0));
        silencePeers();
        fleet.cutFromTarget(DAEMON, target, Cut.REFUSED);
        SentRequest request = send();
        fleet.run(100);
        assertThat(request.dispatchedTo).hasSize(1);
        fleet.reconnectToTarget(DAEMON, target);
        fleet.replaceTarget(target, address);
        fleet.run(100);
        assertThat(request.dispatchedTo).hasSize(2);
        fleet.run(2_000);
        assertThat(request).matches(SentRequest::completed);
    }

    @ParameterizedTest
    @ValueSource(ints = {350, 600})
    void silenceOfAFormerIncarnationDoesNotAccuseTheWayToTheNewOne(long replacedAfterMs) {
        start(new RequestOptions(3, true, 0));
        SentRequest request = send();
        fleet.run(100);
        fleet.cutFromTarget(DAEMON, target, Cut.SILENT);
        silencePeers();
        fleet.run(replacedAfterMs);
        fleet.reconnectToTarget(DAEMON, target);
        fleet.nodes.forEach(any -> any.losesProbes = false);
        fleet.replaceTarget(target, NEW_ADDRESS);
        fleet.run(3_000);
        assertThat(waysLost()).isEmpty();
        assertThat(request).matches(SentRequest::completed);
    }

    @Test
    void silenceThatBeginsAfterTheTargetHasBeenReplacedDoesNotAccuseTheWayToTheNewOne() {
        start(new RequestOptions(3, true, 0));
        SentRequest request = send();
        fleet.run(100);
        fleet.cutFromTarget(DAEMON, target, Cut.SILENT);
        fleet.reconnectToTarget(DAEMON, target);
        fleet.replaceTarget(target, NEW_ADDRESS);
        fleet.run(3_000);
        assertThat(waysLost()).isEmpty();
        assertThat(request).matches(SentRequest::completed);
    }

    @Test
    void probeOfAFormerAddressDoesNotAccuseTheWayToTheNewOne() {
        start(new RequestOptions(3, true, 0));
        send();
        fleet.run(100);
        fleet.cutFromTarget(DAEMON, target, Cut.SILENT);
        fleet.run(350);
        assertThat(node.probes).isPositive();
        fleet.reconnectToTarget(DAEMON, target);
        fleet.relist(target, NEW_ADDRESS, 0);
        fleet.run(3_000);
        assertThat(waysLost()).isEmpty();
    }
}
