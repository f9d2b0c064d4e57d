package org.cornelcrank.server.gateway;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
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
import org.cornelcrank.gateway.http.TargetAnswerHead;
import org.cornelcrank.server.client.HttpOutcomes;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import org.cornelcrank.server.peer.SocketAddresses;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
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

    private static final int MAX_EVENT_BYTES = 256 * 1024;
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final AttributeKey<Long> IDLE_LIMIT_MS = AttributeKey.valueOf("cornelcrank-idle-limit-ms");

    private final Map<AttemptId, Running> running = new HashMap<>();
    private final HttpClient http;
    private final CoreLoop loop;
    private final GatewayCalls calls;
    private final GatewayDialect dialect;

    GatewayTargetClient(
            CoreLoop loop, GatewayCalls calls, GatewayDialect dialect, LoopResources loops, MetricRegistry metrics) {
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
        this.loop = Objects.requireNonNull(loop, "loop must not be null");
        this.calls = Objects.requireNonNull(calls, "calls must not be null");
        this.dialect = Objects.requireNonNull(dialect, "dialect must not be null");
        metrics.registerGauge("attempts.running", running::size);
    }

    @Override
    public boolean run(Effect effect) {
        if (effect instanceof Effect.Dispatch dispatch && dispatch.source() instanceof DispatchSource.FromCaller from) {
            dispatch(dispatch, from);
            return true;
        }
        if (effect instanceof Effect.CancelAttempt cancel) {
            Running attempt = running.get(cancel.attempt());
            if (attempt != null) {
                attempt.end(failed(Verdict.MAY_HAVE_RUN, FailureKind.CANCELLED, 0, attempt, 0, "cancelled"));
            }
            return true;
        }
        return false;
    }

    private void dispatch(Effect.Dispatch dispatch, DispatchSource.FromCaller from) {
        GatewayCall call = calls.find(from.request()).orElse(null);
        Running attempt = new Running(dispatch.attempt(), call);
        running.put(dispatch.attempt(), attempt);
        if (call == null) {
            attempt.end(failed(Verdict.NOT_RUN, FailureKind.CANCELLED, 0, attempt, 0, "the caller has left"));
            return;
        }
        call.drop();
        RequestHead head = call.head();
        HttpHeaders headers = dialect.targetHeaders(head, dispatch.target(), dispatch.timeoutMs(), call.resumeAfter());
        InetSocketAddress address = SocketAddresses.parse(dispatch.address());
        attempt.transfer = http.remoteAddress(() -> address)
                .headers(all -> all.set(headers))
                .request(HttpMethod.valueOf(head.method()))
                .uri(head.uri())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(call.body())))
                .response((response, content) -> answered(attempt, response, content))
                .timeout(Duration.ofMillis(dispatch.timeoutMs()), loop.scheduler())
                .subscribe(attempt::end, error -> attempt.end(ofError(error, attempt)));
    }

    private Flux<AttemptOutcome> answered(Running attempt, HttpClientResponse response, ByteBufFlux content) {
        RequestHead request = attempt.call.head();
        TargetAnswerHead head =
                dialect.readAnswer(response.status().code(), response.responseHeaders(), request.requestId());
        rememberIdleTimeout(response, head);
        if (!head.ownRequest()) {
            return Flux.error(new ForeignAnswerException());
        }
        attempt.answered = true;
        if (head.success() && head.signed()) {
            loop.post(new Event.AttemptStarted(attempt.id));
            return head.events() ? streamed(attempt, head, content) : whole(attempt, head, content);
        }
        return readWhole(content).map(body -> refused(attempt, head, body)).flux();
    }

    private static void rememberIdleTimeout(HttpClientResponse response, TargetAnswerHead head) {
        if (head.idleTimeoutMs() > 0 && response instanceof reactor.netty.Connection connection) {
            connection.channel().attr(IDLE_LIMIT_MS).set((long) (head.idleTimeoutMs() * IDLE_SHARE));
        }
    }

    private Flux<AttemptOutcome> whole(Running attempt, TargetAnswerHead head, ByteBufFlux content) {
        return readWhole(content)
                .map(body -> {
                    attempt.call.hold(new CallAnswer.Whole(head.status(), head.headers(), body));
                    return (AttemptOutcome) new AttemptOutcome.Succeeded(head.status(), "", ByteString.EMPTY, 0);
                })
                .flux();
    }

    private Flux<AttemptOutcome> streamed(Running attempt, TargetAnswerHead head, ByteBufFlux content) {
        EventRelay relay = new EventRelay(attempt.call, head, MAX_EVENT_BYTES);
        return content.asByteArray()
                .doOnNext(bytes -> attempt.events += relay.accept(bytes))
                .then(Mono.fromSupplier(() -> {
                    relay.end();
                    return (AttemptOutcome)
                            new AttemptOutcome.Succeeded(head.status(), "", ByteString.EMPTY, attempt.events);
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

    /** Judges an answer that is no success; a target's own failure is held for the caller. */
    private static AttemptOutcome refused(Running attempt, TargetAnswerHead head, byte[] body) {
        if (head.otherTarget()) {
            return failed(
                    Verdict.NOT_RUN,
                    FailureKind.CONNECTION_REFUSED,
                    head.status(),
                    attempt,
                    0,
                    "another target answers");
        }
        if (head.notRun()) {
            return failed(
                    Verdict.NOT_RUN,
                    FailureKind.OVERLOADED,
                    head.status(),
                    attempt,
                    head.retryAfterMs(),
                    "the target refuses");
        }
        if (!attempt.call.streaming()) {
            attempt.call.hold(new CallAnswer.Whole(head.status(), head.headers(), body));
        }
        return failed(Verdict.MAY_HAVE_RUN, FailureKind.TARGET_ERROR, head.status(), attempt, 0, "the target failed");
    }

    private static AttemptOutcome ofError(Throwable error, Running attempt) {
        if (!attempt.answered && HttpOutcomes.isConnectFailure(error)) {
            return failed(
                    Verdict.NOT_RUN, FailureKind.CONNECTION_REFUSED, 0, attempt, 0, String.valueOf(error.getMessage()));
        }
        FailureKind kind = error instanceof TimeoutException ? FailureKind.TIMED_OUT : FailureKind.CONNECTION_LOST;
        return failed(
                Verdict.MAY_HAVE_RUN, kind, 0, attempt, 0, error.getClass().getSimpleName());
    }

    private static AttemptOutcome.Failed failed(
            Verdict verdict, FailureKind kind, int status, Running attempt, long retryAfterMs, String detail) {
        boolean reached = attempt.call != null && attempt.call.streaming();
        return new AttemptOutcome.Failed(
                verdict, kind, status, attempt.events, reached, retryAfterMs, ByteString.EMPTY, detail);
    }

    /** One attempt under way. */
    private final class Running {

        private final AttemptId id;
        private final GatewayCall call;
        private Disposable transfer;
        private boolean answered;
        private boolean ended;
        private int events;

        Running(AttemptId id, GatewayCall call) {
            this.id = id;
            this.call = call;
        }

        void end(AttemptOutcome outcome) {
            if (ended) {
                return;
            }
            ended = true;
            running.remove(id);
            if (transfer != null && outcome instanceof AttemptOutcome.Failed) {
                transfer.dispose();
            }
            loop.post(new Event.AttemptEnded(id, outcome));
        }
    }

    /** An answer that names another request: the connection has lost its order and must go. */
    private static final class ForeignAnswerException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        ForeignAnswerException() {
            super("the answer names another request", null, false, false);
        }
    }
}
