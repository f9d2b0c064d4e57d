package org.cornelcrank.server.target;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.server.exchange.CallerResponse;
import org.cornelcrank.server.exchange.Exchange;
import org.cornelcrank.server.exchange.ExchangeRegistry;
import org.cornelcrank.server.exchange.OutgoingRequest;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.ByteBufFlux;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Runs attempts on targets over HTTP.
 *
 * <p>Invariant: every dispatched attempt ends in exactly one {@link Event.AttemptEnded}. Answers are held up to
 * {@code maxAnswerBytes}; streamed events are passed on as the caller reads them. Thread-safe.
 */
public final class TargetClient implements EffectRunner {

    private static final String RESUME_KEY = "Cornelcrank-Resume-Key";
    private static final String RESUME_FROM = "Cornelcrank-Resume-From";
    private static final String PREFIX_HASHES = "Cornelcrank-Prefix-Hashes";
    private static final int MAX_EVENT_BYTES = 256 * 1024;
    private static final int PROGRESS_INTERVAL_TOKENS = 16;
    private static final int MAX_CONNECTIONS_PER_TARGET = 1_024;

    private final Map<AttemptId, Attempt> running = new ConcurrentHashMap<>();
    private final HttpClient http;
    private final CoreLoop loop;
    private final ExchangeRegistry exchanges;
    private final ObjectMapper json;
    private final int maxAnswerBytes;

    /**
     * Creates a client.
     *
     * @param loop receives the events of attempts
     * @param exchanges knows the callers whose requests are sent
     * @param json reads streamed events
     * @param maxAnswerBytes the longest answer that is not streamed
     * @param metrics receives the gauge of running attempts
     */
    public TargetClient(
            CoreLoop loop, ExchangeRegistry exchanges, ObjectMapper json, int maxAnswerBytes, MetricRegistry metrics) {
        ConnectionProvider connections = ConnectionProvider.builder("targets")
                .maxConnections(MAX_CONNECTIONS_PER_TARGET)
                .pendingAcquireMaxCount(-1)
                .build();
        this.http = HttpClient.create(connections);
        this.loop = loop;
        this.exchanges = exchanges;
        this.json = json;
        this.maxAnswerBytes = maxAnswerBytes;
        metrics.registerGauge("attempts.running", running::size);
    }

    @Override
    public boolean run(Effect effect) {
        if (effect instanceof Effect.Dispatch dispatch) {
            dispatch(dispatch);
            return true;
        }
        if (effect instanceof Effect.CancelAttempt cancel) {
            cancel(cancel.attempt());
            return true;
        }
        return false;
    }

    /** Sends away from the core's thread; a cancel that comes before the attempt has begun holds all the same. */
    private void dispatch(Effect.Dispatch dispatch) {
        Attempt attempt = new Attempt(dispatch.attempt(), loop, running::remove);
        running.put(dispatch.attempt(), attempt);
        Schedulers.parallel().schedule(() -> start(dispatch, attempt));
    }

    private void start(Effect.Dispatch dispatch, Attempt attempt) {
        if (dispatch.source() instanceof DispatchSource.Inline inline) {
            OutgoingRequest request = new OutgoingRequest(
                    inline.method(),
                    inline.path(),
                    inline.contentType(),
                    inline.body().toByteArray(),
                    false,
                    List.of());
            runWhole(dispatch, request, attempt, whole -> {});
        } else if (dispatch.source() instanceof DispatchSource.FromCaller fromCaller) {
            dispatchForCaller(dispatch, fromCaller, attempt);
        }
    }

    private void dispatchForCaller(Effect.Dispatch dispatch, DispatchSource.FromCaller source, Attempt attempt) {
        Exchange exchange = exchanges.find(source.request()).orElse(null);
        if (exchange == null || exchange.outgoing().isEmpty()) {
            attempt.end(AttemptFailures.cancelled(0, false));
            return;
        }
        OutgoingRequest request = exchange.outgoing().get();
        if (request.streaming()) {
            runStream(dispatch, request, attempt, exchange);
        } else {
            runWhole(dispatch, request, attempt, exchange::hold);
        }
    }

    private void cancel(AttemptId id) {
        Attempt attempt = running.get(id);
        if (attempt != null) {
            attempt.abort(AttemptFailures.cancelled(0, false));
        }
    }

