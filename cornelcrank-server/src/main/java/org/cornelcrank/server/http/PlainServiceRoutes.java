package org.cornelcrank.server.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.cornelcrank.call.CallRequest;
import org.cornelcrank.call.CallResponse;
import org.cornelcrank.config.ServiceKind;
import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.routing.OnlineRequest;
import org.cornelcrank.routing.RequestOptions;
import org.cornelcrank.server.exchange.Exchange;
import org.cornelcrank.server.exchange.ExchangeRegistry;
import org.cornelcrank.server.exchange.OutgoingRequest;
import org.cornelcrank.server.loop.MonotonicClock;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Routes for plain services, each under its own path prefix.
 *
 * <p>A request is repeated only if the settings declare its route as repeatable. Thread-safe.
 */
final class PlainServiceRoutes implements RouteGroup {

    private static final String PREFIX = "/s/";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String REPLAYED = "Cornelcrank-Replayed";

    private final ExchangeRegistry exchanges;
    private final ResponseWriter writer;
    private final RequestBodies bodies;
    private final ServiceDirectory services;
    private final RequestGate requests;
    private final MonotonicClock clock;

    PlainServiceRoutes(
            ExchangeRegistry exchanges,
            ResponseWriter writer,
            RequestBodies bodies,
            ServiceDirectory services,
            RequestGate requests,
            MonotonicClock clock) {
        this.exchanges = exchanges;
        this.writer = writer;
        this.bodies = bodies;
        this.services = services;
        this.requests = requests;
        this.clock = clock;
    }

    @Override
    public void addTo(GuardedRoutes routes) {
        routes.onPrefix(PREFIX, Caller.Scope.CALLER, this::forward);
    }

    private Mono<Void> forward(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        ServiceName service = services.requireAllowed(authenticated, serviceName(request));
        ServicePolicy policy = services.require(service, ServiceKind.PLAIN);
        return bodies.read(request).flatMap(body -> forward(authenticated, request, response, policy, body));
    }

    private static String serviceName(HttpServerRequest request) {
        return request.uri().substring(PREFIX.length()).split("[/?]", 2)[0];
    }

    private Mono<Void> forward(
            AuthenticatedCaller authenticated,
            HttpServerRequest request,
            HttpServerResponse response,
            ServicePolicy policy,
            byte[] body) {
        requests.requireAccepted(Deadlines.deadlineAtMs(request, authenticated.requirePolicy(), clock.nowMs()));
        String uri = request.uri();
        String pathAndQuery =
                uri.substring(PREFIX.length() + policy.service().value().length());
        String path = pathAndQuery.isEmpty() || pathAndQuery.startsWith("?") ? "/" + pathAndQuery : pathAndQuery;
        String method = request.method().name();
        String contentType = request.requestHeaders().get(HttpHeaderNames.CONTENT_TYPE, "");
        boolean repeatable =
                policy.repeatableRoutes().stream().anyMatch(route -> route.matches(method, path.split("\\?", 2)[0]));
        OutgoingRequest outgoing = new OutgoingRequest(method, path, contentType, body, false, List.of());
        Exchange exchange = repeatable
                ? exchanges.open(
                        authenticated.caller(), online(authenticated, request, policy, body), Optional.of(outgoing))
                : exchanges.open(
                        authenticated.caller(), call(authenticated, request, policy, outgoing), Optional.empty());
        return writer.write(exchange, response, PlainServiceRoutes::render);
    }

    private OnlineRequest online(
            AuthenticatedCaller authenticated, HttpServerRequest request, ServicePolicy service, byte[] body) {
        TeamPolicy policy = authenticated.requirePolicy();
        return new OnlineRequest(
                authenticated.workload(),
                service.service(),
                policy.urgency(),
                Deadlines.deadlineAtMs(request, policy, clock.nowMs()),
                true,
                false,
                List.of(),
                List.of(),
                StableHash.of(request.uri(), Long.toHexString(StableHash.of(body))),
                0,
                false,
                RequestOptions.DEFAULTS);
    }

    private CallRequest call(
            AuthenticatedCaller authenticated,
            HttpServerRequest request,
            ServicePolicy service,
            OutgoingRequest outgoing) {
        TeamPolicy policy = authenticated.requirePolicy();
        return new CallRequest(
                authenticated.workload(),
                service.service(),
                outgoing.method(),
                outgoing.path(),
                outgoing.contentType(),
                ByteString.copyFrom(outgoing.body()),
                Optional.ofNullable(request.requestHeaders().get(IDEMPOTENCY_KEY)),
                Deadlines.deadlineAtMs(request, policy, clock.nowMs()),
                policy.urgency());
    }

    private static ResponseWriter.Rendered render(CallerReply reply) {
        CallResponse response = (CallResponse) reply;
        Map<String, String> headers =
                Map.of(IDEMPOTENCY_KEY, response.idempotencyKey(), REPLAYED, Boolean.toString(response.replayed()));
        return new ResponseWriter.Rendered(
                response.status(), response.contentType(), response.body().toByteArray(), headers);
    }
}
