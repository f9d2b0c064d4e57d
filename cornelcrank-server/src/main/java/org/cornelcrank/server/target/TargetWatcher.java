package org.cornelcrank.server.target;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.OrderOutcome;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.http.StrictResponses;
import org.cornelcrank.server.client.HttpOutcomes;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Polls the watched targets for their load and their cache events, and sends orders to targets.
 *
 * <p>Thread-safe.
 */
public final class TargetWatcher implements EffectRunner {

    private static final long TIMEOUT_MS = 1_000;
    private static final long ORDER_TIMEOUT_MS = 60_000;

    private final Map<TargetId, Watch> watches = new ConcurrentHashMap<>();
    private final HttpClient http;
    private final Duration interval;
    private final CoreLoop loop;
    private final TargetReports reports;
    private final Counter failures;

    /**
     * Creates a watcher that watches no targets yet.
     *
     * @param interval the time between two polls of one target
     * @param loop receives the reports
     * @param json parses the reports
     * @param metrics receives the counters
     */
    public TargetWatcher(Duration interval, CoreLoop loop, ObjectMapper json, MetricRegistry metrics) {
        this.http = StrictResponses.of(HttpClient.create());
        this.interval = interval;
        this.loop = loop;
        this.reports = new TargetReports(json);
        this.failures = metrics.counter("targets.report-failures");
    }

    @Override
    public boolean run(Effect effect) {
        if (effect instanceof Effect.WatchTargets watched) {
            watch(watched.addresses());
            return true;
        }
        if (effect instanceof Effect.Order order) {
            sendOrder(order);
            return true;
        }
        return false;
    }

    /** Stops all watches. */
    public void stop() {
        watch(Map.of());
    }

    private void watch(Map<TargetId, String> addresses) {
        watches.forEach((target, watch) -> {
            if (!watch.address.equals(addresses.get(target))) {
                watches.remove(target);
                watch.polling.dispose();
            }
        });
        addresses.forEach((target, address) -> watches.computeIfAbsent(target, unused -> start(target, address)));
    }

    private Watch start(TargetId target, String address) {
        AtomicLong nextCacheEvent = new AtomicLong();
        Disposable polling = Mono.defer(() -> readLoad(target, address))
                .then(Mono.defer(() -> readCacheEvents(target, address, nextCacheEvent)))
                .repeatWhen(completions -> completions.delayElements(interval))
                .subscribe();
        return new Watch(address, polling);
    }

    private Mono<Void> readLoad(TargetId target, String address) {
        return get(address, "/load")
                .map(bytes -> (Event) new Event.TargetReported(reports.parseLoad(target, bytes)))
                .onErrorResume(error -> {
                    failures.inc();
                    return Mono.just(new Event.TargetUnreachable(target, HttpOutcomes.isConnectFailure(error)));
                })
                .doOnNext(loop::post)
                .then();
    }

    private Mono<Void> readCacheEvents(TargetId target, String address, AtomicLong next) {
        return get(address, "/cache-events?wait-ms=0&after=" + next.get())
                .map(bytes -> reports.parseCacheEvents(bytes, next.get()))
                .doOnNext(read -> {
                    next.set(read.next());
                    if (read.gap() || !read.changes().isEmpty()) {
                        loop.post(new Event.CacheChanged(target, read.changes(), read.gap()));
                    }
                })
                .onErrorResume(error -> Mono.empty())
                .then();
    }

    private Mono<byte[]> get(String address, String path) {
        return http.get()
                .uri("http://" + address + path)
                .responseSingle((response, body) -> response.status().code() == HttpResponseStatus.OK.code()
                        ? body.asByteArray()
                        : Mono.error(new IOException("target responded with status " + response.status())))
                .timeout(Duration.ofMillis(TIMEOUT_MS));
    }

    private void sendOrder(Effect.Order order) {
        http.headers(headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON))
                .post()
                .uri("http://" + order.address() + "/orders")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(reports.writeOrder(order.order()))))
                .responseSingle((response, body) ->
                        body.asByteArray().defaultIfEmpty(new byte[0]).thenReturn(outcomeOf(response.status())))
                .timeout(Duration.ofMillis(ORDER_TIMEOUT_MS))
                .onErrorResume(error ->
                        Mono.just(HttpOutcomes.isConnectFailure(error) ? OrderOutcome.REFUSED : OrderOutcome.UNKNOWN))
                .subscribe(outcome -> loop.post(new Event.OrderEnded(order.target(), order.orderNumber(), outcome)));
    }

    private static OrderOutcome outcomeOf(HttpResponseStatus status) {
        if (status.equals(HttpResponseStatus.OK)) {
            return OrderOutcome.DONE;
        }
        if (status.equals(HttpResponseStatus.CONFLICT)) {
            return OrderOutcome.FENCED;
        }
        return status.code() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
                ? OrderOutcome.REFUSED
                : OrderOutcome.UNKNOWN;
    }

    private record Watch(String address, Disposable polling) {}
}
