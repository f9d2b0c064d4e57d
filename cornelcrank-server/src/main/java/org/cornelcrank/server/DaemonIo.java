package org.cornelcrank.server;

import javax.net.ssl.SSLException;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.daemon.DaemonAssembly;
import org.cornelcrank.daemon.DaemonOptions;
import org.cornelcrank.gateway.Drain;
import org.cornelcrank.server.exchange.ExchangeRegistry;
import org.cornelcrank.server.gateway.TargetProbeRunner;
import org.cornelcrank.server.http.ApiHttpServer;
import org.cornelcrank.server.http.ErrorBodies;
import org.cornelcrank.server.http.Probes;
import org.cornelcrank.server.http.RequestAuthenticator;
import org.cornelcrank.server.http.RequestGate;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.PeerCodecs;
import org.cornelcrank.server.peer.PeerIdentity;
import org.cornelcrank.server.peer.PeerSecurity;
import org.cornelcrank.server.peer.PeerTls;
import org.cornelcrank.server.peer.PeerTransport;
import org.cornelcrank.server.peer.SharedKey;
import org.cornelcrank.server.peer.SocketAddresses;
import org.cornelcrank.server.platform.HostListPoller;
import org.cornelcrank.server.platform.HttpLogClient;
import org.cornelcrank.server.settings.DaemonSettings;
import org.cornelcrank.server.target.TargetClient;
import org.cornelcrank.server.target.TargetWatcher;
import reactor.core.publisher.Mono;
import reactor.netty.tcp.TcpResources;

/**
 * Components of one daemon's I/O layer, built around its decision core.
 *
 * <p>No listener is open and nothing runs before the components are started. Immutable, thus thread-safe.
 */
record DaemonIo(
        DaemonSettings settings,
        InetSocketAddress peerAddress,
        DaemonIdentity identity,
        MonotonicClock clock,
        MetricRegistry metrics,
        ObjectMapper json,
        DaemonAssembly assembly,
        CoreLoop loop,
        ExchangeRegistry exchanges,
        ErrorBodies errors,
        TargetWatcher watcher,
        Optional<PeerTls> tls,
        Drain drain,
        RequestGate gate) {

    /** Creates the components. */
    static DaemonIo create(DaemonSettings settings, InetSocketAddress peerAddress) throws IOException {
        MonotonicClock clock = new MonotonicClock();
        MetricRegistry metrics = new MetricRegistry();
        ObjectMapper json = new ObjectMapper();
        DaemonIdentity identity = new DaemonIdentity(
                settings.host(), clock.nowMs(), settings.location(), SocketAddresses.format(peerAddress));
        DaemonAssembly assembly = DaemonAssembly.assemble(identity, options(settings, identity), metrics);
        CoreLoop loop = new CoreLoop(assembly.core(), clock, metrics);
        ErrorBodies errors = new ErrorBodies(json);
        ExchangeRegistry exchanges = new ExchangeRegistry(identity, loop, errors::event, metrics);
        TargetWatcher watcher = new TargetWatcher(Duration.ofMillis(settings.reportIntervalMs()), loop, json, metrics);
        loop.addRunner(exchanges);
        loop.addRunner(new TargetClient(loop, exchanges, json, settings.maxAnswerBytes(), metrics));
        loop.addRunner(new TargetProbeRunner(loop, TcpResources.get()));
        loop.addRunner(watcher);
        loop.addRunner(new HttpLogClient(settings.logUrl().toString(), loop, json, metrics));
        Drain drain = new Drain(settings.drainDelayMs(), settings.drainTimeoutMs());
        return new DaemonIo(
                settings,
                peerAddress,
                identity,
                clock,
                metrics,
                json,
                assembly,
                loop,
                exchanges,
                errors,
                watcher,
                tls(settings),
                drain,
                new RequestGate(drain, clock, settings.maxBodyBytes()));
    }

    PeerTransport newTransport() {
        PeerIdentity peer = new PeerIdentity(settings.deployment(), identity.host(), identity.incarnation());
        PeerSecurity security = new PeerSecurity(peer, new SharedKey(settings.sharedKey()), tls);
        MembershipView membership = assembly.membership();
        return new PeerTransport(
                security, new PeerCodecs(assembly.codecs()), membership::address, loop, clock, metrics);
    }

    ApiHttpServer newApiServer() {
        RequestAuthenticator authenticator = new RequestAuthenticator(assembly.settings(), loop, clock, bootstrapKey());
        ApiHttpServer.Dependencies parts = new ApiHttpServer.Dependencies(
                exchanges,
                errors,
                authenticator,
                gate,
                assembly.settings(),
                loop,
                clock,
                json,
                settings.maxBodyBytes());
        return new ApiHttpServer(parts, new Probes(this::readiness, metrics));
    }

    HostListPoller newHostListPoller() {
        return new HostListPoller(
                settings.hostsUrl().toString(), Duration.ofMillis(settings.hostsIntervalMs()), loop, json, metrics);
    }

    Optional<SslContext> serverTls() throws SSLException {
        if (settings.tls().isEmpty()) {
            return Optional.empty();
        }
        DaemonSettings.TlsFiles files = settings.tls().get();
        return Optional.of(SslContextBuilder.forServer(files.certificates(), files.privateKey())
                .build());
    }

    private Mono<Probes.Readiness> readiness() {
        if (gate.stopping()) {
            return Mono.just(new Probes.Readiness(false, "leaving"));
        }
        return loop.query(() -> assembly.settings().ready()
                ? new Probes.Readiness(true, "ready")
                : new Probes.Readiness(false, "the settings have not been loaded yet"));
    }

    private Optional<RequestAuthenticator.BootstrapKey> bootstrapKey() {
        return settings.operatorKey()
                .map(key -> key.split("\\.", 2))
                .map(parts -> new RequestAuthenticator.BootstrapKey(parts[0], parts[1]));
    }

    private static DaemonOptions options(DaemonSettings settings, DaemonIdentity identity) {
        long seed = settings.seed() == 0 ? identity.incarnation() : settings.seed();
        return new DaemonOptions(
                settings.seeds(), settings.regions(), settings.partitionsPerRegion(), settings.policy(), seed);
    }

    private static Optional<PeerTls> tls(DaemonSettings settings) throws SSLException {
        if (settings.tls().isEmpty()) {
            return Optional.empty();
        }
        DaemonSettings.TlsFiles files = settings.tls().get();
        return Optional.of(new PeerTls(files.certificates(), files.privateKey(), files.authority()));
    }
}
