package org.cornelcrank.server.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

/** Probes loopback addresses. */
class TargetProbeRunnerTests {

    private static final long HANG_LIMIT_S = 30;
    private static final TargetId TARGET = new TargetId("target");

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final LoopResources loops = LoopResources.create("probe", 1, true);
    private final CoreLoop loop = new CoreLoop(
            new DaemonCore(List.of(new EventRecorder(events)), new DecisionJournal(1, 1), dispatch -> {}),
            new MonotonicClock(),
            new MetricRegistry());
    private final TargetProbeRunner runner = new TargetProbeRunner(loop, loops);

    @AfterEach
    void stop() {
        loop.stop();
        loops.dispose();
    }

    @Test
    void targetThatListensIsReachable() throws Exception {
        try (ServerSocket target = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + target.getLocalPort();
            assertThat(probe(address)).isEqualTo(new Event.TargetProbed(TARGET, address, true));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:9", "nowhere", "127.0.0.1:80800"})
    void targetThatDoesNotListenOrHasNoValidAddressIsUnreachable(String address) throws Exception {
        assertThat(probe(address)).isEqualTo(new Event.TargetProbed(TARGET, address, false));
    }

    @Test
    void otherEffectsAreLeftToOtherRunners() throws IOException {
        assertThat(runner.run(new Effect.CancelAttempt(new AttemptId(new HostId("host"), 1, 1))))
                .isFalse();
    }

    private Event probe(String address) throws InterruptedException {
        assertThat(runner.run(new Effect.ProbeTarget(TARGET, address))).isTrue();
        return events.poll(HANG_LIMIT_S, TimeUnit.SECONDS);
    }

    private record EventRecorder(BlockingQueue<Event> events) implements StateMachine {

        @Override
        public String name() {
            return "recorder";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            events.add(event);
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }
}
