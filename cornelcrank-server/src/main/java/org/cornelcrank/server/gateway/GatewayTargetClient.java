package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.gateway.http.GatewayDialect;
import org.cornelcrank.gateway.http.RateLimit;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.ResponseId;
import org.cornelcrank.gateway.http.TargetResponseHead;
import org.cornelcrank.http.MalformedResponseException;
import org.cornelcrank.server.client.HttpOutcomes;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.RelayClient;
import org.cornelcrank.server.peer.RelayException;
import org.cornelcrank.server.peer.SocketAddresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.util.retry.Retry;

/**
 * Runs requests on targets and passes their responses to the receivers.
 *
 * <p>Invariants: every dispatched attempt ends in exactly one {@link Event.AttemptEnded}; a response is believed only if
 * it states the request's id, whatever its status, and accepted as a success only if it is also signed and complete,
 * also if a peer relays its connection; an attempt that ends early closes its connection. Not thread-safe: confined to
 * the event loop.
 */
final class GatewayTargetClient implements EffectRunner {

    /** Fraction of the target's idle timeout after which a pooled connection is no longer used. */
    private static final double IDLE_FRACTION = 0.75;

    /** How many bytes of a body count as progress: one now and then must not keep an attempt open. */
    private static final int MIN_PROGRESS_BYTES = 1024;

    /** How long nothing may arrive before the head of a response until the target counts as silent, in ms. */
    static final long SILENCE_MS = 300;

    /** How long nothing may arrive after the head of a response until the target counts as silent, in ms. */
    static final long SILENCE_IN_RESPONSE_MS = 600;

    /** The time between two reports of a silence that lasts, in ms. */
    static final long REPEATED_SILENCE_MS = 300;

    private static final String MALFORMED = "malformed";

    private static final Retry OTHER_CONNECTION =
            Retry.max(TargetConnections.MAX_CONNECTIONS_PER_TARGET).filter(ConnectionNotUsableException::causes);

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.target");

    private final Map<AttemptId, RunningAttempt> running = new HashMap<>();
    private final TargetConnections connections;
    private final CoreLoop loop;
    private final GatewayCalls calls;
    private final GatewayDialect dialect;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private final MemoryLimit<TargetId> memory;

    GatewayTargetClient(
            CoreLoop loop,
            GatewayCalls calls,
            GatewayDialect dialect,
            MonotonicClock clock,
            TargetConnections connections,
            MemoryLimit<TargetId> memory,
            MetricRegistry metrics) {
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.loop = Objects.requireNonNull(loop, "loop must not be null");
        this.memory = Objects.requireNonNull(memory, "memory must not be null");
        this.connections = Objects.requireNonNull(connections, "connections must not be null");
        this.calls = Objects.requireNonNull(calls, "calls must not be null");
        this.dialect = Objects.requireNonNull(dialect, "dialect must not be null");
        this.metrics = Objects.requireNonNull(metrics, "metrics must not be null");
        metrics.registerGauge("attempts.running", running::size);
    }

    @Override
    public boolean run(Effect effect) {
        if (effect instanceof Effect.Dispatch dispatch) {
            dispatch(dispatch);
            return true;
        }
        if (effect instanceof Effect.CancelAttempt cancel) {
            RunningAttempt attempt = running.get(cancel.attempt());
            if (attempt != null) {
                attempt.end(attempt.failed(Verdict.MAY_HAVE_RUN, FailureKind.CANCELLED, 0, 0, "cancelled"));
            }
            return true;
        }
        if (effect instanceof Effect.AbandonAttempt abandon) {
            RunningAttempt attempt = running.get(abandon.attempt());
            if (attempt != null) {
                attempt.abandonIfSilent();
            }
            return true;
        }
        if (effect instanceof Effect.EndStalledAttempt end) {
            RunningAttempt attempt = running.get(end.attempt());
            if (attempt != null) {
                attempt.endIfStalled();
            }
            return true;
        }
        return false;
    }

