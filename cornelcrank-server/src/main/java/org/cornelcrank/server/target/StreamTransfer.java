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
 * Passes one attempt's streamed events on, as fast as the caller reads them.
 *
 * <p>Invariant: events are passed on whole; the attempt ends with the stream, whole or cut, or when the caller leaves.
 * Not thread-safe: subscribed to once.
 */
final class StreamTransfer {

    private final Attempt attempt;
    private final Connection connection;
    private final TokenStream tokens;
    private final HttpClientResponse response;
    private final AtomicLong awaited = new AtomicLong();
    private volatile boolean heard;
    private boolean passedOn;

    StreamTransfer(Attempt attempt, Connection connection, TokenStream tokens, HttpClientResponse response) {
        this.attempt = attempt;
        this.connection = connection;
        this.tokens = tokens;
        this.response = response;
    }

    /** Returns the events; errors end the flux without one, since the decision core decides what follows. */
    Flux<byte[]> events(Duration timeout, int maxEventBytes, int progressIntervalTokens) {
        SseEventSplitter splitter = new SseEventSplitter(maxEventBytes);
        return connection
                .inbound()
                .receive()
                .asByteArray()
                .doOnRequest(demand -> awaited.accumulateAndGet(demand, Operators::addCap))
                .doOnNext(bytes -> heard())
                .concatMapIterable(splitter::accept)
                .filter(tokens::accept)
                .doOnNext(event -> passed(progressIntervalTokens))
                .takeUntilOther(silence(timeout))
                .doOnComplete(this::ended)
                .doOnError(error -> attempt.end(AttemptFailures.ofError(error, tokens.tokens(), passedOn)))
                .doOnCancel(() -> attempt.end(AttemptFailures.cancelled(tokens.tokens(), passedOn)))
                .doFinally(signal -> connection.dispose())
                .onErrorResume(error -> Mono.empty());
    }

    private void passed(int progressIntervalTokens) {
        passedOn = true;
        if (tokens.tokens() == 1 || tokens.tokens() % progressIntervalTokens == 0) {
            attempt.progressed(tokens.tokens());
        }
    }

    /** Emits once the target has been silent for a whole interval in which the caller was ready to read. */
    private Flux<Long> silence(Duration timeout) {
        return Flux.interval(timeout).filter(interval -> wasSilent()).doOnNext(interval -> timedOut());
    }

    private void heard() {
        heard = true;
        awaited.decrementAndGet();
    }

    private boolean wasSilent() {
        boolean silent = !heard && awaited.get() > 0;
        heard = false;
        return silent;
    }

    private void timedOut() {
        attempt.end(AttemptFailures.ofError(new TimeoutException(), tokens.tokens(), passedOn));
    }

    private void ended() {
        if (!tokens.done()) {
            attempt.end(AttemptFailures.cutStream(tokens.tokens(), passedOn));
            return;
        }
        String contentType = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        attempt.end(
                new AttemptOutcome.Succeeded(response.status().code(), contentType, ByteString.EMPTY, tokens.tokens()));
    }
}
