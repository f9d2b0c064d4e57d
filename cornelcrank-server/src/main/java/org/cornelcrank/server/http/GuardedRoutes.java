package org.cornelcrank.server.http;

import io.netty.handler.codec.http.HttpMethod;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.Verdict;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Registers routes that require authentication, and writes refusals as responses.
 *
 * <p>Not thread-safe: used while the server is set up.
 */
final class GuardedRoutes {

    private static final Logger LOGGER = LoggerFactory.getLogger(GuardedRoutes.class);

    private final HttpServerRoutes routes;
    private final RequestAuthenticator authenticator;
    private final ResponseWriter writer;
    private final RequestGate gate;

    GuardedRoutes(
            HttpServerRoutes routes, RequestAuthenticator authenticator, ResponseWriter writer, RequestGate gate) {
        this.routes = routes;
        this.authenticator = authenticator;
        this.writer = writer;
        this.gate = gate;
    }

    /** Adds a route for a method and a path, in which a name in braces matches any segment. */
    void on(HttpMethod method, String path, Caller.Scope scope, Handler handler) {
        switch (method.name()) {
            case "GET" -> routes.get(path, (request, response) -> handle(request, response, scope, handler));
            case "POST" -> routes.post(path, (request, response) -> handle(request, response, scope, handler));
            case "PUT" -> routes.put(path, (request, response) -> handle(request, response, scope, handler));
            case "DELETE" -> routes.delete(path, (request, response) -> handle(request, response, scope, handler));
            default -> throw new IllegalArgumentException("method must be GET, POST, PUT or DELETE but was " + method);
        }
    }

    /** Adds a route for every method and every path that starts with a prefix. */
    void onPrefix(String prefix, Caller.Scope scope, Handler handler) {
        routes.route(
                request -> request.uri().startsWith(prefix),
                (request, response) -> handle(request, response, scope, handler));
    }

    private Mono<Void> handle(
            HttpServerRequest request, HttpServerResponse response, Caller.Scope scope, Handler handler) {
        return gate.admit(
                request,
                receivedAtMs -> authenticateAndHandle(request, response, scope, handler),
                refusal -> turnAway(request, response, refusal));
    }

    private Mono<Void> turnAway(HttpServerRequest request, HttpServerResponse response, Refusal refusal) {
        LOGGER.atInfo()
                .addKeyValue("method", request.method())
                .addKeyValue("path", request.path())
                .addKeyValue("outcome", refusal)
                .log("request turned away");
        return writer.refuse(response, refusal);
    }

    private Mono<Void> authenticateAndHandle(
            HttpServerRequest request, HttpServerResponse response, Caller.Scope scope, Handler handler) {
        return authenticator
                .authenticate(request, scope)
                .flatMap(authenticated -> handler.handle(authenticated, request, response))
                .onErrorResume(RefusedException.class, refused -> writer.refuse(response, refused.refusal()))
                .onErrorResume(error -> onError(request, response, error));
    }

    private Mono<Void> onError(HttpServerRequest request, HttpServerResponse response, Throwable error) {
        if (error instanceof AbortedException) {
            return Mono.empty();
        }
        LOGGER.warn("Request {} {} failed", request.method(), request.path(), error);
        Refusal refusal =
                new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED, "internal error of the daemon", 0);
        // The error closes the connection, so that a response which has begun does not look complete.
        return response.hasSentHeaders() ? Mono.error(error) : writer.refuse(response, refusal);
    }

    /** Handles a request of an authenticated caller. */
    @FunctionalInterface
    interface Handler {
        Mono<Void> handle(AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response);
    }
}
