package org.cornelcrank.server.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.ssl.SslContext;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.server.exchange.ExchangeRegistry;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * HTTP server for callers and operators.
 *
 * <p>Thread-safe.
 */
public final class ApiHttpServer {

    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    private final List<RouteGroup> groups;
    private final RequestAuthenticator authenticator;
    private final ResponseWriter writer;
    private final Probes probes;
    private final RequestGate gate;

    /**
     * Creates a server without opening its listener.
     *
     * @param dependencies the dependencies of the server
     * @param probes handles probes and metric scrapes
     */
    public ApiHttpServer(Dependencies dependencies, Probes probes) {
        this.authenticator = dependencies.authenticator();
        this.gate = dependencies.gate();
        this.probes = probes;
        this.writer = new ResponseWriter(dependencies.exchanges(), dependencies.errors());
        RequestBodies bodies = new RequestBodies(dependencies.json(), gate, dependencies.maxBodyBytes());
        ServiceDirectory services = new ServiceDirectory(dependencies.settings());
        CoreCommands commands = new CoreCommands(dependencies.exchanges());
        BatchViews batchViews = new BatchViews(dependencies.json());
        this.groups = List.of(
                new CompletionRoutes(
                        dependencies.exchanges(),
                        writer,
                        bodies,
                        services,
                        gate,
                        dependencies.clock(),
                        dependencies.json()),
                new PlainServiceRoutes(dependencies.exchanges(), writer, bodies, services, gate, dependencies.clock()),
                new FileRoutes(commands, writer, batchViews, dependencies.json()),
                new BatchRoutes(commands, writer, bodies, batchViews),
                new AdminRoutes(dependencies.exchanges(), writer, bodies, new AdminViews(dependencies.json())));
    }

    /**
     * Opens the listener.
     *
     * @param address the address to listen at; port 0 selects a free port
     * @param tls the TLS configuration, empty for plain HTTP
     * @return the listening server
     */
    public DisposableServer bind(InetSocketAddress address, Optional<SslContext> tls) {
        ConnectionCloseHandler closeHandler = new ConnectionCloseHandler(gate);
        HttpServer server = HttpServer.create()
                .bindAddress(() -> address)
                .idleTimeout(IDLE_TIMEOUT)
                .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
                .doOnChannelInit((observer, channel, remoteAddress) -> closeHandler.addTo(channel))
                .route(this::addRoutes);
        if (tls.isPresent()) {
            server = server.secure(spec -> spec.sslContext(tls.get()));
        }
        return server.bindNow();
    }

    private void addRoutes(HttpServerRoutes routes) {
        probes.addTo(routes);
        GuardedRoutes guarded = new GuardedRoutes(routes, authenticator, writer, gate);
        groups.forEach(group -> group.addTo(guarded));
        routes.route(
                request -> true,
                (request, response) -> writer.refuse(
                        response,
                        Refusal.notRun(
                                RefusalCode.NOT_FOUND,
                                "no resource is served at " + request.method() + " " + request.uri())));
    }

    /** The dependencies of the server. */
    public record Dependencies(
            ExchangeRegistry exchanges,
            ErrorBodies errors,
            RequestAuthenticator authenticator,
            RequestGate gate,
            Settings settings,
            CoreLoop loop,
            MonotonicClock clock,
            ObjectMapper json,
            int maxBodyBytes) {}
}
