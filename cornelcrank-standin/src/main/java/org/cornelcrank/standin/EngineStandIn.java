package org.cornelcrank.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Stands in for a model engine, as {@code docs/PLATFORM.md} describes it, with the times of {@link EngineTimeModel}.
 *
 * <p>A request whose body holds {@link #CRASH_MARK} crashes the engine when it gets a slot. Thread-safe: all state is
 * confined to one worker.
 */
public final class EngineStandIn extends AbstractStandIn {

    /** The text that makes a request crash the target that runs it. */
    public static final String CRASH_MARK = "CRASH-TARGET";

    private static final Logger LOGGER = LoggerFactory.getLogger(EngineStandIn.class);
    private static final long NS_PER_US = 1000;
    private static final Duration EVENT_POLL_INTERVAL = Duration.ofMillis(50);
    private static final String STREAMS_PREFIX = "/streams/";

    private final EngineSettings settings;
    private final Scheduler.Worker worker = Schedulers.parallel().createWorker();
    private final EngineState state;
    private final long startedNs = System.nanoTime();
    private final long startedUs = System.currentTimeMillis() * 1000;
    private Disposable wakeUp = Disposables.disposed();
    private long wakeUpAtUs = Long.MAX_VALUE;
    private long requests;

    public EngineStandIn(EngineSettings settings) {
        super(settings.host(), settings.port());
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.state = new EngineState(settings, nowUs());
    }

    /** Returns what the engine has done so far; must not be called from a thread of an event loop. */
    public EngineCounters counters() {
        return onWorker(() -> state.counters(nowUs())).block();
    }

    @Override
    public void close() {
        super.close();
        worker.dispose();
    }

    @Override
    Mono<StandInResponse> answer(Call call) {
        String path = call.path();
        if (call.method().equals("POST")
                && (path.equals(CompletionRequest.CHAT_PATH) || path.equals(CompletionRequest.TEXT_PATH))) {
            return complete(CompletionRequest.parse(call), call.text().contains(CRASH_MARK));
        }
        if (call.method().equals("DELETE") && path.startsWith(STREAMS_PREFIX)) {
            return onWorker(() -> forget(path.substring(STREAMS_PREFIX.length())));
        }
        if (call.is("POST", "/orders")) {
            return onWorker(() -> order(call));
        }
        if (!call.method().equals("GET")) {
            return Mono.just(StandInResponse.error(404, "no such call: " + call.method() + " " + path));
        }
        return switch (path) {
            case "/load" -> onWorker(() -> StandInResponse.json(200, state.loadReport(faults().leaving(), nowUs())));
            case "/cache-events" -> cacheEvents(call.longParameter("after", -1), call.longParameter("wait-ms", 0));
            case "/counters" -> onWorker(() -> StandInResponse.json(200, state.counters(nowUs())));
            default -> Mono.just(StandInResponse.error(404, "no such path: " + path));
        };
    }

    private Mono<StandInResponse> complete(CompletionRequest request, boolean crashesEngine) {
        return Mono.create(head -> schedule(() -> begin(request, crashesEngine, head)));
    }

    private void begin(CompletionRequest request, boolean crashesEngine, MonoSink<StandInResponse> head) {
        if (!state.serves(request.model())) {
            head.success(StandInResponse.error(404, "model not loaded: " + request.model()));
            return;
        }
        state.setSlowFactor(faults().slowFactor());
        AtomicReference<Runnable> hangUp = new AtomicReference<>(() -> {});
        Runnable onHangUp = () -> schedule(() -> hangUp.get().run());
        CompletionResponse answer = new CompletionResponse(request, "gen-" + requests++, head, onHangUp);
        Generation generation = request.resumes() ? state.resume(request, answer, nowUs()) : null;
        if (generation == null && request.resumeFrom() > 0) {
            head.success(StandInResponse.error(410, "no generation is kept under the key, or it is shorter"));
            return;
        }
        if (generation == null) {
            generation = state.submit(request, crashesEngine, answer, nowUs());
        }
        Generation begun = generation;
        hangUp.set(() -> {
            state.hungUp(begun, answer, nowUs());
            afterChange();
        });
        head.onCancel(onHangUp::run);
        afterChange();
    }

    private void afterChange() {
        if (state.takeCrashed()) {
            crash(settings.models().restartMs());
        }
        OptionalLong due = state.nextDueUs();
        if (due.isEmpty() || due.getAsLong() >= wakeUpAtUs && !wakeUp.isDisposed()) {
            return;
        }
        wakeUp.dispose();
        wakeUpAtUs = due.getAsLong();
        wakeUp = worker.schedule(this::advance, Math.max(0, wakeUpAtUs - nowUs()), TimeUnit.MICROSECONDS);
    }

    private void advance() {
        wakeUpAtUs = Long.MAX_VALUE;
        state.setSlowFactor(faults().slowFactor());
        state.advance(nowUs());
        afterChange();
    }

    @Override
    void crashed() {
        schedule(() -> state.reset(nowUs()));
    }

    private StandInResponse forget(String key) {
        state.forget(key, nowUs());
        afterChange();
        return StandInResponse.json(200, Map.of());
    }

    private StandInResponse order(Call call) {
        try {
            JsonNode body = StandInResponse.JSON.readTree(call.body());
            Set<String> wanted = new TreeSet<>();
            body.path("loaded").forEach(name -> wanted.add(name.asText()));
            EngineState.OrderResult result = state.order(
                    body.path("role").asText("mixed"),
                    wanted,
                    body.path("fencingNumber").asLong(),
                    nowUs());
            return switch (result) {
                case DONE -> StandInResponse.json(200, Map.of());
                case OLD_FENCING_NUMBER -> StandInResponse.error(409, "old fencing number");
                case UNKNOWN_MODEL -> StandInResponse.error(
                        422, "available are " + settings.models().available());
            };
        } catch (IOException e) {
            return StandInResponse.error(400, "order must be a JSON object");
        }
    }

    private Mono<StandInResponse> cacheEvents(long after, long waitMs) {
        long untilNs = System.nanoTime() + Duration.ofMillis(waitMs).toNanos();
        return onWorker(() -> state.cacheEventsAfter(after, nowUs()))
                .filter(page -> !page.events().isEmpty() || System.nanoTime() >= untilNs)
                .repeatWhenEmpty(polls -> polls.delayElements(EVENT_POLL_INTERVAL))
                .map(EngineStandIn::answer);
    }

    private static StandInResponse answer(CacheEventLog.Page page) {
        List<Map<String, Object>> events = new ArrayList<>();
        for (CacheEventLog.PublishedEvent event : page.events()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("sequence", event.sequence());
            fields.put("prefixHash", Long.toHexString(event.prefixHash()));
            fields.put("cached", event.cached());
            events.add(fields);
        }
        return StandInResponse.json(200, Map.of("events", events, "next", page.next(), "oldest", page.oldest()));
    }

    private <T> Mono<T> onWorker(Supplier<T> work) {
        return Mono.create(sink -> schedule(() -> {
            try {
                sink.success(work.get());
            } catch (RuntimeException e) {
                sink.error(e);
            }
        }));
    }

    private void schedule(Runnable work) {
        try {
            worker.schedule(work);
        } catch (RejectedExecutionException e) {
            LOGGER.debug("engine {} is closed, work dropped", address());
        }
    }

    private long nowUs() {
        return startedUs + (System.nanoTime() - startedNs) / NS_PER_US;
    }
}
