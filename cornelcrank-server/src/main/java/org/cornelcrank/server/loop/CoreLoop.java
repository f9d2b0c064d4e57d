package org.cornelcrank.server.loop;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

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
 * Feeds events to the decision core one after another, and hands its effects to the runners.
 *
 * <p>Invariant: the core is touched by this loop's one thread only, and the effects of an event are handed out before
 * the next event. Thread-safe.
 */
public final class CoreLoop {

    private static final Logger LOGGER = LoggerFactory.getLogger(CoreLoop.class);

    private final Scheduler scheduler;
    private final Map<TimerKey, Disposable> timers = new HashMap<>();
    private final List<EffectRunner> runners = new CopyOnWriteArrayList<>();
    private final DaemonCore core;
    private final MonotonicClock clock;
    private final Meter events;
    private final Timer eventDurations;

    /**
     * Creates a loop that does nothing before its first event.
     *
     * @param core the decision core, touched by this loop alone from now on
     * @param clock gives the present time
     * @param metrics receives the loop's own meters
     */
    public CoreLoop(DaemonCore core, MonotonicClock clock, MetricRegistry metrics) {
        this(core, clock, Schedulers.newSingle("cornelcrank-core"), metrics);
    }

    /**
     * Creates a loop that shares its thread with others.
     *
     * @param core the decision core, touched by this loop alone from now on
     * @param clock gives the present time
     * @param scheduler runs all tasks on one thread, in their order
     * @param metrics receives the loop's own meters
     */
    public CoreLoop(DaemonCore core, MonotonicClock clock, Scheduler scheduler, MetricRegistry metrics) {
        this.core = Objects.requireNonNull(core, "core must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler must not be null");
        this.events = metrics.meter("loop.events");
        this.eventDurations = metrics.timer("loop.event-durations");
    }

    /**
     * Adds a runner; called before the first event.
     *
     * @param runner carries out effects
     */
    public void addRunner(EffectRunner runner) {
        runners.add(runner);
    }

    /**
     * Hands an event to the core, from any thread; events of one thread keep their order.
     *
     * @param event what happened
     */
    public void post(Event event) {
        schedule(() -> handle(event));
    }

    /**
     * Computes a value on the core's thread.
     *
     * @param question reads the state of duties, and changes nothing
     * @param <T> the type of the value
     * @return the value
     */
    public <T> Mono<T> ask(Supplier<T> question) {
        return Mono.fromSupplier(question).subscribeOn(scheduler);
    }

    /** Returns the scheduler whose one thread the core runs on. */
    public Scheduler scheduler() {
        return scheduler;
    }

    /** Stops the loop; later events are dropped. */
    public void stop() {
        scheduler.dispose();
    }

    private void schedule(Runnable task) {
        try {
            scheduler.schedule(task);
        } catch (RejectedExecutionException e) {
            LOGGER.debug("The loop has stopped; an event is dropped");
        }
    }

    private void handle(Event event) {
        events.mark();
        try (Timer.Context ignored = eventDurations.time()) {
            for (Effect effect : core.on(event, clock.nowMs())) {
                carryOut(effect);
            }
        } catch (RuntimeException e) {
            LOGGER.error("Event {} failed", event.getClass().getSimpleName(), e);
        }
    }

    private void carryOut(Effect effect) {
        if (effect instanceof Effect.Schedule timer) {
            startTimer(timer);
        } else if (effect instanceof Effect.Unschedule timer) {
            stopTimer(timer.key());
        } else if (effect instanceof Effect.StateChanged change) {
            LoggerFactory.getLogger("cornelcrank." + change.slice()).info(change.text());
        } else {
            handOut(effect);
        }
    }

    private void handOut(Effect effect) {
        for (EffectRunner runner : runners) {
            if (runner.run(effect)) {
                return;
            }
        }
        LOGGER.error("No runner for the effect {}", effect.getClass().getSimpleName());
    }

    private void startTimer(Effect.Schedule timer) {
        stopTimer(timer.key());
        long delayMs = Math.max(0, timer.dueAtMs() - clock.nowMs());
        timers.put(timer.key(), scheduler.schedule(() -> timerDue(timer.key()), delayMs, TimeUnit.MILLISECONDS));
    }

    private void timerDue(TimerKey key) {
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
