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
 * The HTTP listener of a stand-in, with the faults that are common to all of them.
 *
 * <p>Invariant: the port stays the same over a crash. Thread-safe.
 */
final class StandInServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(StandInServer.class);
    private static final Duration REBIND_INTERVAL = Duration.ofMillis(50);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final String host;
    private final Function<Call, Mono<StandInResponse>> handler;
    private final Runnable onCrash;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.NONE);
    private volatile int port;
    private volatile DisposableServer server;
    private volatile boolean closed;

    StandInServer(String host, int port, Function<Call, Mono<StandInResponse>> handler, Runnable onCrash) {
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

    /** Cuts all connections and takes the listener away for a time. */
    void crash(long downMs) {
        DisposableServer crashed = server;
        if (crashed == null || closed) {
            return;
        }
        server = null;
        LOGGER.info("stand-in {} crashes for {} ms", address(), downMs);
        crashed.dispose();
        onCrash.run();
        connections.forEach(connection -> connection.channel().close());
        Mono.delay(Duration.ofMillis(downMs), Schedulers.parallel())
                .then(Mono.defer(this::bind))
                .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, REBIND_INTERVAL).filter(error -> !closed))
                .subscribe(this::restarted, error -> LOGGER.warn("stand-in {} stays down", address(), error));
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
        LOGGER.info("stand-in {} is back", address());
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
                .map(body -> new Call(request.method().name(), request.uri(), request.requestHeaders(), body))
                .flatMap(call -> answer(call, response));
    }

    private Mono<Void> answer(Call call, HttpServerResponse response) {
        if (call.path().equals("/faults")) {
            return send(answerFaults(call), response);
        }
        Faults present = faults.get();
        if (present.outage()) {
            return send(StandInResponse.error(503, "outage"), response);
        }
        Mono<StandInResponse> answer = Mono.defer(() -> handler.apply(call))
                .onErrorResume(
                        IllegalArgumentException.class,
                        error -> Mono.just(StandInResponse.error(400, error.getMessage())));
        Mono<StandInResponse> delayed = present.delayMs() > 0
                ? Mono.delay(Duration.ofMillis(present.delayMs())).then(answer)
                : answer;
        return delayed.flatMap(ready -> losesAnswer(call) ? cut(response) : send(ready, response));
    }

    private boolean losesAnswer(Call call) {
        if (call.method().equals("GET")) {
            return false;
        }
        Faults before = faults.getAndUpdate(present -> present.withLoseAnswers(Math.max(0, present.loseAnswers() - 1)));
        return before.loseAnswers() > 0;
    }

    private Mono<Void> cut(HttpServerResponse response) {
        response.withConnection(connection -> connection.channel().close());
        return Mono.never();
    }

    private StandInResponse answerFaults(Call call) {
        if (call.method().equals("GET")) {
            return StandInResponse.json(200, faults.get());
        }
        try {
            Map<String, Object> merged = StandInResponse.JSON.convertValue(faults.get(), StandInResponse.JSON_OBJECT);
            merged.putAll(StandInResponse.JSON.readValue(call.body(), StandInResponse.JSON_OBJECT));
            setFaults(StandInResponse.JSON.convertValue(merged, Faults.class));
            return StandInResponse.json(200, faults.get());
        } catch (IOException | IllegalArgumentException e) {
            return StandInResponse.error(400, "faults must be a JSON object of known switches: " + e.getMessage());
        }
    }

    private static Mono<Void> send(StandInResponse answer, HttpServerResponse response) {
        response.status(answer.status());
        answer.headers().forEach(response::header);
        if (answer instanceof StandInResponse.Events events) {
            return response.sse()
                    .sendObject(
                            events.events().map(text -> Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)),
                            part -> true)
                    .then();
        }
        byte[] body = ((StandInResponse.Whole) answer).body();
        return response.header("Content-Length", Integer.toString(body.length))
                .send(ByteBufMono.fromCallable(() -> Unpooled.wrappedBuffer(body)))
                .then();
    }
}
