package org.cornelcrank.standin;

import java.time.Clock;
import java.util.Map;
import java.util.Objects;

import reactor.core.publisher.Mono;

/**
 * Stand-in for the rate-limited weight store.
 *
 * <p>Thread-safe.
 */
public final class WeightStoreStandIn extends AbstractStandIn {

    private static final String PATH_PREFIX = "/weights/";

    private final WeightStoreSettings settings;
    private final Clock clock;
    private final RateLimit requestRate;

    public WeightStoreStandIn(WeightStoreSettings settings) {
        this(settings, Clock.systemUTC());
    }

    WeightStoreStandIn(WeightStoreSettings settings, Clock clock) {
        super(settings.host(), settings.port());
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.requestRate = new RateLimit(settings.requestsPerSecond(), clock.millis());
    }

    @Override
    Mono<StandInResponse> respond(StandInRequest request) {
        if (!request.method().equals("GET") || !request.path().startsWith(PATH_PREFIX)) {
            return Mono.just(StandInResponse.error(404, "no such path: " + request.path()));
        }
        return Mono.just(read());
    }

    private synchronized StandInResponse read() {
        long nowMs = clock.millis();
        if (!requestRate.tryTake(1, nowMs)) {
            String retryAfter = Long.toString(requestRate.retryAfterSeconds(nowMs));
            return StandInResponse.error(
                    429, Map.of("Retry-After", retryAfter), "rate limit of the weight store reached");
        }
        return new StandInResponse.Complete(
                200, Map.of("Content-Type", "application/octet-stream"), new byte[settings.weightBytes()]);
    }
}
