package org.cornelcrank.server.target;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.cornelcrank.core.AttemptOutcome;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Operators;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Forwards the streamed events of one attempt, as fast as the caller reads them.
 *
 * <p>Invariant: only complete events are forwarded; the attempt ends with the stream, complete or truncated, or when
 * the caller disconnects. Not thread-safe: its events are subscribed to once.
 */
final class StreamTransfer {

    private final Attempt attempt;
    private final Connection connection;
    private final TokenStream tokens;
    private final HttpClientResponse response;
    private final AtomicLong outstandingDemand = new AtomicLong();
    private volatile boolean dataReceived;
    private boolean reachedCaller;

    StreamTransfer(Attempt attempt, Connection connection, TokenStream tokens, HttpClientResponse response) {
        this.attempt = attempt;
        this.connection = connection;
        this.tokens = tokens;
        this.response = response;
    }

    /** Returns the events; the flux completes normally on an error, since the decision core decides how to proceed. */
    Flux<byte[]> events(Duration timeout, int maxEventBytes, int progressIntervalTokens) {
        SseEventSplitter splitter = new SseEventSplitter(maxEventBytes);
        return connection
                .inbound()
                .receive()
                .asByteArray()
                .doOnRequest(demand -> outstandingDemand.accumulateAndGet(demand, Operators::addCap))
                .doOnNext(bytes -> onDataReceived())
                .concatMapIterable(splitter::accept)
                .filter(tokens::accept)
                .doOnNext(event -> onForwarded(progressIntervalTokens))
                .takeUntilOther(readTimeouts(timeout))
                .doOnComplete(this::onStreamEnd)
                .doOnError(this::onError)
                .doOnCancel(() -> attempt.end(AttemptFailures.cancelled(tokens.tokensOfAttempt(), reachedCaller)))
                .doFinally(signal -> connection.dispose())
                .onErrorResume(error -> Mono.empty());
    }

    private void onForwarded(int progressIntervalTokens) {
        reachedCaller = true;
        if (tokens.tokens() == 1 || tokens.tokens() % progressIntervalTokens == 0) {
            attempt.progressed(tokens.tokens());
        }
    }

    /** Emits when the target has sent nothing for a full interval in which the caller was ready to read. */
    private Flux<Long> readTimeouts(Duration timeout) {
        return Flux.interval(timeout).filter(interval -> wasIdle()).doOnNext(interval -> onReadTimeout());
    }

    private void onDataReceived() {
        dataReceived = true;
        outstandingDemand.decrementAndGet();
    }

    private boolean wasIdle() {
        boolean idle = !dataReceived && outstandingDemand.get() > 0;
        dataReceived = false;
        return idle;
    }

    private void onReadTimeout() {
        onError(new TimeoutException());
    }

    /** Ends the attempt; an error behind the end marker does not change a stream that the caller has received whole. */
    private void onError(Throwable error) {
        if (tokens.done()) {
            succeeded();
        } else {
            attempt.end(AttemptFailures.ofError(error, tokens.tokensOfAttempt(), reachedCaller));
        }
    }

    private void onStreamEnd() {
        if (tokens.done()) {
            succeeded();
        } else {
            attempt.end(AttemptFailures.truncatedStream(tokens.tokensOfAttempt(), reachedCaller));
        }
    }

    private void succeeded() {
        String contentType = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        attempt.end(new AttemptOutcome.Succeeded(
                response.status().code(), contentType, ByteString.EMPTY, tokens.tokensOfAttempt()));
    }
}
