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
import org.cornelcrank.http.StrictResponses;
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
 * <p>Invariant: every dispatched attempt ends in exactly one {@link Event.AttemptEnded}. Responses are buffered up to
 * {@code maxResponseBytes}; streamed events are forwarded as the caller reads them. The relay of a
 * dispatch is ignored for now: this daemon always connects to the target itself. Thread-safe.
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
    private final int maxResponseBytes;

    /**
     * Creates a client.
     *
     * @param loop receives the events of attempts
     * @param exchanges holds the callers' requests
     * @param json parses streamed events
     * @param maxResponseBytes maximum length of a response that is not streamed, in bytes
     * @param metrics receives the gauge of running attempts
     */
    public TargetClient(
            CoreLoop loop,
            ExchangeRegistry exchanges,
            ObjectMapper json,
            int maxResponseBytes,
            MetricRegistry metrics) {
        ConnectionProvider connections = ConnectionProvider.builder("targets")
                .maxConnections(MAX_CONNECTIONS_PER_TARGET)
                .pendingAcquireMaxCount(-1)
                .build();
        this.http = StrictResponses.of(HttpClient.create(connections));
        this.loop = loop;
        this.exchanges = exchanges;
        this.json = json;
        this.maxResponseBytes = maxResponseBytes;
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

    /**
     * Sends the request on a thread other than the core's; a cancellation takes effect even if it precedes the start.
     */
    private void dispatch(Effect.Dispatch dispatch) {
        Attempt attempt = new Attempt(dispatch.attempt(), loop, running::remove);
        running.put(dispatch.attempt(), attempt);
        Schedulers.parallel().schedule(() -> {
            try {
                start(dispatch, attempt);
            } catch (RuntimeException e) {
                attempt.abort(AttemptFailures.ofError(e, 0, false));
            }
        });
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
            runBuffered(dispatch, request, attempt, response -> {});
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
            runBuffered(dispatch, request, attempt, exchange::hold);
        }
    }

    private void cancel(AttemptId id) {
        Attempt attempt = running.get(id);
        if (attempt != null) {
            attempt.abort(AttemptFailures.cancelled(0, false));
        }
    }

    private void runBuffered(
            Effect.Dispatch dispatch,
            OutgoingRequest request,
            Attempt attempt,
            Consumer<CallerResponse.Complete> onResponse) {
        Disposable transfer = send(dispatch, request)
                .response((response, body) -> {
                    attempt.started();
                    return readBody(body).map(bytes -> onBufferedResponse(request, response, bytes, onResponse));
                })
                .next()
                .timeout(Duration.ofMillis(dispatch.timeoutMs()))
                .onErrorResume(error -> Mono.just(AttemptFailures.ofError(error, 0, false)))
                .subscribe(attempt::end);
        attempt.addTransfer(transfer);
    }

    private Mono<byte[]> readBody(ByteBufFlux body) {
        return body.asByteArray()
                .collect(ByteArrayOutputStream::new, this::append)
                .map(ByteArrayOutputStream::toByteArray);
    }

    private void append(ByteArrayOutputStream buffer, byte[] chunk) {
        if (buffer.size() + chunk.length > maxResponseBytes) {
            throw new AttemptFailures.ResponseTooLargeException(maxResponseBytes);
        }
        buffer.writeBytes(chunk);
    }

    private static AttemptOutcome onBufferedResponse(
            OutgoingRequest request,
            HttpClientResponse response,
            byte[] body,
            Consumer<CallerResponse.Complete> onResponse) {
        int status = response.status().code();
        if (status >= HttpResponseStatus.BAD_REQUEST.code()) {
            return AttemptFailures.ofStatus(request.path(), response, body);
        }
        String contentType = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
        onResponse.accept(new CallerResponse.Complete(status, contentType, body));
        return new AttemptOutcome.Succeeded(status, contentType, ByteString.copyFrom(body), 0);
    }

    private void runStream(Effect.Dispatch dispatch, OutgoingRequest request, Attempt attempt, Exchange exchange) {
        Disposable transfer = send(dispatch, request)
                .responseConnection((response, connection) ->
                        onStreamResponse(dispatch, request, attempt, exchange, response, connection))
                .timeout(Mono.delay(Duration.ofMillis(dispatch.timeoutMs())))
                .subscribe(unused -> {}, error -> attempt.abort(AttemptFailures.ofError(error, 0, false)));
        attempt.addTransfer(transfer);
    }

    private Mono<Void> onStreamResponse(
            Effect.Dispatch dispatch,
            OutgoingRequest request,
            Attempt attempt,
            Exchange exchange,
            HttpClientResponse response,
            Connection connection) {
        if (response.status().code() >= HttpResponseStatus.BAD_REQUEST.code()) {
            return readBody(connection.inbound().receive())
                    .doOnNext(body -> attempt.end(AttemptFailures.ofStatus(request.path(), response, body)))
                    .doFinally(signal -> connection.dispose())
                    .then();
        }
        if (!AttemptFailures.isEventStream(response)) {
            attempt.end(AttemptFailures.otherThanStream(response));
            connection.dispose();
            return Mono.empty();
        }
        attempt.addTransfer(connection);
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
                        headers.set(PREFIX_HASHES, toHex(request.prefixHashes()));
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

    private static String toHex(List<Long> hashes) {
        StringJoiner joined = new StringJoiner(",");
        for (long hash : hashes) {
            joined.add(Long.toHexString(hash));
        }
        return joined.toString();
    }
}
