package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ImmediateEventExecutor;
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
import org.cornelcrank.routing.StreamIdentity;
import org.cornelcrank.server.http.ConnectionCloseHandler;
import org.cornelcrank.server.http.RequestGate;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * HTTP server for callers' requests and for the load balancer's readiness checks.
 *
 * <p>Invariant: a request that has been read gets a response, as {@link RequestGate} says. Not thread-safe: confined to
 * the event loop.
 */
final class GatewayHttpServer {

    /** Maximum length of a request line, in bytes. */
    private static final int MAX_LINE_BYTES = 16 * 1024;

    /** How long a caller's connection may stay idle, in ms; longer than any idle limit announced to callers. */
    private static final long IDLE_TIMEOUT_MS = 75_000;

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.request");

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** The retry delay for callers while no routes are loaded yet, in ms. */
    static final long NOT_READY_RETRY_MS = 500;

    /** The retry delay for callers whose bodies this daemon cannot hold, in ms. */
    private static final long BODIES_RETRY_MS = 1_000;

    /** How long a response that does not depend on the body of its request waits for it, in ms. */
    private static final long UNUSED_BODY_TIMEOUT_MS = 1_000;

    private static final Refusal NO_ROUTES =
            Refusal.notRun(RefusalCode.NOT_READY, "no routes are known yet", NOT_READY_RETRY_MS);

    private static final Refusal BODIES_TOO_LARGE =
            Refusal.notRun(RefusalCode.OVERLOADED, "the bodies of all requests hold too much memory", BODIES_RETRY_MS);

