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
 * Stand-in for a model engine as described in {@code docs/PLATFORM.md}, with the timing of {@link EngineTimeModel}.
 *
 * <p>A request whose body contains {@link #CRASH_MARK} crashes the engine as soon as it gets a slot. Thread-safe: all
 * state is confined to one worker.
 */
public final class EngineStandIn extends AbstractStandIn {

    /** A request that contains this text crashes the target that runs it. */
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

    /** Returns the counters of the engine; must not be called on an event loop thread. */
    public EngineCounters counters() {
        return onWorker(() -> state.counters(nowUs())).block();
    }

    @Override
    public void close() {
        super.close();
        worker.dispose();
    }

    @Override
    Mono<StandInResponse> respond(StandInRequest request) {
        String path = request.path();
        if (request.method().equals("POST")
                && (path.equals(CompletionRequest.CHAT_PATH) || path.equals(CompletionRequest.TEXT_PATH))) {
            return complete(CompletionRequest.parse(request), request.text().contains(CRASH_MARK));
        }
        if (request.method().equals("DELETE") && path.startsWith(STREAMS_PREFIX)) {
            return onWorker(() -> discard(path.substring(STREAMS_PREFIX.length())));
        }
        if (request.matches("POST", "/orders")) {
            return onWorker(() -> order(request));
        }
        if (!request.method().equals("GET")) {
            return Mono.just(StandInResponse.error(404, "unsupported request: " + request.method() + " " + path));
        }
        return switch (path) {
            case "/load" -> onWorker(() -> StandInResponse.json(200, state.loadReport(faults().leaving(), nowUs())));
            case "/cache-events" -> cacheEvents(
                    request.longParameter("after", -1), request.longParameter("wait-ms", 0));
            case "/counters" -> onWorker(() -> StandInResponse.json(200, state.counters(nowUs())));
            default -> Mono.just(StandInResponse.error(404, "no such path: " + path));
        };
    }

    private Mono<StandInResponse> complete(CompletionRequest request, boolean crashesEngine) {
        return Mono.create(responseSink -> schedule(() -> startGeneration(request, crashesEngine, responseSink)));
    }

    private void startGeneration(
            CompletionRequest request, boolean crashesEngine, MonoSink<StandInResponse> responseSink) {
        if (!state.serves(request.model())) {
            responseSink.success(StandInResponse.error(404, "model not loaded: " + request.model()));
            return;
        }
        state.setSlowFactor(faults().slowFactor());
        AtomicReference<Runnable> disconnect = new AtomicReference<>(() -> {});
        Runnable onDisconnect = () -> schedule(() -> disconnect.get().run());
        CompletionResponse response = new CompletionResponse(request, "gen-" + requests++, responseSink, onDisconnect);
        Generation generation = request.resumes() ? state.resume(request, response, nowUs()) : null;
        if (generation == null && request.resumeFrom() > 0) {
            responseSink.success(StandInResponse.error(
                    410, "no generation is retained under the resume key, or it is shorter than the resume position"));
            return;
        }
        if (generation == null) {
            generation = state.submit(request, crashesEngine, response, nowUs());
        }
        Generation started = generation;
        disconnect.set(() -> {
            state.callerDisconnected(started, response, nowUs());
            onStateChanged();
        });
        responseSink.onCancel(onDisconnect::run);
        onStateChanged();
    }

    private void onStateChanged() {
        if (state.pollCrashed()) {
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
        onStateChanged();
    }

    @Override
    void onCrash() {
        schedule(() -> state.reset(nowUs()));
    }

    private StandInResponse discard(String key) {
        state.discardByKey(key, nowUs());
        onStateChanged();
        return StandInResponse.json(200, Map.of());
    }

    private StandInResponse order(StandInRequest request) {
        try {
            JsonNode body = StandInResponse.JSON.readTree(request.body());
            Set<String> requested = new TreeSet<>();
            body.path("loaded").forEach(name -> requested.add(name.asText()));
            EngineState.OrderResult result = state.order(
                    body.path("role").asText("mixed"),
                    requested,
                    body.path("fencingNumber").asLong(),
                    nowUs());
            return switch (result) {
                case DONE -> StandInResponse.json(200, Map.of());
                case OLD_FENCING_NUMBER -> StandInResponse.error(409, "old fencing number");
                case UNKNOWN_MODEL -> StandInResponse.error(
                        422,
                        "order names an unknown model; available are "
                                + settings.models().available());
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
                .map(EngineStandIn::toResponse);
    }

    private static StandInResponse toResponse(CacheEventLog.Page page) {
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
            LOGGER.debug("Engine {} is closed; work is dropped", address());
        }
    }

    private long nowUs() {
        return startedUs + (System.nanoTime() - startedNs) / NS_PER_US;
    }
}
