package org.cornelcrank.server.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

class CoreLoopTests {

    private static final long HANG_LIMIT_S = 30;

    private final ExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger handled = new AtomicInteger();
    private final MetricRegistry metrics = new MetricRegistry();
    private final CoreLoop loop = new CoreLoop(
            new DaemonCore(List.of(new EventCounter(handled)), new DecisionJournal(1, 1), dispatch -> {}),
            new MonotonicClock(),
            Schedulers.fromExecutorService(thread, "shared"),
            metrics);

    @AfterEach
    void end() {
        thread.shutdownNow();
    }

    /** An I/O thread that ends with the loop would leave the connections that it serves open for good. */
    @Test
    void stopLeavesASharedThreadToItsOwner() throws Exception {
        loop.stop();
        assertThat(thread.submit(() -> "still runs").get(HANG_LIMIT_S, TimeUnit.SECONDS))
                .isEqualTo("still runs");
    }

    @Test
    void eventsAfterTheStopAreDropped() throws Exception {
        loop.post(new Event.Started());
        thread.submit(() -> {}).get(HANG_LIMIT_S, TimeUnit.SECONDS);
        loop.stop();
        loop.post(new Event.StopRequested());
        thread.submit(() -> {}).get(HANG_LIMIT_S, TimeUnit.SECONDS);
        assertThat(handled).hasValue(1);
    }

    /** Guards against timers, messages and replies that are lost because another effect of their event failed. */
    @Test
    void effectThatFailsDoesNotTakeTheOthersOfItsEventWithIt() throws Exception {
        List<Effect> executed = new ArrayList<>();
        CoreLoop failing = new CoreLoop(
                new DaemonCore(List.of(new Replier(3)), new DecisionJournal(1, 1), dispatch -> {}),
                new MonotonicClock(),
                Schedulers.fromExecutorService(thread, "shared"),
                metrics);
        failing.addRunner(effect -> {
            executed.add(effect);
            if (executed.size() == 1) {
                throw new IllegalStateException("made to fail");
            }
            if (executed.size() == 2) {
                throw new StackOverflowError();
            }
            return true;
        });
        failing.post(new Event.Started());
        thread.submit(() -> {}).get(HANG_LIMIT_S, TimeUnit.SECONDS);
        assertThat(executed).hasSize(3);
        assertThat(metrics.counter("loop.failures").getCount()).isEqualTo(2);
    }

    /** Guards against a state machine that misses an event because another one failed to handle it. */
    @Test
    void stateMachineThatFailsDoesNotStarveThoseAfterIt() throws Exception {
        List<Effect> executed = new ArrayList<>();
        CoreLoop failing = new CoreLoop(
                new DaemonCore(
                        List.of(new Replier(1), new Failing(), new EventCounter(handled), new Replier(1)),
                        new DecisionJournal(1, 1),
                        dispatch -> {}),
                new MonotonicClock(),
                Schedulers.fromExecutorService(thread, "shared"),
                metrics);
        failing.addRunner(executed::add);
        failing.post(new Event.Started());
        thread.submit(() -> {}).get(HANG_LIMIT_S, TimeUnit.SECONDS);
        assertThat(handled).hasValue(1);
        assertThat(executed).hasSize(2);
        assertThat(metrics.counter("loop.failures").getCount()).isEqualTo(1);
    }

    /** Guards against a process that goes on although part of an event is lost. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void memoryExhaustedInTheMiddleOfAnEventEndsTheProcess(boolean whileHandling) throws Exception {
        List<String> ends = new ArrayList<>();
        StateMachine exhausting = whileHandling ? new Exhausting() : new Replier(2);
        CoreLoop failing = new CoreLoop(
                new DaemonCore(
                        List.of(exhausting, new EventCounter(handled)), new DecisionJournal(1, 1), dispatch -> {}),
                new MonotonicClock(),
                Schedulers.fromExecutorService(thread, "shared"),
                metrics,
                false,
                error -> ends.add(error.getMessage()));
        failing.addRunner(effect -> {
            throw new OutOfMemoryError("made to fail");
        });
        failing.post(new Event.Started());
        thread.submit(() -> {}).get(HANG_LIMIT_S, TimeUnit.SECONDS);
        assertThat(ends).containsExactly("made to fail");
    }

    /** Replies to a number of requests at each event. */
    private record Replier(int replies) implements StateMachine {

        @Override
        public String name() {
            return "replier";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            for (int i = 0; i < replies; i++) {
                out.reply(new RequestId(new HostId("host"), 1, i), Refusal.notRun(RefusalCode.NOT_READY, "", 0));
            }
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }

    private record Exhausting() implements StateMachine {

        @Override
        public String name() {
            return "exhausting";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            throw new OutOfMemoryError("made to fail");
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }

    private record Failing() implements StateMachine {

        @Override
        public String name() {
            return "failing";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            throw new IllegalStateException("made to fail");
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }

    private record EventCounter(AtomicInteger handled) implements StateMachine {

        @Override
        public String name() {
            return "counter";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            handled.incrementAndGet();
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }
}