    private final GatewayCalls calls;
    private final GatewayDialect dialect;
    private final RouteTableSettings settings;
    private final JobHttpHandler jobs;
    private final ReadinessGate gate;
    private final RequestGate requests;
    private final MemoryLimit<Object> bodyMemory;
    private final Scheduler scheduler;
    private final MetricRegistry metrics;
    private final ChannelGroup connections = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE, true);

    GatewayHttpServer(
            GatewayCalls calls,
            GatewayDialect dialect,
            ReadinessGate gate,
            JobHttpHandler jobs,
            RequestGate requests,
            MemoryLimit<Object> bodyMemory,
            MetricRegistry metrics) {
        this.calls = Objects.requireNonNull(calls, "calls must not be null");
        this.dialect = Objects.requireNonNull(dialect, "dialect must not be null");
        this.gate = Objects.requireNonNull(gate, "gate must not be null");
        this.settings = gate.settings();
        this.scheduler = gate.scheduler();
        this.jobs = Objects.requireNonNull(jobs, "jobs must not be null");
        this.requests = Objects.requireNonNull(requests, "requests must not be null");
        this.bodyMemory = Objects.requireNonNull(bodyMemory, "bodyMemory must not be null");
        this.metrics = Objects.requireNonNull(metrics, "metrics must not be null");
    }

    /** Opens the listener for callers. */
    DisposableServer bind(InetSocketAddress address, LoopResources loops) {
        ConnectionCloseHandler closeHandler = new ConnectionCloseHandler(requests);
        return server(address, loops)
                .doOnChannelInit((observer, channel, remoteAddress) -> {
                    connections.add(channel);
                    closeHandler.addTo(channel);
                })
                .handle(this::handle)
                .bindNow();
    }

    /** Closes the callers' connections, now and later; requests that have not been read by then are never read. */
    void closeConnections() {
        connections.close();
    }

    /** Opens the listener for the load balancer's readiness checks. */
    DisposableServer bindReadiness(InetSocketAddress address, LoopResources loops) {
        return server(address, loops).handle(this::respondReadiness).bindNow();
    }

    private static HttpServer server(InetSocketAddress address, LoopResources loops) {
        return HttpServer.create()
                .bindAddress(() -> address)
                .runOn(loops, false)
                .idleTimeout(Duration.ofMillis(IDLE_TIMEOUT_MS))
                .httpRequestDecoder(spec -> spec.maxInitialLineLength(MAX_LINE_BYTES)
                        .maxHeaderSize(2 * RequestLimits.DEFAULT.maxHeaderBytes()));
    }

    private Publisher<Void> respondReadiness(HttpServerRequest request, HttpServerResponse response) {
        boolean readinessPath = request.uri().startsWith(dialect.readinessPath());
        boolean ready = readinessPath && settings.ready() && !requests.stopping();
        return response.status(ready ? OK : UNAVAILABLE)
                .header(HttpHeaderNames.CONTENT_LENGTH, "0")
                .send();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return requests.admit(
                request,
                receivedAtMs -> awaitRoutes().then(Mono.defer(() -> respond(request, response, receivedAtMs))),
                refusal -> reject(response, refusal, dialect.requestId(request.requestHeaders())));
    }

    /** Waits for the first routes of a daemon that starts, unless it is stopping already. */
    private Mono<Void> awaitRoutes() {
        return settings.ready() || requests.stopping()
                ? Mono.empty()
                : gate.awaitRoutes().takeUntilOther(requests.requestsEnded()).then();
    }

    private Mono<Void> respond(HttpServerRequest request, HttpServerResponse response, long receivedAtMs) {
        HeadResult result = dialect.readRequest(request.method().name(), request.uri(), request.requestHeaders());
        Optional<RouteTable> table = settings.table();
        if (table.isEmpty()) {
            return afterBody(
                    request,
                    () -> reject(
                            response,
                            requests.stopping() ? RequestGate.STOPPING : NO_ROUTES,
                            result instanceof HeadResult.Valid valid
                                    ? valid.head().requestId()
                                    : null));
        }
        Optional<Mono<Void>> jobResponse = jobs.handle(request, response);
        if (jobResponse.isPresent()) {
            return afterBody(request, jobResponse::get);
        }
        if (result instanceof HeadResult.Invalid invalid) {
            Refusal refusal = Refusal.notRun(RefusalCode.INVALID_REQUEST, invalid.reason());
            return afterBody(request, () -> reject(response, refusal, null));
        }
        RequestHead head = ((HeadResult.Valid) result).head();
        if (table.get().select(head.host(), head.path()).isEmpty()) {
            return afterBody(request, () -> rejectWithoutRoute(table.get(), head, receivedAtMs, response));
        }
        int maxBodyBytes = table.get().limits().maxBodyBytes();
        return Mono.using(
                () -> new RequestBody(head.requestId(), bodyMemory),
                body -> readAndAccept(head, body, maxBodyBytes, receivedAtMs, request, response),
                RequestBody::close);
    }

    /**
     * Responds once the body of a request that does not need it has been read, or at the time limit; at once if the caller
     * waits to be asked for the body.
     */
    private Mono<Void> afterBody(HttpServerRequest request, Supplier<Mono<Void>> response) {
        Mono<Void> reply = Mono.defer(response);
        if (request.requestHeaders().contains(HttpHeaderNames.EXPECT)) {
            return reply;
        }
        return requests.discardBody(request)
                .takeUntilOther(Mono.delay(Duration.ofMillis(UNUSED_BODY_TIMEOUT_MS), scheduler))
                .then(reply);
    }

    private Mono<Void> readAndAccept(
            RequestHead head,
            RequestBody body,
            int maxBodyBytes,
            long receivedAtMs,
            HttpServerRequest request,
            HttpServerResponse response) {
        return body.read(request.receive(), maxBodyBytes)
                .map(Optional::of)
                .takeUntilOther(requests.requestsEnded())
                .defaultIfEmpty(Optional.empty())
                .flatMap(bytes -> {
                    if (body.wasEvicted()) {
                        return reject(response.keepAlive(false), BODIES_TOO_LARGE, head.requestId());
                    }
                    if (bytes.isEmpty()) {
                        return reject(response, RequestGate.STOPPING, head.requestId());
                    }
                    if (bytes.get().length > maxBodyBytes) {
                        return reject(
                                response,
                                Refusal.notRun(RefusalCode.TOO_LARGE, "the body exceeds the maximum length"),
                                head.requestId());
                    }
                    return accept(head, bytes.get(), receivedAtMs, response);
                });
    }

    /** Rejects a request without a route; callers that are told that there is none do not try another daemon. */
    private Mono<Void> rejectWithoutRoute(
            RouteTable table, RequestHead head, long receivedAtMs, HttpServerResponse response) {
        String message = "no route of version " + table.version() + " for " + head.host() + head.path();
        Refusal refusal = settings.mayLackRoutes(receivedAtMs)
                ? Refusal.notRun(RefusalCode.NOT_READY, message + ", and newer ones cannot be read", NOT_READY_RETRY_MS)
                : Refusal.notRun(RefusalCode.NOT_FOUND, message);
        return reject(response, refusal, head.requestId());
    }

    /** Accepts a request that has arrived in full, by the routes in effect now: they may have changed since its head. */
    private Mono<Void> accept(RequestHead head, byte[] body, long receivedAtMs, HttpServerResponse response) {
        RouteTable table = settings.table().orElseThrow();
        Optional<GatewayRoute> selected = table.select(head.host(), head.path());
        if (selected.isEmpty()) {
            return rejectWithoutRoute(table, head, receivedAtMs, response);
        }
        GatewayRoute route = selected.get();
        if (route.kind() == RouteKind.BATCH) {
            return jobs.submit(route, head, body, response);
        }
        OnlineRequest command = request(route, head, body, receivedAtMs);
        if (!requests.accepts(command.deadlineAtMs())) {
            return reject(response, RequestGate.STOPPING, head.requestId());
        }
        metrics.counter("gateway.requests." + route.kind()).inc();
        GatewayCall call = calls.open(head, body, command, receivedAtMs);
        return call.response()
                .flatMap(callResponse -> write(response, callResponse, head))
                .doOnCancel(() -> calls.callerDisconnected(call));
    }

    private OnlineRequest request(GatewayRoute route, RequestHead head, byte[] body, long receivedAtMs) {
        boolean resumable = route.kind() == RouteKind.STREAM && route.resumable();
        Optional<StreamIdentity> stream = resumable
                ? Optional.of(new StreamIdentity(StableHash.of(head.streamId()), head.resumesStream()))
                : Optional.empty();
        long waitMs = Math.min(head.deadlineMs().orElse(route.timeoutMs()), route.timeoutMs());
        return new OnlineRequest(
                route.team(),
                route.serviceFor(StableHash.of(head.streamId())),
                route.urgency(),
                receivedAtMs + waitMs,
                route.repeatable(),
                resumable,
                route.prefixAffinity() ? head.prefixHashes() : List.of(),
                head.sharedParts(),
                StableHash.of(head.uri(), Long.toHexString(StableHash.of(body))),
                head.maxResponseTokens(),
                route.kind() == RouteKind.STREAM,
                new RequestOptions(
                        route.maxAttempts(),
                        resumable,
                        route.latencyObjectiveMs(),
                        stream,
                        Optional.of(settings.policy(route))));
    }

    private Mono<Void> write(HttpServerResponse response, CallResponse callResponse, RequestHead head) {
        if (callResponse instanceof CallResponse.Streamed streamed) {
            response.status(streamed.status());
            copy(streamed.headers(), response);
            return response.send(streamed.events().map(Unpooled::wrappedBuffer), buffer -> true)
                    .then();
        }
        if (callResponse instanceof CallResponse.Complete complete) {
            response.status(complete.status());
            copy(complete.headers(), response);
            return send(response, complete.body());
        }
        return refuse(response, ((CallResponse.Refused) callResponse).refusal(), head.requestId());
    }

    /** Refuses a request before it reaches the core. */
    private Mono<Void> reject(HttpServerResponse response, Refusal refusal, String requestId) {
        metrics.counter("gateway.refused." + refusal.code().errorCode()).inc();
        LOGGER.atInfo()
                .addKeyValue("request", requestId)
                .addKeyValue("routesVersion", settings.version())
                .addKeyValue("outcome", refusal)
                .log("request turned away");
        return refuse(response, refusal, requestId);
    }

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
