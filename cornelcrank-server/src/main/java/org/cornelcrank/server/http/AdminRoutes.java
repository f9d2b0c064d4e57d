package org.cornelcrank.server.http;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import org.cornelcrank.config.ChangeSetting;
import org.cornelcrank.config.ListSettings;
import org.cornelcrank.config.ReadSetting;
import org.cornelcrank.config.WatchSettings;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.Subject;
import org.cornelcrank.daemon.DumpState;
import org.cornelcrank.daemon.ExplainSubject;
import org.cornelcrank.routing.LiftQuarantine;
import org.cornelcrank.routing.ListQuarantine;
import org.cornelcrank.server.exchange.ExchangeRegistry;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Routes for operators: settings, state dumps, explanations and quarantine.
 *
 * <p>Thread-safe.
 */
final class AdminRoutes implements RouteGroup {

    private static final long MAX_WATCH_MS = 60_000;
    private static final int HEX_RADIX = 16;

    private final ExchangeRegistry exchanges;
    private final ResponseWriter writer;
    private final RequestBodies bodies;
    private final AdminViews views;

    AdminRoutes(ExchangeRegistry exchanges, ResponseWriter writer, RequestBodies bodies, AdminViews views) {
        this.exchanges = exchanges;
        this.writer = writer;
        this.bodies = bodies;
        this.views = views;
    }

    @Override
    public void addTo(GuardedRoutes routes) {
        routes.on(HttpMethod.GET, "/admin/config", Caller.Scope.OPERATOR, this::list);
        routes.on(HttpMethod.GET, "/admin/config/watch", Caller.Scope.OPERATOR, this::watch);
        routes.on(HttpMethod.GET, "/admin/config/value", Caller.Scope.OPERATOR, this::read);
        routes.on(HttpMethod.PUT, "/admin/config/value", Caller.Scope.OPERATOR, this::set);
        routes.on(HttpMethod.DELETE, "/admin/config/value", Caller.Scope.OPERATOR, this::delete);
        routes.on(HttpMethod.GET, "/admin/dump", Caller.Scope.OPERATOR, this::dump);
        routes.on(HttpMethod.GET, "/admin/explain", Caller.Scope.OPERATOR, this::explain);
        routes.on(HttpMethod.GET, "/admin/quarantine", Caller.Scope.OPERATOR, this::quarantine);
        routes.on(HttpMethod.DELETE, "/admin/quarantine", Caller.Scope.OPERATOR, this::lift);
    }

    private Mono<Void> list(AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        String prefix = new QueryParameters(request).text("prefix").orElse("/");
        return run(authenticated, response, new ListSettings(prefix), views::settings);
    }

    private Mono<Void> watch(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        QueryParameters query = new QueryParameters(request);
        WatchSettings command = new WatchSettings(
                query.text("prefix").orElse("/"),
                query.number("from", 0, 0, Long.MAX_VALUE),
                query.number("wait-ms", 0, 0, MAX_WATCH_MS));
        return run(authenticated, response, command, views::settings);
    }

    private Mono<Void> read(AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        String path = new QueryParameters(request).requireText("path");
        return run(authenticated, response, new ReadSetting(path), views::setting);
    }

    private Mono<Void> set(AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        String path = new QueryParameters(request).requireText("path");
        return bodies.read(request).flatMap(body -> {
            JsonNode change = bodies.parseObject(body);
            if (!change.path("value").isTextual()) {
                throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, "'value' must be a string");
            }
            Optional<Long> expected = change.hasNonNull("expectVersion")
                    ? Optional.of(change.get("expectVersion").asLong())
                    : Optional.empty();
            Optional<String> value = Optional.of(change.get("value").asText());
            return run(authenticated, response, new ChangeSetting(path, expected, value), views::change);
        });
    }

    private Mono<Void> delete(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        QueryParameters query = new QueryParameters(request);
        long expected = query.number("expect-version", -1, 0, Long.MAX_VALUE);
        ChangeSetting command = new ChangeSetting(
                query.requireText("path"), expected < 0 ? Optional.empty() : Optional.of(expected), Optional.empty());
        return run(authenticated, response, command, views::change);
    }

    private Mono<Void> dump(AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        QueryParameters query = new QueryParameters(request);
        boolean asJson = query.text("format").orElse("json").equals("json");
        DumpState command = new DumpState(
                query.text("host").map(host -> requireValid(() -> new HostId(host))), query.text("section"));
        return run(authenticated, response, command, reply -> views.dump(reply, asJson));
    }

    private Mono<Void> explain(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        QueryParameters query = new QueryParameters(request);
        String kind = query.requireText("kind");
        Subject subject = requireValid(
                () -> new Subject(Subject.Kind.valueOf(kind.toUpperCase(Locale.ROOT)), query.requireText("id")));
        return run(authenticated, response, new ExplainSubject(subject), views::explanation);
    }

    private Mono<Void> quarantine(
            AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        return run(authenticated, response, new ListQuarantine(), views::quarantine);
    }

    private Mono<Void> lift(AuthenticatedCaller authenticated, HttpServerRequest request, HttpServerResponse response) {
        String text = new QueryParameters(request).requireText("fingerprint");
        long fingerprint = requireValid(() -> Long.parseUnsignedLong(text, HEX_RADIX));
        return run(authenticated, response, new LiftQuarantine(fingerprint), views::quarantine);
    }

    private Mono<Void> run(
            AuthenticatedCaller authenticated,
            HttpServerResponse response,
            CallerCommand command,
            Function<CallerReply, ResponseWriter.Rendered> renderer) {
        return writer.write(exchanges.open(authenticated.caller(), command, Optional.empty()), response, renderer);
    }

    private static <T> T requireValid(Supplier<T> parsed) {
        try {
            return parsed.get();
        } catch (IllegalArgumentException e) {
            throw RefusedException.notRun(RefusalCode.INVALID_REQUEST, e.getMessage());
        }
    }
}
