package org.cornelcrank.server.loop;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.daemon.DaemonCore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Event loop that passes events to the decision core one at a time and dispatches its effects to the runners.
 *
 * <p>Invariants: only this loop's single thread accesses the core, and the effects of an event are dispatched before
 * the next event is handled; an effect that fails does not take the others of its event with it; the process ends if
 * memory is exhausted in the middle of an event, as part of the event would be lost. Thread-safe.
 */
public final class CoreLoop {

    /** Exit code of a process whose memory was exhausted in the middle of an event. */
    private static final int OUT_OF_MEMORY = 3;

    private static final Logger LOGGER = LoggerFactory.getLogger(CoreLoop.class);

    private final Scheduler scheduler;
    private final Map<TimerKey, Disposable> timers = new HashMap<>();
    private final List<EffectRunner> runners = new CopyOnWriteArrayList<>();
    private final DaemonCore core;
    private final MonotonicClock clock;
    private final Meter events;
    private final Counter failures;
    private final Timer eventDurations;
    private final Runnable endThread;
    private final Consumer<OutOfMemoryError> onOutOfMemory;
    private volatile boolean stopped;

    /**
     * Creates a loop with its own thread.
     *
     * @param core the decision core, which only this loop may access from now on
     * @param clock provides the current time
     * @param metrics receives the loop's own meters
     */
    public CoreLoop(DaemonCore core, MonotonicClock clock, MetricRegistry metrics) {
        this(core, clock, Schedulers.newSingle("cornelcrank-core"), metrics, true, CoreLoop::endProcess);
    }

    /**
     * Creates a loop that shares its thread with other tasks and leaves it running when it stops.
     *
     * @param core the decision core, which only this loop may access from now on
     * @param clock provides the current time
     * @param scheduler runs all tasks on one thread, in order of submission
     * @param metrics receives the loop's own meters
     */
    public CoreLoop(DaemonCore core, MonotonicClock clock, Scheduler scheduler, MetricRegistry metrics) {
        this(core, clock, scheduler, metrics, false, CoreLoop::endProcess);
    }

    CoreLoop(
            DaemonCore core,
            MonotonicClock clock,
            Scheduler scheduler,
            MetricRegistry metrics,
            boolean ownsThread,
            Consumer<OutOfMemoryError> onOutOfMemory) {
        this.core = Objects.requireNonNull(core, "core must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler must not be null");
        this.events = metrics.meter("loop.events");
        this.failures = metrics.counter("loop.failures");
        this.eventDurations = metrics.timer("loop.event-durations");
        this.onOutOfMemory = Objects.requireNonNull(onOutOfMemory, "onOutOfMemory must not be null");
        this.endThread = ownsThread ? scheduler::dispose : () -> {};
    }

    /**
     * Adds a runner; must be called before the first event.
     *
     * @param runner executes effects
     */
    public void addRunner(EffectRunner runner) {
        runners.add(runner);
    }

    /**
     * Passes an event to the core; may be called from any thread. Events posted by one thread keep their order.
     *
     * @param event what happened
     */
    public void post(Event event) {
        schedule(() -> handle(event));
    }

    /**
     * Computes a value on the core's thread.
     *
     * @param query reads the state of the state machines, without changing it
     * @param <T> the type of the value
     * @return the value
     */
    public <T> Mono<T> query(Supplier<T> query) {
        return Mono.fromSupplier(query).subscribeOn(scheduler);
    }

    /** Returns the scheduler on whose single thread the core runs. */
    public Scheduler scheduler() {
        return scheduler;
    }

    /** Stops the loop; later events are dropped. */
    public void stop() {
        stopped = true;
        endThread.run();
    }

    private void schedule(Runnable task) {
        try {
            scheduler.schedule(task);
        } catch (RejectedExecutionException e) {
            LOGGER.debug("Event loop has stopped; the event is dropped");
        }
    }

    private void handle(Event event) {
        if (stopped) {
            LOGGER.debug("Event loop has stopped; the event is dropped");
            return;
        }
        events.mark();
        try (Timer.Context ignored = eventDurations.time()) {
            core.on(event, clock.nowMs()).forEach(this::executeSafely);
        } catch (OutOfMemoryError e) {
            onOutOfMemory.accept(e);
        }
    }

    /** Ends the process without its stop, which needs memory. */
    private static void endProcess(OutOfMemoryError error) {
        try {
            System.err.println("cornelcrankd: ends, as memory was exhausted while an event was handled: " + error);
        } finally {
            Runtime.getRuntime().halt(OUT_OF_MEMORY);
        }
    }

    private void executeSafely(Effect effect) {
        try {
            execute(effect);
        } catch (RuntimeException | StackOverflowError e) {
            failures.inc();
            LOGGER.error("Execution of effect {} failed", effect.getClass().getSimpleName(), e);
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Schedule timer) {
            startTimer(timer);
        } else if (effect instanceof Effect.Unschedule timer) {
            stopTimer(timer.key());
        } else if (effect instanceof Effect.StateChanged change) {
            LoggerFactory.getLogger("cornelcrank." + change.slice()).info(change.text());
        } else if (effect instanceof Effect.HandlingFailed failed) {
            failures.inc();
            LOGGER.error("Handling of {} by {} failed", failed.part(), failed.slice(), failed.cause());
        } else {
            dispatch(effect);
        }
    }

    private void dispatch(Effect effect) {
        for (EffectRunner runner : runners) {
            if (runner.run(effect)) {
                return;
            }
        }
        LOGGER.error(
                "No runner for effect {}; the effect is dropped",
                effect.getClass().getSimpleName());
    }

    private void startTimer(Effect.Schedule timer) {
        stopTimer(timer.key());
        long delayMs = Math.max(0, timer.dueAtMs() - clock.nowMs());
        timers.put(timer.key(), scheduler.schedule(() -> onTimerDue(timer.key()), delayMs, TimeUnit.MILLISECONDS));
    }

    private void onTimerDue(TimerKey key) {
        timers.remove(key);
        handle(new Event.TimerDue(key));
    }

    private void stopTimer(TimerKey key) {
        Disposable timer = timers.remove(key);
        if (timer != null) {
            timer.dispose();
        }
    }
}
