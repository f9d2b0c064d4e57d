package org.cornelcrank.server.gateway;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.resolver.DefaultAddressResolverGroup;
import io.netty.util.AttributeKey;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.gateway.http.GatewayDialect;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.TargetResponseHead;
import org.cornelcrank.server.client.HttpOutcomes;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.SocketAddresses;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Runs callers' requests on targets and passes on what they answer.
 *
 * <p>Invariants: every dispatched attempt ends in exactly one {@link Event.AttemptEnded}; an answer counts only if it
 * names the request, is vouched for and comes whole; an attempt that ends early closes its connection. Not thread-safe:
 * confined to the event loop.
 */
final class GatewayTargetClient implements EffectRunner {

    /** How long a connection to a target may take, in ms: several ways between regions. */
    private static final int CONNECT_TIMEOUT_MS = 500;

    /** Connections to one target that one daemon may open. */
    private static final int MAX_CONNECTIONS_PER_TARGET = 64;

    /** How long a kept connection may stay idle where the target does not say, in ms. */
    private static final long DEFAULT_IDLE_MS = 4_000;

    /** The part of the target's idle timeout after which a connection is no longer used. */
    private static final double IDLE_SHARE = 0.75;

    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final AttributeKey<Long> IDLE_LIMIT_MS = AttributeKey.valueOf("cornelcrank-idle-limit-ms");

    private final Map<AttemptId, Running> running = new HashMap<>();
    private final HttpClient http;
    private final TargetProbe probe;
    private final CoreLoop loop;
    private final GatewayCalls calls;
    private final GatewayDialect dialect;
    private final MonotonicClock clock;

