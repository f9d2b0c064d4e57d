package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.daemon.DumpState;
import org.cornelcrank.daemon.DumpText;
import org.cornelcrank.daemon.StateDump;
import org.cornelcrank.server.http.Probes;
import org.cornelcrank.server.http.RequestGate;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * HTTP server that shows operators the metrics and the state of this daemon, at an address that callers cannot reach.
 *
 * <p>Not thread-safe: confined to the event loop.
 */
final class GatewayMonitor {

    private static final String SECTION = "gateway";
    private static final TeamPath OPERATORS = new TeamPath("/operators");

    private final Probes probes;
    private final GatewayCommands commands;
    private final OpenRequests openRequests;
    private final RequestGate requests;

    GatewayMonitor(Probes probes, GatewayCommands commands, OpenRequests openRequests, RequestGate requests) {
        this.probes = Objects.requireNonNull(probes, "probes must not be null");
        this.commands = Objects.requireNonNull(commands, "commands must not be null");
        this.openRequests = Objects.requireNonNull(openRequests, "openRequests must not be null");
        this.requests = Objects.requireNonNull(requests, "requests must not be null");
    }

    /** Opens the listener. */
    DisposableServer bind(InetSocketAddress address, LoopResources loops) {
        return HttpServer.create()
                .bindAddress(() -> address)
                .runOn(loops, false)
                .route(routes -> {
                    probes.addTo(routes);
                    routes.get("/dump", this::dump);
                })
                .bindNow();
    }

    private Publisher<Void> dump(HttpServerRequest request, HttpServerResponse response) {
        return commands.submit(OPERATORS, Caller.Scope.OPERATOR, new DumpState(Optional.empty(), Optional.empty()))
                .flatMap(reply -> response.header(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                        .sendString(Mono.just(
                                reply instanceof StateDump dump
                                        ? DumpText.render(withRequests(dump))
                                        : reply.toString()))
                        .then());
    }

    private StateDump withRequests(StateDump dump) {
        List<StateDump.Field> fields = List.of(
                field("acceptedRequests", openRequests.accepted()),
                field("endedRequests", openRequests.ended()),
                field("openRequests", openRequests.open()),
                field("unfinishedResponses", requests.openRequests()));
        List<StateDump.Section> sections = new ArrayList<>();
        sections.add(new StateDump.Section(SECTION, fields, List.of()));
        sections.addAll(dump.sections());
        return new StateDump(dump.host(), dump.atMs(), sections);
    }

    private static StateDump.Field field(String name, long value) {
        return new StateDump.Field(name, Long.toString(value));
    }
}
