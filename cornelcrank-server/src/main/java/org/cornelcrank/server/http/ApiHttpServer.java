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
 * Listens for callers and operators.
 *
 * <p>Thread-safe.
 */
public final class ApiHttpServer {

    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    private final List<RouteGroup> groups;
    private final RequestAuthenticator gatekeeper;
    private final ResponseWriter writer;
    private final Probes probes;

    /**
     * Creates a front end that does not listen yet.
     *
     * @param parts what it is built from
     * @param probes answers probes and scrapes
     */
    public ApiHttpServer(Parts parts, Probes probes) {
        this.gatekeeper = parts.gatekeeper();
        this.probes = probes;
        this.writer = new ResponseWriter(parts.exchanges(), parts.errors());
        RequestBodies bodies = new RequestBodies(parts.json(), parts.maxBodyBytes());
        ServiceDirectory services = new ServiceDirectory(parts.settings());
        CoreCommands commands = new CoreCommands(parts.exchanges());
        BatchViews batchViews = new BatchViews(parts.json());
        this.groups = List.of(
                new CompletionRoutes(parts.exchanges(), writer, bodies, services, parts.clock(), parts.json()),
                new PlainServiceRoutes(parts.exchanges(), writer, bodies, services, parts.clock()),
                new FileRoutes(commands, writer, batchViews, parts.json()),
                new BatchRoutes(commands, writer, bodies, batchViews),
                new AdminRoutes(parts.exchanges(), writer, bodies, new AdminViews(parts.json())));
    }

    /**
     * Starts to listen.
     *
     * @param address where; port 0 takes a free one
     * @param tls the certificate to show, empty for plain HTTP
     * @return the listening server
     */
    public DisposableServer bind(InetSocketAddress address, Optional<SslContext> tls) {
        HttpServer server = HttpServer.create()
                .bindAddress(() -> address)
                .idleTimeout(IDLE_TIMEOUT)
                .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
                .route(this::addRoutes);
        if (tls.isPresent()) {
            server = server.secure(spec -> spec.sslContext(tls.get()));
        }
        return server.bindNow();
    }

    private void addRoutes(HttpServerRoutes routes) {
        probes.addTo(routes);
        GuardedRoutes guarded = new GuardedRoutes(routes, gatekeeper, writer);
        groups.forEach(group -> group.addTo(guarded));
        routes.route(
                request -> true,
                (request, response) -> writer.refuse(
                        response,
                        Refusal.notRun(
                                RefusalCode.NOT_FOUND,
                                "nothing is served at " + request.method() + " " + request.uri())));
    }

    /** What a front end is built from. */
    public record Parts(
            ExchangeRegistry exchanges,
            ErrorBodies errors,
            RequestAuthenticator gatekeeper,
            Settings settings,
            CoreLoop loop,
            MonotonicClock clock,
            ObjectMapper json,
            int maxBodyBytes) {}
}
