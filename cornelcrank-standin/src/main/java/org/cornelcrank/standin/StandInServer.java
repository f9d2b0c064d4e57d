package org.cornelcrank.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import io.netty.buffer.Unpooled;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.ByteBufMono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.util.retry.Retry;

/**
 * The HTTP server of a stand-in, which simulates the faults common to all stand-ins.
 *
 * <p>Invariant: the port stays the same across a simulated crash. Thread-safe.
 */
final class StandInServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(StandInServer.class);
    private static final Duration REBIND_INTERVAL = Duration.ofMillis(50);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final String host;
    private final Function<StandInRequest, Mono<StandInResponse>> handler;
    private final Runnable onCrash;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.NONE);
    private volatile int port;
    private volatile DisposableServer server;
    private volatile boolean closed;

    StandInServer(String host, int port, Function<StandInRequest, Mono<StandInResponse>> handler, Runnable onCrash) {
        this.host = Objects.requireNonNull(host, "host must not be null");
        this.port = port;
        this.handler = Objects.requireNonNull(handler, "handler must not be null");
        this.onCrash = Objects.requireNonNull(onCrash, "onCrash must not be null");
    }

    void start() {
        server = bind().block();
        port = server.port();
    }

    String address() {
        return host + ":" + port;
    }

    Faults faults() {
        return faults.get();
    }

    void setFaults(Faults newFaults) {
        faults.set(newFaults.withCrashForMs(0));
        if (newFaults.crashForMs() > 0) {
            crash(newFaults.crashForMs());
        }
    }

    /** Closes all connections and stops listening for the given time. */
    void crash(long downMs) {
        DisposableServer crashed = server;
        if (crashed == null || closed) {
            return;
        }
        server = null;
        LOGGER.info("Stand-in {} simulates a crash for {} ms", address(), downMs);
        crashed.dispose();
        onCrash.run();
        connections.forEach(connection -> connection.channel().close());
        Mono.delay(Duration.ofMillis(downMs), Schedulers.parallel())
                .then(Mono.defer(this::bind))
                .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, REBIND_INTERVAL).filter(error -> !closed))
                .subscribe(
                        this::restarted, error -> LOGGER.warn("Stand-in {} could not be restarted", address(), error));
    }

    void close() {
        closed = true;
        DisposableServer stopped = server;
        if (stopped != null) {
            stopped.disposeNow(STOP_TIMEOUT);
        }
        connections.forEach(connection -> connection.channel().close());
    }

    private void restarted(DisposableServer restarted) {
        server = restarted;
        LOGGER.info("Stand-in {} is listening again", address());
        if (closed) {
            restarted.dispose();
        }
    }

    private Mono<? extends DisposableServer> bind() {
        return HttpServer.create()
                .host(host)
                .port(port)
                .doOnConnection(this::track)
                .handle(this::handle)
                .bind();
    }

    private void track(Connection connection) {
        connections.add(connection);
        connection.onDispose(() -> connections.remove(connection));
    }

    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .map(body -> new StandInRequest(request.method().name(), request.uri(), request.requestHeaders(), body))
                .flatMap(received -> respond(received, response));
    }

    private Mono<Void> respond(StandInRequest request, HttpServerResponse response) {
        if (request.path().equals("/faults")) {
            return send(handleFaults(request), response);
        }
        Faults current = faults.get();
        if (current.outage()) {
            return send(StandInResponse.error(503, "outage"), response);
        }
        Mono<StandInResponse> handled = Mono.defer(() -> handler.apply(request))
                .onErrorResume(
                        IllegalArgumentException.class,
                        error -> Mono.just(StandInResponse.error(400, error.getMessage())));
        Mono<StandInResponse> delayed = current.delayMs() > 0
                ? Mono.delay(Duration.ofMillis(current.delayMs())).then(handled)
                : handled;
        return delayed.flatMap(ready -> dropsResponse(request) ? closeConnection(response) : send(ready, response));
    }

    private boolean dropsResponse(StandInRequest request) {
        if (request.method().equals("GET")) {
            return false;
        }
        Faults before = faults.getAndUpdate(current -> current.withLoseAnswers(Math.max(0, current.loseAnswers() - 1)));
        return before.loseAnswers() > 0;
    }

    private Mono<Void> closeConnection(HttpServerResponse response) {
        response.withConnection(connection -> connection.channel().close());
        return Mono.never();
    }

    private StandInResponse handleFaults(StandInRequest request) {
        if (request.method().equals("GET")) {
            return StandInResponse.json(200, faults.get());
        }
        try {
            Map<String, Object> merged = StandInResponse.JSON.convertValue(faults.get(), StandInResponse.JSON_OBJECT);
            merged.putAll(StandInResponse.JSON.readValue(request.body(), StandInResponse.JSON_OBJECT));
            setFaults(StandInResponse.JSON.convertValue(merged, Faults.class));
            return StandInResponse.json(200, faults.get());
        } catch (IOException | IllegalArgumentException e) {
            return StandInResponse.error(400, "faults must be a JSON object of known faults: " + e.getMessage());
        }
    }

    private static Mono<Void> send(StandInResponse content, HttpServerResponse response) {
        response.status(content.status());
        content.headers().forEach(response::header);
        if (content instanceof StandInResponse.Events events) {
            return response.sse()
                    .sendObject(
                            events.events().map(text -> Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)),
                            part -> true)
                    .then();
        }
        byte[] body = ((StandInResponse.Complete) content).body();
        return response.header("Content-Length", Integer.toString(body.length))
                .send(ByteBufMono.fromCallable(() -> Unpooled.wrappedBuffer(body)))
                .then();
    }
}