    private void runWhole(
            Effect.Dispatch dispatch,
            OutgoingRequest request,
            Attempt attempt,
            Consumer<CallerResponse.Whole> onAnswer) {
        Disposable transfer = send(dispatch, request)
                .response((response, body) -> {
                    attempt.started();
                    return readWhole(body).map(bytes -> wholeAnswered(request, response, bytes, onAnswer));
                })
                .next()
                .timeout(Duration.ofMillis(dispatch.timeoutMs()))
                .onErrorResume(error -> Mono.just(AttemptFailures.ofError(error, 0, false)))
                .subscribe(attempt::end);
        attempt.transferredBy(transfer);
    }

    private Mono<byte[]> readWhole(ByteBufFlux body) {
        return body.asByteArray()
                .collect(ByteArrayOutputStream::new, this::append)
                .map(ByteArrayOutputStream::toByteArray);
    }

    private void append(ByteArrayOutputStream whole, byte[] part) {
        if (whole.size() + part.length > maxAnswerBytes) {
            throw new AttemptFailures.ResponseTooLargeException(maxAnswerBytes);
        }
        whole.writeBytes(part);
    }

    private static AttemptOutcome wholeAnswered(
            OutgoingRequest request,
            HttpClientResponse response,
            byte[] body,
            Consumer<CallerResponse.Whole> onAnswer) {
        int status = response.status().code();
        if (status >= HttpResponseStatus.BAD_REQUEST.code()) {
            return AttemptFailures.ofStatus(request.path(), response, body);
        }
        String contentType = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
        onAnswer.accept(new CallerResponse.Whole(status, contentType, body));
        return new AttemptOutcome.Succeeded(status, contentType, ByteString.copyFrom(body), 0);
    }

    private void runStream(Effect.Dispatch dispatch, OutgoingRequest request, Attempt attempt, Exchange exchange) {
        Disposable transfer = send(dispatch, request)
                .responseConnection((response, connection) ->
                        streamOpened(dispatch, request, attempt, exchange, response, connection))
                .timeout(Mono.delay(Duration.ofMillis(dispatch.timeoutMs())))
                .subscribe(unused -> {}, error -> attempt.abort(AttemptFailures.ofError(error, 0, false)));
        attempt.transferredBy(transfer);
    }

    private Mono<Void> streamOpened(
            Effect.Dispatch dispatch,
            OutgoingRequest request,
            Attempt attempt,
            Exchange exchange,
            HttpClientResponse response,
            Connection connection) {
        if (response.status().code() >= HttpResponseStatus.BAD_REQUEST.code()) {
            return readWhole(connection.inbound().receive())
                    .doOnNext(body -> attempt.end(AttemptFailures.ofStatus(request.path(), response, body)))
                    .doFinally(signal -> connection.dispose())
                    .then();
        }
        attempt.transferredBy(connection);
        attempt.started();
        int fromToken = dispatch.resume().map(ResumePoint::fromToken).orElse(0);
        exchange.stream(new StreamTransfer(attempt, connection, new TokenStream(json, fromToken), response)
                .events(Duration.ofMillis(dispatch.timeoutMs()), MAX_EVENT_BYTES, PROGRESS_INTERVAL_TOKENS));
        return Mono.empty();
    }

    private HttpClient.ResponseReceiver<?> send(Effect.Dispatch dispatch, OutgoingRequest request) {
        return http.headers(headers -> {
                    if (!request.contentType().isEmpty()) {
                        headers.set(HttpHeaderNames.CONTENT_TYPE, request.contentType());
                    }
                    if (!request.prefixHashes().isEmpty()) {
                        headers.set(PREFIX_HASHES, hexadecimal(request.prefixHashes()));
                    }
                    dispatch.resume().ifPresent(resume -> {
                        headers.set(RESUME_KEY, resume.key());
                        headers.set(RESUME_FROM, resume.fromToken());
                    });
                })
                .request(HttpMethod.valueOf(request.method()))
                .uri("http://" + dispatch.address() + request.path())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(request.body())));
    }

    private static String hexadecimal(List<Long> hashes) {
        StringJoiner joined = new StringJoiner(",");
        for (long hash : hashes) {
            joined.add(Long.toHexString(hash));
        }
        return joined.toString();
    }
}