    private void dispatch(Effect.Dispatch dispatch) {
        Optional<ResponseReceiver> receiver;
        InetSocketAddress address;
        try {
            receiver = receiver(dispatch.source());
            address = SocketAddresses.parse(dispatch.address());
        } catch (IllegalArgumentException e) {
            endUnsent(dispatch, FailureKind.CONNECTION_REFUSED, "cannot be sent: " + e.getMessage());
            return;
        }
        if (receiver.isEmpty()) {
            endUnsent(dispatch, FailureKind.CANCELLED, "the caller has disconnected");
            return;
        }
        Optional<TargetConnections.RelayedClient> relayed =
                dispatch.relay().flatMap(relay -> connections.relayed(relay, dispatch.target()));
        if (dispatch.relay().isPresent() && relayed.isEmpty()) {
            endUnsent(
                    dispatch,
                    FailureKind.RELAY_FAILED,
                    "relay " + dispatch.relay().get() + " has no known address");
            return;
        }
        RunningAttempt attempt =
                new RunningAttempt(dispatch.attempt(), dispatch.target(), address, relayed, receiver.get());
        running.put(dispatch.attempt(), attempt);
        try {
            send(attempt, dispatch);
        } catch (RuntimeException e) {
            attempt.end(attempt.failed(Verdict.MAY_HAVE_RUN, FailureKind.CONNECTION_LOST, 0, 0, e.toString()));
        }
    }

    /** Ends an attempt of which nothing has been sent. */
    private void endUnsent(Effect.Dispatch dispatch, FailureKind kind, String detail) {
        loop.post(new Event.AttemptEnded(
                dispatch.attempt(),
                new AttemptOutcome.Failed(Verdict.NOT_RUN, kind, 0, 0, false, 0, ByteString.EMPTY, detail)));
    }

