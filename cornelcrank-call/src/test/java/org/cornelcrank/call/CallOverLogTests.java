package org.cornelcrank.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.fake.FakeCluster;
import org.cornelcrank.fake.FakeSettings;
import org.cornelcrank.fake.LogCluster;
import org.cornelcrank.partition.PartitionSettings;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.routing.RoutedRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs guarded calls over the real partition state machine, with faults of the log and the daemons. */
class CallOverLogTests {

    private static final PartitionId PARTITION = new PartitionId(FakeCluster.REGION, 0);
    private static final long SERVICE_MS = 40;

    private final Map<String, FakeRouter> routers = new HashMap<>();
    private final Set<RequestId> routed = new HashSet<>();
    private int timesRouted;
    private LogCluster cluster;

    @Test
    void callIsGuardedByTwoAppends() {
        start();
        int before = cluster.appends();
        RequestId request = send("e3");
        cluster.advance(1_000);

        assertThat(cluster.reply(request).orElseThrow()).isInstanceOf(CallResponse.class);
        assertThat(cluster.appends() - before).isEqualTo(2);
    }

    @ParameterizedTest
    @EnumSource(LogCluster.AppendFault.class)
    void callRunsOnceWhicheverAppendFails(LogCluster.AppendFault fault) {
        for (int append = 0; append < 4; append++) {
            start();
            int failing = cluster.appends() + append;
            cluster.appendFaults(number -> number == failing ? fault : LogCluster.AppendFault.NONE);
            checkCalls(fault + " at append " + append, "e1", "e3");
            assertThat(timesRouted).isEqualTo(1);
        }
    }

    @Test
    void callRunsAtMostOnceWheneverItsOwnerCrashes() {
        for (int atMs = 0; atMs < 80; atMs++) {
            start();
            String owner = cluster.owner(PARTITION).orElseThrow();
            cluster.after(atMs, () -> cluster.crash(owner));
            checkCalls("crash after " + atMs + " ms", another(owner, "e1"), another(owner, "e3"));
        }
    }

    @Test
    void callRunsAtMostOnceWheneverItsOwnerIsPaused() {
        for (int atMs = 0; atMs < 80; atMs++) {
            start();
            String owner = cluster.owner(PARTITION).orElseThrow();
            cluster.after(atMs, () -> cluster.pause(owner, 4_000));
            checkCalls("pause after " + atMs + " ms", another(owner, "e1"), another(owner, "e3"));
        }
    }

    @Test
    void callRunsAtMostOnceWheneverTheLogFails() {
        for (int atMs = 0; atMs < 80; atMs++) {
            start();
            cluster.after(atMs, () -> cluster.outage(true));
            cluster.after(atMs + 4_000, () -> cluster.outage(false));
            checkCalls("outage after " + atMs + " ms", "e1", "e3");
        }
    }

    @Test
    void plannedStopOfTheOwnerInterruptsNoCall() {
        for (int atMs = 0; atMs < 80; atMs++) {
            start();
            String owner = cluster.owner(PARTITION).orElseThrow();
            cluster.after(atMs, () -> cluster.stop(owner));
            RequestId request = send(another(owner, "e3"));
            cluster.advance(12_000);
            CallerReply reply = cluster.reply(request).orElseThrow();
            assertThat(reply).as("stop after " + atMs + " ms").isInstanceOf(CallResponse.class);
            assertThat(timesRouted).isEqualTo(1);
        }
    }

    private void checkCalls(String fault, String host, String otherHost) {
        RequestId first = send(host);
        cluster.advance(30);
        RequestId second = send(otherHost);
        cluster.advance(15_000);
        RequestId third = send(host);
        cluster.advance(15_000);
        assertThat(timesRouted).as(fault).isLessThanOrEqualTo(1);
        for (RequestId request : List.of(first, second, third)) {
            CallerReply reply = cluster.reply(request).orElseThrow(() -> new AssertionError(fault + ": no reply"));
            if (reply instanceof Refusal refusal) {
                boolean refusedAsNotRun = refusal.verdict().equals(Verdict.NOT_RUN);
                assertThat(refusedAsNotRun && routed.contains(request))
                        .as(fault)
                        .isFalse();
            } else {
                assertThat(timesRouted).as(fault).isEqualTo(1);
            }
        }
    }

    private void start() {
        routers.clear();
        routed.clear();
        timesRouted = 0;
        PartitionSettings defaults = PartitionSettings.defaults();
        PartitionSettings settings = new PartitionSettings(
                1, defaults.append(), defaults.read(), defaults.ownership(), defaults.retention());
        cluster = new LogCluster(settings, this::install, "e1", "e2", "e3");
    }

    private RequestId send(String host) {
        CallRequest call = new CallRequest(
                CallFixture.KIOSK.team(),
                new ServiceName("slips"),
                "POST",
                "/issue",
                "text/plain",
                ByteString.copyFromUtf8("branch 4"),
                Optional.of("slip-7"),
                cluster.nowMs() + CallFixture.CALL_TIMEOUT_MS,
                Urgency.IMMEDIATE);
        return cluster.submit(host, CallFixture.KIOSK, call);
    }

    private void install(DaemonIdentity identity, PartitionWriter writer, FakeCluster.Installer installer) {
        FakeRouter router = new FakeRouter();
        router.onRouted(request -> respondLater(identity.host(), router, request));
        routers.put(identity.host().value(), router);
        installer.install(new CallStateMachine(
                identity, writer, router, new FakeSettings("/nilavu"), CallSettings.defaults(), new MetricRegistry()));
    }

    private void respondLater(HostId host, FakeRouter router, RoutedRequest request) {
        timesRouted++;
        routed.add(request.id());
        cluster.after(
                SERVICE_MS,
                () -> cluster.inject(
                        host, out -> router.end(request, FakeRouter.responded("token 112"), cluster.nowMs(), out)));
    }

    private static String another(String owner, String preferred) {
        return owner.equals(preferred) ? "e2" : preferred;
    }
}
