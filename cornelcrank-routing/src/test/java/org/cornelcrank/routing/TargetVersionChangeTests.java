package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.core.Event;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays targets that start again under their name with another version while streams run at them or wait for them. */
class TargetVersionChangeTests {

    private static final SoftwareVersion OLD = new SoftwareVersion("v1");
    private static final SoftwareVersion NEW = new SoftwareVersion("v1.2");
    private static final TargetId FIRST = new TargetId("r0");
    private static final String ADDRESS = "127.0.0.1:9000";
    private static final int DAEMONS = 4;
    private static final int TOKENS = 35;
    private static final long DEADLINE_MS = 5_000;

    private final VirtualFleet fleet = new VirtualFleet(1);
    private final Map<SentRequest, Long> streams = new LinkedHashMap<>();
    private long lastStream;

    private void start(SoftwareVersion... versions) {
        fleet.reportsTokensOfCrashes = true;
        fleet.resumesAnywhere = true;
        for (int i = 0; i < versions.length; i++) {
            fleet.addEngine("r" + i, VirtualFleet.SOUTH, versions[i]);
        }
        fleet.start(
                List.of(VirtualFleet.SOUTH, VirtualFleet.SOUTH, VirtualFleet.SOUTH, VirtualFleet.SOUTH),
                () -> new RoutingPolicy(
                        RoutingSettings.forLatencyObjectives(),
                        RoutingPolicy.defaults().selector(),
                        RoutingPolicy.defaults().admission()));
    }

    private SentRequest send(int daemon, int tokens, StreamIdentity identity) {
        Work work = Work.online(tokens, identity.key()).withDeadline(DEADLINE_MS);
        SentRequest request =
                fleet.send(daemon, work, new RequestOptions(2, true, 300, Optional.of(identity), Optional.empty()));
        streams.put(request, identity.key());
        return request;
    }

    private SentRequest begin(int daemon) {
        return send(daemon, TOKENS, new StreamIdentity(++lastStream, false));
    }

    /** Lists a target with another version while its former process still serves what runs at it. */
    private void relist(SoftwareVersion version) {
        fleet.setVersion(FIRST, version);
        fleet.list(host -> true);
    }

    private void assertNoStreamOfTwoVersions() {
        Map<Long, Set<SoftwareVersion>> versions = new LinkedHashMap<>();
        streams.forEach((request, stream) ->
                versions.computeIfAbsent(stream, key -> new LinkedHashSet<>()).addAll(request.versions));
        assertThat(versions.values()).allSatisfy(each -> assertThat(each).hasSizeLessThanOrEqualTo(1));
    }

    /** Guards against a retry at the version that a target was listed with after it had begun the stream. */
    @Test
    void retriedStreamKeepsTheVersionThatItsTargetHadWhenItBegan() {
        start(OLD);
        SentRequest stream = begin(0);
        fleet.run(300);
        fleet.addEngine("r1", VirtualFleet.SOUTH, NEW);
        relist(NEW);
        fleet.crashTarget(FIRST, 100);
        fleet.run(DEADLINE_MS);
        assertThat(stream.versions).containsExactly(OLD);
    }

    /** Guards against a record of the version that a target was listed with after it had begun the stream. */
    @Test
    void recordOfAStreamStatesTheVersionThatItsTargetHadWhenItBegan() {
        start(OLD);
        fleet.nodes.forEach(node ->
                node.handle(new Event.VersionsRecorded(Map.of(VirtualFleet.SERVICE, Set.of(OLD)), fleet.nowMs)));
        SentRequest stream = begin(0);
        fleet.run(300);
        fleet.addEngine("r1", VirtualFleet.SOUTH, NEW);
        relist(NEW);
        fleet.run(50);
        fleet.killDaemon(0, 1_500);
        SentRequest next = send(1, TOKENS / 2, new StreamIdentity(streams.get(stream), true));
        fleet.run(DEADLINE_MS);
        assertThat(stream.versions).containsExactly(OLD);
        assertThat(next.versions).isEmpty();
    }

    /** Guards against a stream that is attributed to the version that its target had when the request began to wait. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1})
    void streamThatWaitedForATargetWhichChangedItsVersionIsOfOneVersion(long startsLater) {
        start(OLD);
        List<SentRequest> sent = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            sent.add(begin(i % DAEMONS));
        }
        fleet.run(100);
        List<SentRequest> waiting =
                sent.stream().filter(each -> each.dispatchedTo.isEmpty()).toList();
        assertThat(waiting).isNotEmpty();
        fleet.setVersion(FIRST, NEW);
        fleet.relist(FIRST, ADDRESS, fleet.hosts.get(FIRST).incarnation() + startsLater);
        while (waiting.stream().noneMatch(each -> each.firstTokenAtMs >= 0)) {
            fleet.run(5);
        }
        fleet.run(100);
        fleet.addEngine("r1", VirtualFleet.SOUTH, OLD);
        fleet.list(host -> true);
        fleet.crashTarget(FIRST, 100);
        fleet.run(DEADLINE_MS);
        streams.keySet().removeIf(each -> !waiting.contains(each));
        assertNoStreamOfTwoVersions();
    }
}
