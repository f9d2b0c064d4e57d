package org.cornelcrank.server.http;

import java.time.Duration;
import java.util.Optional;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.server.exchange.CallerResponse;
import org.cornelcrank.server.exchange.Exchange;
import org.cornelcrank.server.exchange.ExchangeRegistry;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Submits commands to the decision core and returns its replies.
 *
 * <p>Thread-safe.
 */
final class CoreCommands {

    private static final int MAX_RETRIES = 5;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final ExchangeRegistry exchanges;

    CoreCommands(ExchangeRegistry exchanges) {
        this.exchanges = exchanges;
    }

    /** Runs a command; fails with a {@link RefusedException} if it is refused. */
    <T extends CallerReply> Mono<T> run(Caller caller, CallerCommand command, Class<T> replyType) {
        return Mono.defer(() -> {
            Exchange exchange = exchanges.open(caller, command, Optional.empty());
            return exchange.response()
                    .doOnCancel(() -> exchanges.callerDisconnected(exchange))
                    .map(response -> replyType.cast(requireAccepted(response)));
        });
    }

    /** Runs an idempotent command; retries it while the responsible daemon is not ready or cannot reach its store. */
    <T extends CallerReply> Mono<T> runIdempotent(Caller caller, CallerCommand command, Class<T> replyType) {
        return run(caller, command, replyType)
                .retryWhen(Retry.backoff(MAX_RETRIES, RETRY_DELAY)
                        .filter(CoreCommands::isTransient)
                        .onRetryExhaustedThrow((spec, signal) -> signal.failure()));
    }

    private static CallerReply requireAccepted(CallerResponse response) {
        CallerReply reply = ((CallerResponse.FromCore) response).reply();
        if (reply instanceof Refusal refusal) {
            throw new RefusedException(refusal);
        }
        return reply;
    }

    private static boolean isTransient(Throwable error) {
        return error instanceof RefusedException refused
                && (refused.refusal().code() == RefusalCode.NOT_READY
                        || refused.refusal().code() == RefusalCode.STORE_UNAVAILABLE);
    }
}
