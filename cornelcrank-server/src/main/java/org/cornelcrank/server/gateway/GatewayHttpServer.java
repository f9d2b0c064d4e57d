package org.cornelcrank.server.gateway;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.gateway.RequestLimits;
import org.cornelcrank.gateway.RouteKind;
import org.cornelcrank.gateway.RouteTable;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.gateway.http.GatewayDialect;
import org.cornelcrank.gateway.http.HeadResult;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.routing.OnlineRequest;
import org.cornelcrank.routing.RequestOptions;
import org.cornelcrank.server.loop.MonotonicClock;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Listens for callers, and for the balancer's question whether to send them here.
 *
 * <p>Invariant: a request that has been read gets an answer, also while the daemon drains; answers then ask the caller to
 * close its connection. Not thread-safe: confined to the event loop.
 */
final class GatewayHttpServer {

    /** The longest request line, in bytes. */
    private static final int MAX_LINE_BYTES = 16 * 1024;

    /** How long a caller may keep a connection idle, in ms: longer than any limit that callers are told. */
    private static final long IDLE_TIMEOUT_MS = 75_000;

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.request");

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** When a caller may come back while no routes are known, in ms. */
    static final long NOT_READY_RETRY_MS = 500;

    private final GatewayCalls calls;
    private final GatewayDialect dialect;
    private final RouteTableSettings settings;
    private final MonotonicClock clock;
    private final JobHttpHandler jobs;
    private final ReadinessGate gate;
    private final AtomicBoolean stopping;
    private final MetricRegistry metrics;

    GatewayHttpServer(
            GatewayCalls calls,
            GatewayDialect dialect,
            ReadinessGate gate,
            MonotonicClock clock,
            JobHttpHandler jobs,
            AtomicBoolean stopping,
            MetricRegistry metrics) {
        this.calls = Objects.requireNonNull(calls, "calls must not be null");
        this.dialect = Objects.requireNonNull(dialect, "dialect must not be null");
        this.gate = Objects.requireNonNull(gate, "gate must not be null");
        this.settings = gate.settings();
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.jobs = Objects.requireNonNull(jobs, "jobs must not be null");
        this.stopping = Objects.requireNonNull(stopping, "stopping must not be null");
        this.metrics = Objects.requireNonNull(metrics, "metrics must not be null");
    }

    /** Starts to listen for callers. */
    DisposableServer bind(InetSocketAddress address, LoopResources loops) {
        return server(address, loops).handle(this::handle).bindNow();
    }

    /** Starts to listen for the balancer. */
    DisposableServer bindReadiness(InetSocketAddress address, LoopResources loops) {
        return server(address, loops).handle(this::answerReadiness).bindNow();
    }

    private static HttpServer server(InetSocketAddress address, LoopResources loops) {
        return HttpServer.create()
                .bindAddress(() -> address)
                .runOn(loops, false)
                .idleTimeout(Duration.ofMillis(IDLE_TIMEOUT_MS))
                .httpRequestDecoder(spec -> spec.maxInitialLineLength(MAX_LINE_BYTES)
                        .maxHeaderSize(2 * RequestLimits.DEFAULT.maxHeaderBytes()));
    }

    private Publisher<Void> answerReadiness(HttpServerRequest request, HttpServerResponse response) {
        boolean known = request.uri().startsWith(dialect.readinessPath());
        boolean ready = known && settings.ready() && !stopping.get();
        return response.status(ready ? OK : UNAVAILABLE)
                .header(HttpHeaderNames.CONTENT_LENGTH, "0")
                .send();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        if (stopping.get()) {
            response.keepAlive(false);
        }
        long arrivedAtMs = clock.nowMs();
        return settings.ready()
                ? handle(request, response, arrivedAtMs)
                : gate.pass().flatMap(passed -> Mono.from(handle(request, response, arrivedAtMs)));
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response, long arrivedAtMs) {
        HeadResult result = dialect.readRequest(request.method().name(), request.uri(), request.requestHeaders());
        Optional<RouteTable> table = settings.table();
        if (table.isEmpty()) {
            return turnAway(
                    response,
                    Refusal.notRun(RefusalCode.NOT_READY, "no routes are known yet", NOT_READY_RETRY_MS),
                    result instanceof HeadResult.Valid valid ? valid.head().requestId() : null);
        }
        Optional<Mono<Void>> aboutJob = jobs.answer(request, response);
        if (aboutJob.isPresent()) {
            return aboutJob.get();
        }
        if (result instanceof HeadResult.Invalid invalid) {
            return turnAway(response, Refusal.notRun(RefusalCode.INVALID_REQUEST, invalid.reason()), null);
        }
        RequestHead head = ((HeadResult.Valid) result).head();
        Optional<GatewayRoute> route = table.get().select(head.host(), head.path());
        if (route.isEmpty()) {
            String message = "no route of version " + table.get().version() + " for " + head.host() + head.path();
            return turnAway(response, Refusal.notRun(RefusalCode.NOT_FOUND, message), head.requestId());
        }
        return readBody(request, table.get().limits().maxBodyBytes())
                .flatMap(body -> body.length > table.get().limits().maxBodyBytes()
                        ? turnAway(
                                response,
                                Refusal.notRun(RefusalCode.TOO_LARGE, "the body is too long"),
                                head.requestId())
                        : accept(route.get(), head, body, arrivedAtMs, response));
    }

