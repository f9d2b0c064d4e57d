package org.cornelcrank.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.fake.FakeCluster;
import org.cornelcrank.fake.FakeSettings;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.routing.RouteOutcome;
import org.cornelcrank.routing.RoutedRequest;

import static org.assertj.core.api.Assertions.assertThat;

/** Daemons with the call state machine over one partition, whose owner the test chooses. Not thread-safe. */
final class CallFixture {

    static final Caller KIOSK = new Caller(new TeamPath("/nilavu/kiosk"), "k1", Caller.Scope.CALLER);
    static final PartitionId PARTITION = new PartitionId(FakeCluster.REGION, 0);
    static final long CALL_TIMEOUT_MS = 10_000;

    final SortedMap<String, FakeRouter> routers = new TreeMap<>();
    final List<FakeRouter> allRouters = new ArrayList<>();
    final FakeCluster cluster;

    /** Starts the hosts; the first one owns the partition. */
    CallFixture(String... hosts) {
        this.cluster = new FakeCluster(1, new CallMessageCodec(), this::install, hosts);
    }

    CallRequest call(String key, String body) {
        return new CallRequest(
                KIOSK.team(),
                new ServiceName("slips"),
                "POST",
                "/issue",
                "text/plain",
                ByteString.copyFromUtf8(body),
                Optional.ofNullable(key),
                cluster.nowMs() + CALL_TIMEOUT_MS,
                Urgency.IMMEDIATE);
    }

    RequestId send(String host, String key, String body) {
        RequestId request = cluster.submit(host, KIOSK, call(key, body));
        cluster.run();
        return request;
    }

    /** Ends all routed requests at a host. */
    void end(String host, RouteOutcome outcome) {
        cluster.run();
        FakeRouter router = routers.get(host);
        for (RoutedRequest request : List.copyOf(router.running.values())) {
            cluster.inject(new HostId(host), out -> router.end(request, outcome, cluster.nowMs(), out));
        }
        cluster.run();
    }

    int timesRouted() {
        return allRouters.stream().mapToInt(router -> router.routed.size()).sum();
    }

    /** Returns whether the call was routed to a target on behalf of this request. */
    boolean wasRouted(RequestId request) {
        return allRouters.stream().flatMap(router -> router.routed.stream()).anyMatch(routed -> routed.id()
                .equals(request));
    }

    CallResponse response(RequestId request) {
        CallerReply reply = cluster.reply(request).orElseThrow(() -> new AssertionError("no reply to " + request));
        assertThat(reply).isInstanceOf(CallResponse.class);
        return (CallResponse) reply;
    }

    Refusal refusal(RequestId request) {
        CallerReply reply = cluster.reply(request).orElseThrow(() -> new AssertionError("no reply to " + request));
        assertThat(reply).isInstanceOf(Refusal.class);
        return (Refusal) reply;
    }

    void assertRefused(RequestId request, Verdict verdict, RefusalCode code) {
        assertThat(refusal(request).verdict()).isEqualTo(verdict);
        assertThat(refusal(request).code()).isEqualTo(code);
    }

    private void install(DaemonIdentity identity, PartitionWriter writer, FakeCluster.Installer installer) {
        FakeRouter router = new FakeRouter();
        routers.put(identity.host().value(), router);
        allRouters.add(router);
        installer.install(new CallStateMachine(
                identity,
                writer,
                router,
                new FakeSettings("/nilavu", "/tatranske"),
                CallSettings.defaults(),
                new MetricRegistry()));
    }
}
