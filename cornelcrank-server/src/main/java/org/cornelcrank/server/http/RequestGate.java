package org.cornelcrank.server.http;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.LongFunction;

import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.gateway.Drain;
import org.cornelcrank.server.loop.MonotonicClock;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Admits requests as the {@link Drain} of the daemon says, and counts those whose response has not been written.
 *
 * <p>Invariant: a request that has been read gets a response, at the time limit of a stop also if its body has not
 * arrived. Thread-safe.
 */
public final class RequestGate {

    /** The retry delay for callers of a stopping daemon, in ms: other daemons accept requests already. */
    private static final long RETRY_MS = 10;

    /** The refusal of requests that a stopping daemon does not run. */
    public static final Refusal STOPPING = Refusal.notRun(RefusalCode.NOT_READY, "the daemon is stopping", RETRY_MS);

    private final Drain drain;
    private final MonotonicClock clock;
    private final int maxBodyBytes;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final Sinks.Empty<Void> requestsEnded = Sinks.empty();

    /**
     * Creates a gate without requests.
     *
     * @param maxBodyBytes how much of a refused request's body is read, in bytes
     */
    public RequestGate(Drain drain, MonotonicClock clock, int maxBodyBytes) {
        this.drain = Objects.requireNonNull(drain, "drain must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns whether the daemon is stopping, so that it must not look ready. */
    public boolean stopping() {
        return drain.requested();
    }

    /**
     * Returns whether a request that has been read is accepted; all others are to be refused as {@link #STOPPING}.
     *
     * @param endsAtMs the time at which the request ends at the latest, in ms
     */
    public boolean accepts(long endsAtMs) {
        return drain.accepts(clock.nowMs(), endsAtMs);
    }

    /**
     * Fails if a request that has been read is not accepted.
     *
     * @param endsAtMs the time at which the request ends at the latest, in ms
     * @throws RefusedException with {@link #STOPPING} if the request could be open at the time limit of a stop
     */
    void requireAccepted(long endsAtMs) {
        if (!accepts(endsAtMs)) {
            throw new RefusedException(STOPPING);
        }
    }

    /**
     * Ends the open requests if the time limit of a stop has passed.
     *
     * @return whether this call was the first to do so
     */
    public boolean endRequests(long nowMs) {
        boolean ends = drain.endRequests(nowMs);
        if (ends) {
            requestsEnded.tryEmitEmpty();
        }
        return ends;
    }

    /** Completes once the open requests are to be ended. */
    public Mono<Void> requestsEnded() {
        return requestsEnded.asMono();
    }

    /** Returns how many requests have been read and not been responded to in full. */
    public int openRequests() {
        return openRequests.get();
    }

    /**
     * Handles a request, or refuses it once its body has been read, so that the caller receives the refusal.
     *
     * @param handler handles the request, given the time in ms at which it was received
     * @param refuser writes the refusal
     */
    public Mono<Void> admit(
            HttpServerRequest request, LongFunction<Mono<Void>> handler, Function<Refusal, Mono<Void>> refuser) {
        long receivedAtMs = clock.nowMs();
        openRequests.incrementAndGet();
        Mono<Void> result = drain.accepts(receivedAtMs)
                ? Mono.defer(() -> handler.apply(receivedAtMs))
                : discardBody(request).then(Mono.defer(() -> refuser.apply(STOPPING)));
        return result.doFinally(signal -> openRequests.decrementAndGet());
    }

    /**
     * Reads the body of a request that is refused without it, as far as the maximum.
     *
     * <p>A response that precedes the end of its request makes the server read nothing more from a connection on which
     * the request was pipelined.
     */
    public Mono<Void> discardBody(HttpServerRequest request) {
        return request.receive()
                .asByteArray()
                .scan(0L, (readBytes, chunk) -> readBytes + chunk.length)
                .takeUntil(readBytes -> readBytes > maxBodyBytes)
                .takeUntilOther(requestsEnded())
                .then();
    }
}