    GatewayTargetClient(
            CoreLoop loop,
            GatewayCalls calls,
            GatewayDialect dialect,
            MonotonicClock clock,
            LoopResources loops,
            MetricRegistry metrics) {
        ConnectionProvider connections = ConnectionProvider.builder("targets")
                .maxConnections(MAX_CONNECTIONS_PER_TARGET)
                .pendingAcquireMaxCount(-1)
                .lifo()
                .evictionPredicate((connection, metadata) -> {
                    Long limitMs = connection.channel().attr(IDLE_LIMIT_MS).get();
                    return metadata.idleTime() > (limitMs == null ? DEFAULT_IDLE_MS : limitMs);
                })
                .build();
        this.http = HttpClient.create(connections)
                .resolver(DefaultAddressResolverGroup.INSTANCE)
                .runOn(loops, false)
                .disableRetry(true)
                .followRedirect(false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.loop = Objects.requireNonNull(loop, "loop must not be null");
        this.probe = new TargetProbe(loops, loop.scheduler());
        this.calls = Objects.requireNonNull(calls, "calls must not be null");
        this.dialect = Objects.requireNonNull(dialect, "dialect must not be null");
        metrics.registerGauge("attempts.running", running::size);
    }

    @Override
    public boolean run(Effect effect) {
        if (effect instanceof Effect.Dispatch dispatch) {
            dispatch(dispatch);
            return true;
        }
        if (effect instanceof Effect.CancelAttempt cancel) {
            Running attempt = running.get(cancel.attempt());
            if (attempt != null) {
                attempt.end(attempt.failed(Verdict.MAY_HAVE_RUN, FailureKind.CANCELLED, 0, 0, "cancelled"));
            }
            return true;
        }
        return false;
    }

    private void dispatch(Effect.Dispatch dispatch) {
        ResponseReceiver receiver = receiver(dispatch.source());
        InetSocketAddress address = SocketAddresses.parse(dispatch.address());
        Running attempt = new Running(dispatch.attempt(), address, receiver);
        running.put(dispatch.attempt(), attempt);
        if (receiver == null) {
            attempt.end(new AttemptOutcome.Failed(
                    Verdict.NOT_RUN, FailureKind.CANCELLED, 0, 0, false, 0, ByteString.EMPTY, "the caller has left"));
            return;
        }
        RequestHead head = receiver.head();
        HttpHeaders headers =
                dialect.targetHeaders(head, dispatch.target(), dispatch.timeoutMs(), receiver.resumeAfter());
        attempt.transfer = http.remoteAddress(() -> address)
                .headers(all -> all.set(headers))
                .request(HttpMethod.valueOf(head.method()))
                .uri(head.uri())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(receiver.body())))
                .response((response, content) -> answered(attempt, response, content))
                .timeout(Duration.ofMillis(dispatch.timeoutMs()), loop.scheduler())
                .subscribe(attempt::end, error -> attempt.broke(ofError(error, attempt)));
        attempt.watchSilence();
    }

    /** Returns who takes the answer, null if the caller has left. */
    private ResponseReceiver receiver(DispatchSource source) {
        if (source instanceof DispatchSource.FromCaller from) {
            return calls.find(from.request()).map(CallReceiver::new).orElse(null);
        }
        if (source instanceof DispatchSource.Prepared prepared) {
            return new ItemReceiver(prepared, dialect.prepare(prepared));
        }
        throw new IllegalArgumentException("source must be a caller's or prepared but was " + source);
    }

    private Flux<AttemptOutcome> answered(Running attempt, HttpClientResponse response, ByteBufFlux content) {
        TargetResponseHead head = dialect.readAnswer(
                response.status().code(),
                response.responseHeaders(),
                attempt.receiver.head().requestId());
        rememberIdleTimeout(response, head);
        if (!head.ownRequest()) {
            return Flux.error(new InvalidResponseException("the answer names another request"));
        }
        if (head.success() && !head.signed()) {
            return Flux.error(new InvalidResponseException("nobody vouches for the success"));
        }
        attempt.answered = true;
        attempt.heard();
        if (head.success()) {
            loop.post(new Event.AttemptStarted(attempt.id));
            return head.events() ? streamed(attempt, head, content) : whole(attempt, head, content);
        }
        return readWhole(content).map(body -> refused(attempt, head, body)).flux();
    }

    private static void rememberIdleTimeout(HttpClientResponse response, TargetResponseHead head) {
        if (head.idleTimeoutMs() > 0 && response instanceof Connection connection) {
            connection.channel().attr(IDLE_LIMIT_MS).set((long) (head.idleTimeoutMs() * IDLE_SHARE));
        }
    }

    private static Flux<AttemptOutcome> whole(Running attempt, TargetResponseHead head, ByteBufFlux content) {
        return readWhole(content)
                .map(body -> {
                    attempt.receiver.whole(head, body);
                    return attempt.succeeded(head);
                })
                .flux();
    }

    private static Flux<AttemptOutcome> streamed(Running attempt, TargetResponseHead head, ByteBufFlux content) {
        return content.asByteArray()
                .doOnNext(bytes -> {
                    attempt.heard();
                    attempt.events += attempt.receiver.events(head, bytes);
                })
                .then(Mono.fromSupplier(() -> {
                    attempt.receiver.eventsEnded(head);
                    return attempt.succeeded(head);
                }))
                .flux();
    }

    private static Mono<byte[]> readWhole(ByteBufFlux content) {
        return content.asByteArray()
                .collect(ByteArrayOutputStream::new, (whole, part) -> {
                    if (whole.size() + part.length > MAX_ANSWER_BYTES) {
                        throw new IllegalStateException("an answer must have at most " + MAX_ANSWER_BYTES + " bytes");
                    }
                    whole.writeBytes(part);
                })
                .map(ByteArrayOutputStream::toByteArray);
    }

    /** Judges an answer that is no success. */
    private static AttemptOutcome refused(Running attempt, TargetResponseHead head, byte[] body) {
        if (head.otherTarget()) {
            return attempt.failed(
                    Verdict.NOT_RUN, FailureKind.CONNECTION_REFUSED, head.status(), 0, "another target answers");
        }
        if (head.notRun()) {
            return attempt.failed(
                    Verdict.NOT_RUN, FailureKind.OVERLOADED, head.status(), head.retryAfterMs(), "the target refuses");
        }
        attempt.receiver.failed(head, body);
        return attempt.failed(Verdict.MAY_HAVE_RUN, FailureKind.TARGET_ERROR, head.status(), 0, "the target failed");
    }

    private static AttemptOutcome.Failed ofError(Throwable error, Running attempt) {
        if (!attempt.answered && HttpOutcomes.isConnectFailure(error)) {
            return attempt.failed(
                    Verdict.NOT_RUN, FailureKind.CONNECTION_REFUSED, 0, 0, String.valueOf(error.getMessage()));
        }
        FailureKind kind = error instanceof TimeoutException ? FailureKind.TIMED_OUT : FailureKind.CONNECTION_LOST;
        return attempt.failed(Verdict.MAY_HAVE_RUN, kind, 0, 0, error.toString());
    }

    /** One attempt under way. */
    private final class Running {

        private final AttemptId id;
        private final InetSocketAddress address;
        private final ResponseReceiver receiver;
        private Disposable transfer;
        private Disposable watch = Disposables.disposed();
        private long heardAtMs = clock.nowMs();
        private boolean answered;
        private boolean ended;
        private int events;

        Running(AttemptId id, InetSocketAddress address, ResponseReceiver receiver) {
            this.id = id;
            this.address = address;
            this.receiver = receiver;
        }

        void heard() {
            heardAtMs = clock.nowMs();
        }

        /** Ends the attempt once the target has been silent for too long. */
        void watchSilence() {
            long patienceMs = receiver.silencePatienceMs();
            if (ended || patienceMs == 0) {
                return;
            }
            long leftMs = heardAtMs + patienceMs - clock.nowMs();
            if (leftMs <= 0) {
                silent(patienceMs);
                return;
            }
            watch = loop.scheduler().schedule(this::watchSilence, leftMs, TimeUnit.MILLISECONDS);
        }

        private void silent(long patienceMs) {
            AttemptOutcome.Failed timedOut =
                    failed(Verdict.MAY_HAVE_RUN, FailureKind.TIMED_OUT, 0, 0, "silent for " + patienceMs + " ms");
            if (!receiver.runsAreLimited()) {
                end(timedOut);
                return;
            }
            watch = probe.listens(address).subscribe(listens -> {
                boolean heardMeanwhile = clock.nowMs() - heardAtMs < patienceMs;
                if (heardMeanwhile) {
                    watchSilence();
                } else if (!listens) {
                    end(gone(timedOut));
                } else if (receiver.waitsForTarget()) {
                    heard();
                    watchSilence();
                } else {
                    end(timedOut);
                }
            });
        }

        /** Ends the attempt; where a run counts, only once it is known whether the target is gone. */
        void broke(AttemptOutcome.Failed failed) {
            if (failed.kind() != FailureKind.CONNECTION_LOST || !receiver.runsAreLimited()) {
                end(failed);
                return;
            }
            watch.dispose();
            watch = probe.listens(address).subscribe(listens -> end(listens ? failed : gone(failed)));
        }

        private AttemptOutcome.Failed gone(AttemptOutcome.Failed failed) {
            return failed(
                    Verdict.MAY_HAVE_RUN,
                    FailureKind.TARGET_GONE,
                    0,
                    0,
                    "nothing listens at " + address + " after: " + failed.detail());
        }

        AttemptOutcome succeeded(TargetResponseHead head) {
            return new AttemptOutcome.Succeeded(head.status(), "", receiver.collected(), events);
        }

        AttemptOutcome.Failed failed(Verdict verdict, FailureKind kind, int status, long retryAfterMs, String detail) {
            return new AttemptOutcome.Failed(
                    verdict,
                    kind,
                    status,
                    events,
                    receiver.reachedCaller(),
                    retryAfterMs,
                    receiver.collected(),
                    detail);
        }

        void end(AttemptOutcome outcome) {
            if (ended) {
                return;
            }
            ended = true;
            running.remove(id);
            watch.dispose();
            if (transfer != null && outcome instanceof AttemptOutcome.Failed) {
                transfer.dispose();
            }
            loop.post(new Event.AttemptEnded(id, outcome));
        }
    }

    /** An answer that must not reach the caller; its connection must go, as what follows on it is not to be trusted. */
    private static final class InvalidResponseException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        InvalidResponseException(String message) {
            super(message, null, false, false);
        }
    }
}
