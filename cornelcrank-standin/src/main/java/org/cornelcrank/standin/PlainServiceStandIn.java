package org.cornelcrank.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import reactor.core.publisher.Mono;

/**
 * Stand-in for a plain service that issues numbered slips and records every call that it ran.
 *
 * <p>A {@code POST} to any path issues the next slip, even if its idempotency key was used before, so that duplicate
 * calls can be detected. A {@code GET} changes nothing. {@code GET /calls} lists the calls that ran. A call whose body
 * contains {@link EngineStandIn#CRASH_MARK} crashes the service. Thread-safe.
 */
public final class PlainServiceStandIn extends AbstractStandIn {

    private final PlainServiceSettings settings;
    private final List<ServiceCall> calls = new ArrayList<>();
    private final AtomicInteger running = new AtomicInteger();

    public PlainServiceStandIn(PlainServiceSettings settings) {
        super(settings.host(), settings.port());
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
    }

    /** Returns the modifying calls that ran, in their order. */
    public synchronized List<ServiceCall> calls() {
        return List.copyOf(calls);
    }

    /** Returns the number of calls that ran for each idempotency key. */
    public synchronized Map<String, Integer> runsByKey() {
        Map<String, Integer> runs = new TreeMap<>();
        calls.stream()
                .filter(call -> !call.idempotencyKey().isEmpty())
                .forEach(call -> runs.merge(call.idempotencyKey(), 1, Integer::sum));
        return runs;
    }

    @Override
    Mono<StandInResponse> respond(StandInRequest request) {
        if (request.matches("GET", "/load")) {
            return Mono.just(
                    settings.reportsLoad() ? loadReport() : StandInResponse.error(404, "this service reports no load"));
        }
        if (request.matches("GET", "/calls")) {
            return Mono.just(StandInResponse.json(200, Map.of("calls", calls())));
        }
        running.incrementAndGet();
        return Mono.delay(Duration.ofMillis(settings.serviceTimeMs()))
                .map(tick -> run(request))
                .doFinally(signal -> running.decrementAndGet());
    }

    private StandInResponse run(StandInRequest request) {
        if (request.text().contains(EngineStandIn.CRASH_MARK)) {
            crash(settings.restartMs());
            return StandInResponse.error(500, "crashed");
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("service", settings.service());
        body.put("path", request.path());
        if (!request.method().equals("GET")) {
            body.put("slip", issueSlip(request));
        }
        return StandInResponse.json(request.method().equals("POST") ? 201 : 200, body);
    }

    private synchronized long issueSlip(StandInRequest request) {
        String key = request.headers().get("Idempotency-Key", "");
        long number = calls.size() + 1L;
        calls.add(new ServiceCall(number, request.method(), request.path(), key, request.text()));
        return number;
    }

    private StandInResponse loadReport() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("measuredAtMs", System.currentTimeMillis());
        report.put("slots", settings.slots());
        report.put("running", running.get());
        report.put("queued", 0);
        report.put("loaded", List.of(settings.service()));
        report.put("leaving", faults().leaving());
        report.put("fencingNumber", 0);
        return StandInResponse.json(200, report);
    }
}
