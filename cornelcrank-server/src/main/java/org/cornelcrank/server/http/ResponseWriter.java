package org.cornelcrank.server.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.routing.OnlineRejected;
import org.cornelcrank.server.exchange.CallerResponse;
import org.cornelcrank.server.exchange.Exchange;
import org.cornelcrank.server.exchange.ExchangeRegistry;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes responses and refusals to callers.
 *
 * <p>Every response of an exchange states its request id, and every refusal its verdict and when to retry, if that is
 * known. All are written on the {@link ConnectionThread}. Thread-safe.
 */
final class ResponseWriter {

    static final String REQUEST_ID = "Cornelcrank-Request-Id";

    private static final String VERDICT = "Cornelcrank-Verdict";
    private static final String RETRY_AFTER_MS = "Retry-After-Ms";
    private static final String JSON = "application/json";
    private static final long MS_PER_SECOND = 1_000;

    private final ExchangeRegistry exchanges;
    private final ErrorBodies errors;

    ResponseWriter(ExchangeRegistry exchanges, ErrorBodies errors) {
        this.exchanges = exchanges;
        this.errors = errors;
    }

    /** Writes the response of an exchange when it is available; the renderer is used for replies of the core. */
    Mono<Void> write(Exchange exchange, HttpServerResponse response, Function<CallerReply, Rendered> renderer) {
        response.header(REQUEST_ID, exchange.id().toString());
        return exchange.response()
                .flatMap(callerResponse -> write(callerResponse, response, renderer))
                .doOnCancel(() -> exchanges.callerDisconnected(exchange));
    }

    Mono<Void> refuse(HttpServerResponse response, Refusal refusal) {
        response.header(VERDICT, refusal.verdict().headerValue());
        if (refusal.retryAfterMs() > 0) {
            long seconds = (refusal.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND;
            response.header(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
            response.header(RETRY_AFTER_MS, Long.toString(refusal.retryAfterMs()));
        }
        return send(response, refusal.code().httpStatus(), JSON, errors.body(refusal));
    }

    /** Writes a rendered response. */
    Mono<Void> send(HttpServerResponse response, Rendered rendered) {
        rendered.headers().forEach(response::header);
        return send(response, rendered.status(), rendered.contentType(), rendered.body());
    }

    private Mono<Void> write(
            CallerResponse callerResponse, HttpServerResponse response, Function<CallerReply, Rendered> renderer) {
        if (callerResponse instanceof CallerResponse.Streamed streamed) {
            return onConnectionThread(response, () -> response.sse()
                    .header(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
                    .sendByteArray(streamed.events())
                    .then());
        }
        if (callerResponse instanceof CallerResponse.Complete complete) {
            return send(response, complete.status(), complete.contentType(), complete.body());
        }
        CallerReply reply = ((CallerResponse.FromCore) callerResponse).reply();
        if (reply instanceof Refusal refusal) {
            return refuse(response, refusal);
        }
        if (reply instanceof OnlineRejected rejected) {
            response.header(VERDICT, rejected.verdict().headerValue());
            return send(response, rejected.status(), JSON, rejected.body().toByteArray());
        }
        return send(response, renderer.apply(reply));
    }

    private static Mono<Void> send(HttpServerResponse response, int status, String contentType, byte[] body) {
        return onConnectionThread(response, () -> response.status(status)
                .header(HttpHeaderNames.CONTENT_TYPE, contentType)
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
                .sendByteArray(Mono.just(body))
                .then());
    }

    private static Mono<Void> onConnectionThread(HttpServerResponse response, Supplier<Mono<Void>> write) {
        return Mono.defer(write).subscribeOn(ConnectionThread.of(response));
    }

    /** A reply rendered as an HTTP response. */
    record Rendered(int status, String contentType, byte[] body, Map<String, String> headers) {

        static Rendered json(JsonNode body) {
            return new Rendered(
                    HttpResponseStatus.OK.code(), JSON, body.toString().getBytes(StandardCharsets.UTF_8), Map.of());
        }

        static Rendered text(String contentType, String body) {
            return new Rendered(
                    HttpResponseStatus.OK.code(), contentType, body.getBytes(StandardCharsets.UTF_8), Map.of());
        }
    }
}