    /** Reads a body; of one that is too long, no more than shows that it is. */
    private static Mono<byte[]> readBody(HttpServerRequest request, int maxBytes) {
        ByteBufFlux content = request.receive();
        return content.asByteArray()
                .scanWith(ByteArrayOutputStream::new, (whole, part) -> {
                    whole.writeBytes(part);
                    return whole;
                })
                .takeUntil(whole -> whole.size() > maxBytes)
                .last()
                .map(ByteArrayOutputStream::toByteArray);
    }

    private Mono<Void> accept(
            GatewayRoute route, RequestHead head, byte[] body, long arrivedAtMs, HttpServerResponse response) {
        if (route.kind() == RouteKind.BATCH) {
            return jobs.submit(route, head, body, response);
        }
        metrics.counter("gateway.requests." + route.kind()).inc();
        GatewayCall call = calls.open(head, body, request(route, head, body, arrivedAtMs), arrivedAtMs);
        return call.answer()
                .flatMap(answer -> write(response, answer, head))
                .doOnCancel(() -> calls.callerDisconnected(call));
    }

    private static OnlineRequest request(GatewayRoute route, RequestHead head, byte[] body, long arrivedAtMs) {
        boolean resumable = route.kind() == RouteKind.STREAM && route.resumable();
        long waitMs = Math.min(head.deadlineMs().orElse(route.timeoutMs()), route.timeoutMs());
        return new OnlineRequest(
                route.team(),
                route.serviceFor(StableHash.of(head.requestId())),
                route.urgency(),
                arrivedAtMs + waitMs,
                route.repeatable(),
                resumable,
                route.prefixAffinity() ? head.prefixHashes() : List.of(),
                StableHash.of(head.uri(), Long.toHexString(StableHash.of(body))),
                head.maxAnswerTokens(),
                route.kind() == RouteKind.STREAM,
                new RequestOptions(route.maxAttempts(), resumable, route.latencyObjectiveMs()));
    }

    private Mono<Void> write(HttpServerResponse response, CallResponse answer, RequestHead head) {
        if (answer instanceof CallResponse.Streamed streamed) {
            response.status(streamed.status());
            copy(streamed.headers(), response);
            return response.send(streamed.events().map(Unpooled::wrappedBuffer), buffer -> true)
                    .then();
        }
        if (answer instanceof CallResponse.Whole whole) {
            response.status(whole.status());
            copy(whole.headers(), response);
            return send(response, whole.body());
        }
        return refuse(response, ((CallResponse.Refused) answer).refusal(), head.requestId());
    }

    /** Refuses a request that does not reach the core. */
    private Mono<Void> turnAway(HttpServerResponse response, Refusal refusal, String requestId) {
        metrics.counter("gateway.refused." + refusal.code().errorCode()).inc();
        LOGGER.atInfo()
                .addKeyValue("request", requestId)
                .addKeyValue("routesVersion", settings.version())
                .addKeyValue("outcome", refusal)
                .log("request turned away");
        return refuse(response, refusal, requestId);
    }

    /** Writes a refusal. */
    private Mono<Void> refuse(HttpServerResponse response, Refusal refusal, String requestId) {
        response.status(dialect.status(refusal));
        copy(dialect.refusalHeaders(refusal, requestId), response);
        return send(response, (refusal.message() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    static void copy(HttpHeaders headers, HttpServerResponse response) {
        response.responseHeaders().add(headers);
    }

    static Mono<Void> send(HttpServerResponse response, byte[] body) {
        return response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
                .sendByteArray(Mono.just(body))
                .then();
    }
}
