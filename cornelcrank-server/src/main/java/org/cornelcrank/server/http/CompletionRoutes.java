package org.cornelcrank.server.http;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import org.cornelcrank.config.ServiceKind;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.RefusalCode;
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
 * Routes for inference and the list of models.
 *
 * <p>Thread-safe.
 */
final class CompletionRoutes implements RouteGroup {

    private static final String MODEL_KIND = "model";

    private final ExchangeRegistry exchanges;
    private final ResponseWriter writer;
    private final RequestBodies bodies;
    private final ServiceDirectory services;
    private final RequestGate requests;
    private final MonotonicClock clock;
    private final ObjectMapper json;

    CompletionRoutes(
            ExchangeRegistry exchanges,
            ResponseWriter writer,
            RequestBodies bodies,
            ServiceDirectory services,
            RequestGate requests,
            MonotonicClock clock,
            ObjectMapper json) {
        this.exchanges = exchanges;
        this.writer = writer;
        this.bodies = bodies;
        this.services = services;
        this.requests = requests;
        this.clock = clock;
        this.json = json;
    }

    @Override
    public void addTo(GuardedRoutes routes) {
        routes.on(HttpMethod.GET, "/v1/models", Caller.Scope.CALLER, this::models);
        routes.on(HttpMethod.POST, "/v1/chat/completions", Caller.Scope.CALLER, this::complete);
        routes.on(HttpMethod.POST, "/v1/completions", Caller.Scope.CALLER, this::complete);
    }

    private Mono<Void> models(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        ObjectNode list = json.createObjectNode().put("object", "list");
        ArrayNode data = list.putArray("data");
        authenticated.requirePolicy().services().stream().sorted().forEach(service -> data.addObject()
                .put("id", service.value())
                .put("object", MODEL_KIND)
                .put("created", 0)
                .put("owned_by", authenticated.caller().team().team()));
        return writer.send(response, ResponseWriter.Rendered.json(list));
    }

    private Mono<Void> complete(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        return bodies.read(request).flatMap(body -> {
            JsonNode parsedBody = bodies.parseObject(body);
            ServiceName model = services.requireAllowed(authenticated, text(parsedBody, "model"));
            services.require(model, ServiceKind.MODEL);
            return complete(authenticated, request, response, body, parsedBody, model);
        });
    }

    private Mono<Void> complete(
            AuthenticatedCaller authenticated,
            HttpServerRequest request,
            HttpServerResponse response,
            byte[] body,
            JsonNode parsedBody,
            ServiceName model) {
        requirePrompt(request, parsedBody);
        TeamPolicy policy = authenticated.requirePolicy();
        boolean streaming = parsedBody.path("stream").asBoolean(false);
        List<Long> prefixHashes = PromptPrefixes.of(parsedBody);
        OnlineRequest command = new OnlineRequest(
                authenticated.workload(),
                model,
                policy.urgency(),
                Deadlines.deadlineAtMs(request, policy, clock.nowMs()),
                true,
                streaming,
                prefixHashes,
                List.of(),
                StableHash.of(body),
                Math.max(0, parsedBody.path("max_tokens").asInt(0)),
                streaming,
                RequestOptions.DEFAULTS);
        requests.requireAccepted(command.deadlineAtMs());
        OutgoingRequest outgoing =
                new OutgoingRequest("POST", "/" + request.path(), "application/json", body, streaming, prefixHashes);
        Exchange exchange = exchanges.open(authenticated.caller(), command, Optional.of(outgoing));
        return writer.write(exchange, response, reply -> {
            throw new IllegalStateException("expected a held response for " + exchange.id());
        });
    }

    private static void requirePrompt(HttpServerRequest request, JsonNode parsedBody) {
        if (request.path().endsWith("chat/completions")) {
            JsonNode messages = parsedBody.path("messages");
            if (!messages.isArray() || messages.isEmpty()) {
                throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "'messages' must be a non-empty array");
            }
        } else if (!parsedBody.path("prompt").isTextual()) {
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "'prompt' must be a string");
        }
    }

    private static String text(JsonNode body, String field) {
        JsonNode value = body.path(field);
        if (!value.isTextual()) {
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "'" + field + "' must be a string");
        }
        return value.asText();
    }
}