    private void send(RunningAttempt attempt, Effect.Dispatch dispatch) {
        RequestHead head = attempt.receiver.head();
        HttpHeaders headers = dialect.targetHeaders(head, dispatch.target(), attempt.receiver.resumeAfterEvent());
        attempt.transfer = attempt.http()
                .headers(all -> all.set(headers))
                .doOnRequest((request, connection) -> {
                    begin(attempt, connection);
                    dialect.setRemainingTime(request.requestHeaders(), attempt.remainingMs(dispatch.timeoutMs()));
                })
                .request(HttpMethod.valueOf(head.method()))
                .uri(head.uri())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(attempt.receiver.body())))
                .response((response, content) -> onResponseHead(attempt, response, content))
                .retryWhen(OTHER_CONNECTION)
                .timeout(Duration.ofMillis(dispatch.timeoutMs()), loop.scheduler())
                .subscribe(attempt::end, error -> onError(attempt, error));
        attempt.checkReadTimeout();
        attempt.checkSilence();
    }

    private void onError(RunningAttempt attempt, Throwable error) {
        if (error instanceof MalformedResponseException malformed && attempt.begun()) {
            reportMalformed(attempt, malformed);
        }
        attempt.onTransferError(toFailure(error, attempt));
    }

    private void reportMalformed(RunningAttempt attempt, MalformedResponseException error) {
        metrics.counter("responses.rejected." + MALFORMED).inc();
        TargetExchanges exchanges = TargetExchanges.of(attempt.connection);
        LOGGER.atWarn()
                .addKeyValue("attempt", attempt.id)
                .addKeyValue("request", attempt.receiver.head().requestId())
                .addKeyValue("target", attempt.target)
                .addKeyValue("ageMs", clock.nowMs() - attempt.sentAtMs)
                .addKeyValue("connection", exchanges.localPort())
                .addKeyValue("exchange", exchanges.number())
                .addKeyValue("reason", error.getMessage())
                .log("response rejected: it is malformed");
    }

    /** Rejects a connection that must not carry the request before any byte of the request is sent. */
    private static void begin(RunningAttempt attempt, Connection connection) {
        if (!TargetExchanges.of(connection.channel())
                .begin(attempt.receiver.head().requestId())) {
            // Closed first, as the next try would otherwise get the same connection.
            connection.channel().close();
            throw new ConnectionNotUsableException();
        }
        attempt.connection = connection.channel();
    }

    /** Returns the receiver of the response, empty if the caller has disconnected. */
    private Optional<ResponseReceiver> receiver(DispatchSource source) {
        if (source instanceof DispatchSource.FromCaller from) {
            return calls.find(from.request()).map(CallReceiver::new);
        }
        if (source instanceof DispatchSource.Prepared prepared) {
            return Optional.of(new ItemReceiver(prepared, dialect.prepare(prepared)));
        }
        throw new IllegalArgumentException("source must be FromCaller or Prepared but was " + source);
    }

    private Flux<AttemptOutcome> onResponseHead(
            RunningAttempt attempt, HttpClientResponse response, ByteBufFlux content) {
        TargetResponseHead head = dialect.readResponse(
                response.status().code(),
                response.responseHeaders(),
                attempt.receiver.head().requestId());
        if (SplicedResponses.inHead(response.status().reasonPhrase(), response.responseHeaders())) {
            return rejected(attempt, head, response, "two-heads", "its head holds a part of another one");
        }
        if (!head.matchesRequest()) {
            return rejected(
                    attempt,
                    head,
                    response,
                    head.responseId() == ResponseId.ABSENT ? "no-id" : "other-id",
                    "the response belongs to another request");
        }
        if (head.success() && !head.signed()) {
            return rejected(attempt, head, response, "no-signature", "the success response is not signed");
        }
        rememberIdleTimeout(response, head);
        report(attempt, head, response, LOGGER.atInfo(), "response received");
        if (head.leaving()) {
            loop.post(new Event.TargetLeaving(attempt.target, attempt.sentAtMs));
        }
        reportRateLimit(attempt, head);
        attempt.responded = true;
        attempt.recordActivity();
        if (head.success()) {
            loop.post(new Event.AttemptStarted(attempt.id));
            return head.events() ? receiveEvents(attempt, head, content) : receiveComplete(attempt, head, content);
        }
        return readBody(attempt, content)
                .map(body -> onErrorStatus(attempt, head, body))
                .flux();
    }

    private Flux<AttemptOutcome> rejected(
            RunningAttempt attempt,
            TargetResponseHead head,
            HttpClientResponse response,
            String reason,
            String description) {
        metrics.counter("responses.rejected." + reason).inc();
        report(attempt, head, response, LOGGER.atWarn(), "response rejected: " + description);
        return Flux.error(new InvalidResponseException(description));
    }

    private void report(
            RunningAttempt attempt,
            TargetResponseHead head,
            HttpClientResponse response,
            LoggingEventBuilder line,
            String text) {
        line.addKeyValue("attempt", attempt.id)
                .addKeyValue("request", attempt.receiver.head().requestId())
                .addKeyValue("target", attempt.target)
                .addKeyValue("status", head.status())
                .addKeyValue("id", head.responseId())
                .addKeyValue("signed", head.signed())
                .addKeyValue("ageMs", clock.nowMs() - attempt.sentAtMs);
        if (response instanceof Connection connection) {
            TargetExchanges exchanges = TargetExchanges.of(connection.channel());
            line.addKeyValue("framing", exchanges.framing())
                    .addKeyValue("connection", exchanges.localPort())
                    .addKeyValue("exchange", exchanges.number());
        }
        line.log(text);
    }

    /** Reports what a target's own response says about its rate limit; a malformed limit says nothing. */
    private void reportRateLimit(RunningAttempt attempt, TargetResponseHead head) {
        if (head.rateLimit() instanceof RateLimit.Malformed malformed) {
            LOGGER.atWarn()
                    .addKeyValue("target", attempt.target)
                    .addKeyValue("value", malformed.text())
                    .log("rate limit ignored: expected a finite number of requests per second");
        } else if (!head.misdirected()) {
            loop.post(new Event.TargetResponded(
                    attempt.target, attempt.sentAtMs, head.rateLimit().maxRequestsPerSecond()));
        }
    }

    private static void rememberIdleTimeout(HttpClientResponse response, TargetResponseHead head) {
        if (head.idleTimeoutMs() > 0 && response instanceof Connection connection) {
            TargetConnections.limitIdleTime(connection.channel(), (long) (head.idleTimeoutMs() * IDLE_FRACTION));
        }
    }

    private static Flux<AttemptOutcome> receiveComplete(
            RunningAttempt attempt, TargetResponseHead head, ByteBufFlux content) {
        return readBody(attempt, content)
                .map(body -> {
                    attempt.receiver.onCompleteResponse(head, body);
                    return attempt.succeeded(head);
                })
                .flux();
    }

    private static Flux<AttemptOutcome> receiveEvents(
            RunningAttempt attempt, TargetResponseHead head, ByteBufFlux content) {
        return content.asByteArray()
                .concatMap(
                        bytes -> {
                            int before = attempt.receiver.receivedEvents();
                            attempt.receiver.onEventBytes(head, bytes);
                            if (attempt.receiver.receivedEvents() > before) {
                                attempt.recordActivity();
                            }
                            attempt.response.update(attempt.receiver.heldBytes());
                            return attempt.awaitReceiver();
                        },
                        1)
                .then(Mono.fromSupplier(() -> {
                    attempt.receiver.onEventsEnd(head);
                    return attempt.succeeded(head);
                }))
                .flux();
    }

    private static Mono<byte[]> readBody(RunningAttempt attempt, ByteBufFlux content) {
        return content.collect(BodyBuffer::new, (buffer, part) -> {
                    buffer.append(part);
                    attempt.recordBody(buffer.size());
                    attempt.response.update(buffer.heldBytes());
                })
                .map(BodyBuffer::toByteArray)
                .doOnNext(SplicedResponses::requireNone);
    }

    /** Determines the outcome of a response that is not a success. */
    private AttemptOutcome onErrorStatus(RunningAttempt attempt, TargetResponseHead head, byte[] body) {
        if (head.misdirected()) {
            return attempt.failed(
                    Verdict.NOT_RUN, FailureKind.CONNECTION_REFUSED, head.status(), 0, "another target responded");
        }
        if (head.notRun()) {
            return attempt.failed(
                    Verdict.NOT_RUN,
                    FailureKind.OVERLOADED,
                    head.status(),
                    head.retryAfterMs(),
                    "the target refused the request");
        }
        if (!dialect.meansNotRun(head.status())) {
            attempt.receiver.onFailure(head, body);
        }
        return attempt.failed(Verdict.MAY_HAVE_RUN, FailureKind.TARGET_ERROR, head.status(), 0, "the target failed");
    }

    private static AttemptOutcome.Failed toFailure(Throwable error, RunningAttempt attempt) {
        if (!attempt.responded && attempt.relayed.isEmpty() && HttpOutcomes.isConnectFailure(error)) {
            return attempt.failed(
                    Verdict.NOT_RUN, FailureKind.CONNECTION_REFUSED, 0, 0, String.valueOf(error.getMessage()));
        }
        if (error instanceof TimeoutException) {
            return attempt.failed(Verdict.MAY_HAVE_RUN, FailureKind.TIMED_OUT, 0, 0, error.toString());
        }
        if (attempt.relayed.isPresent()) {
            return toRelayFailure(error, attempt);
        }
        return attempt.failed(Verdict.MAY_HAVE_RUN, FailureKind.CONNECTION_LOST, 0, 0, error.toString());
    }

    /** Nothing is sent over a relayed connection before it is open. */
    private static AttemptOutcome.Failed toRelayFailure(Throwable error, RunningAttempt attempt) {
        if (!attempt.begun()) {
            FailureKind kind = error instanceof RelayException refused
                            && refused.failed() == RelayException.Cause.TARGET_UNREACHABLE
                    ? FailureKind.PATH_LOST
                    : FailureKind.RELAY_FAILED;
            return attempt.failed(Verdict.NOT_RUN, kind, 0, 0, error.toString());
        }
        boolean peerLost = RelayClient.failure(attempt.connection)
                .filter(failure -> failure.failed() == RelayException.Cause.PEER_LOST)
                .isPresent();
        FailureKind kind = peerLost ? FailureKind.PATH_LOST : FailureKind.CONNECTION_LOST;
        return attempt.failed(Verdict.MAY_HAVE_RUN, kind, 0, 0, error.toString());
    }

    /** An attempt in progress. */
    private final class RunningAttempt {

        private final AttemptId id;
        private final TargetId target;
        private final InetSocketAddress address;
        private final Optional<TargetConnections.RelayedClient> relayed;
        private final ResponseReceiver receiver;
        private final MemoryLimit<TargetId>.Message response;
        private final long sentAtMs = clock.nowMs();
        private Disposable transfer;
        private Disposable pendingCheck = Disposables.disposed();
        private Disposable silenceCheck = Disposables.disposed();
        private Channel connection;
        private long lastActivityAtMs = sentAtMs;
        private Optional<AttemptOutcome> stalled = Optional.empty();
        private long receiverTookAtMs;
        private boolean responded;
        private boolean ended;
        private boolean awaitsReceiver;
        private int recordedBodyBytes;

        RunningAttempt(
                AttemptId id,
                TargetId target,
                InetSocketAddress address,
                Optional<TargetConnections.RelayedClient> relayed,
                ResponseReceiver receiver) {
            this.id = id;
            this.target = target;
            this.address = address;
            this.relayed = relayed;
            this.receiver = receiver;
            this.response = memory.open(target, this::onEvicted);
        }

        HttpClient http() {
            return relayed.map(TargetConnections.RelayedClient::http).orElseGet(() -> connections.direct(address));
        }

        /** Returns whether a byte of the request may have been sent. */
        boolean begun() {
            return connection != null;
        }

        /** Returns how much of the time limit is left, which includes the time until a connection is open. */
        long remainingMs(long timeoutMs) {
            return Math.max(1, sentAtMs + timeoutMs - clock.nowMs());
        }

        void recordActivity() {
            lastActivityAtMs = clock.nowMs();
            stalled = Optional.empty();
        }

        /** Records the length of the body so far as activity if it has grown enough. */
        void recordBody(int bodyBytes) {
            if (bodyBytes - recordedBodyBytes >= MIN_PROGRESS_BYTES) {
                recordedBodyBytes = bodyBytes;
                recordActivity();
            }
        }

        /** Stops reading from the target until the receiver takes more; meanwhile the target is not at fault. */
        Mono<Void> awaitReceiver() {
            Optional<Mono<Void>> pause = receiver.pause();
            if (pause.isEmpty()) {
                return Mono.empty();
            }
            awaitsReceiver = true;
            return pause.get().doFinally(signal -> {
                awaitsReceiver = false;
                receiverTookAtMs = clock.nowMs();
                response.update(receiver.heldBytes());
                recordActivity();
            });
        }

        /** Closes the connection at once, as all unfinished responses together hold too much. */
        private void onEvicted(MemoryLimit.Eviction eviction) {
            LOGGER.atWarn()
                    .addKeyValue("attempt", id)
                    .addKeyValue("target", target)
                    .addKeyValue("responseBytes", eviction.messageBytes())
                    .addKeyValue("heldBytes", eviction.heldBytes())
                    .addKeyValue("maxBytes", eviction.maxBytes())
                    .log("connection closed, as unfinished responses hold too much memory");
            if (transfer != null) {
                transfer.dispose();
            }
            onTransferError(failed(
                    Verdict.MAY_HAVE_RUN,
                    FailureKind.CONNECTION_LOST,
                    0,
                    0,
                    "evicted with " + eviction.messageBytes() + " bytes, as unfinished responses hold "
                            + eviction.heldBytes() + " of " + eviction.maxBytes()));
        }

        /** Reports the target as silent once nothing has arrived for some time, and again while that lasts. */
        void checkSilence() {
            if (ended) {
                return;
            }
            long nextMs = REPEATED_SILENCE_MS;
            long remainingMs = remainingUntilSilentMs();
            if (remainingMs > 0) {
                nextMs = remainingMs;
            } else if (!awaitsReceiver) {
                loop.post(new Event.AttemptSilent(id));
            }
            silenceCheck = loop.scheduler().schedule(this::checkSilence, nextMs, TimeUnit.MILLISECONDS);
        }

        private long remainingUntilSilentMs() {
            long heardAtMs = Math.max(sentAtMs, receiverTookAtMs);
            if (begun()) {
                heardAtMs = Math.max(heardAtMs, LastArrival.atMs(connection));
            }
            return heardAtMs + (responded ? SILENCE_IN_RESPONSE_MS : SILENCE_MS) - clock.nowMs();
        }

        /** Ends the attempt if its target is unreachable or silent. */
        void abandonIfSilent() {
            if (!begun()) {
                end(failed(Verdict.NOT_RUN, FailureKind.PATH_LOST, 0, 0, "abandoned before a connection was open"));
            } else if (!awaitsReceiver && remainingUntilSilentMs() <= 0) {
                end(failed(Verdict.MAY_HAVE_RUN, FailureKind.PATH_LOST, 0, 0, "abandoned, as nothing arrives"));
            }
        }

        /**
         * Ends the attempt once the target has made no progress for the read timeout, or lets the core decide if that
         * might cut a stream.
         */
        void checkReadTimeout() {
            long readTimeoutMs = receiver.readTimeoutMs();
            if (ended || readTimeoutMs == 0) {
                return;
            }
            long remainingMs = lastActivityAtMs + readTimeoutMs - clock.nowMs();
            if (remainingMs <= 0 && !awaitsReceiver) {
                onReadTimeout(readTimeoutMs);
                return;
            }
            pendingCheck = loop.scheduler()
                    .schedule(
                            this::checkReadTimeout,
                            awaitsReceiver ? readTimeoutMs : remainingMs,
                            TimeUnit.MILLISECONDS);
        }

        private void onReadTimeout(long readTimeoutMs) {
            AttemptOutcome.Failed timedOut = failed(
                    Verdict.MAY_HAVE_RUN, FailureKind.TIMED_OUT, 0, 0, "no progress for " + readTimeoutMs + " ms");
            if (!receiver.hasRunLimit()) {
                end(timedOut);
                return;
            }
            if (relayed.isPresent()) {
                // Only the daemon that relays the attempt could check whether the target listens.
                onProbed(true, timedOut);
                return;
            }
            pendingCheck =
                    connections.probe().isListening(address).subscribe(listening -> onProbed(listening, timedOut));
        }

        private void onProbed(boolean listening, AttemptOutcome.Failed timedOut) {
            boolean recentActivity = clock.nowMs() - lastActivityAtMs < receiver.readTimeoutMs();
            if (recentActivity) {
                checkReadTimeout();
            } else if (!listening) {
                end(targetGone(timedOut));
            } else if (receiver.waitsForTarget()) {
                recordActivity();
                checkReadTimeout();
            } else if (receiver.reachedCaller()) {
                recordActivity();
                checkReadTimeout();
                stalled = Optional.of(timedOut);
                loop.post(new Event.AttemptStalled(id));
            } else {
                end(timedOut);
            }
        }

        void endIfStalled() {
            stalled.ifPresent(this::end);
        }

        /**
         * Ends the attempt. If its connection was lost, checks whether the target is gone; what the request may do next
         * depends on that if the number of its runs is limited.
         */
        void onTransferError(AttemptOutcome.Failed failed) {
            if (failed.kind() != FailureKind.CONNECTION_LOST || relayed.isPresent()) {
                end(failed);
                return;
            }
            if (!receiver.hasRunLimit()) {
                end(failed);
                connections
                        .probe()
                        .isListening(address)
                        .filter(listening -> !listening)
                        .subscribe(gone -> loop.post(new Event.TargetGone(target)));
                return;
            }
            pendingCheck.dispose();
            pendingCheck = connections
                    .probe()
                    .isListening(address)
                    .subscribe(listening -> end(listening ? failed : targetGone(failed)));
        }

        private AttemptOutcome.Failed targetGone(AttemptOutcome.Failed failed) {
            return failed(
                    Verdict.MAY_HAVE_RUN,
                    FailureKind.TARGET_GONE,
                    0,
                    0,
                    "nothing listens at " + address + " after: " + failed.detail());
        }

        AttemptOutcome succeeded(TargetResponseHead head) {
            return new AttemptOutcome.Succeeded(head.status(), "", receiver.collected(), receiver.receivedEvents());
        }

        AttemptOutcome.Failed failed(Verdict verdict, FailureKind kind, int status, long retryAfterMs, String detail) {
            return new AttemptOutcome.Failed(
                    verdict,
                    kind,
                    status,
                    receiver.receivedEvents(),
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
            response.close();
            pendingCheck.dispose();
            silenceCheck.dispose();
            if (outcome instanceof AttemptOutcome.Failed failed) {
                receiver.onAttemptFailed(failed);
                if (transfer != null) {
                    transfer.dispose();
                }
            }
            relayed.ifPresent(TargetConnections.RelayedClient::close);
            loop.post(new Event.AttemptEnded(id, outcome));
        }
    }

    /** Closes a connection that must not carry a request, so that another one is used. */
    private static final class ConnectionNotUsableException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        ConnectionNotUsableException() {
            super("the connection has carried the request before, or too many requests", null, false, false);
        }

        static boolean causes(Throwable error) {
            return error instanceof ConnectionNotUsableException
                    || error.getCause() instanceof ConnectionNotUsableException;
        }
    }

    /**
     * Rejects a response that must not reach the caller, and closes its connection, as later data on it cannot be
     * trusted.
     */
    private static final class InvalidResponseException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        InvalidResponseException(String message) {
            super(message, null, false, false);
        }
    }
}
