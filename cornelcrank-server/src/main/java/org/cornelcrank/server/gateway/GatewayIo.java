package org.cornelcrank.server.gateway;

import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.gateway.http.GatewayDialect;
import org.cornelcrank.job.JobDialect;
import org.cornelcrank.server.http.Probes;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.settings.GatewaySettings;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/**
 * The parts of the gateway's edge, joined: listeners, open calls and the client of targets.
 *
 * <p>Nothing listens before {@link #bind}. Not thread-safe but for binding and closing.
 */
public final class GatewayIo {

    private final GatewaySettings settings;
    private final LoopResources loops;
    private final GatewayCalls calls;
    private final GatewayTargetClient targets;
    private final GatewayCommands questions;
    private final GatewayMonitor monitor;
    private final GatewayHttpServer front;
    private DisposableServer callers;
    private DisposableServer readiness;
    private DisposableServer metrics;

    /** Builds the parts around the loop of the decision core. */
    public GatewayIo(Dependencies around) {
        this.settings = around.settings();
        this.loops = around.loops();
        this.calls = new GatewayCalls(around.identity(), around.loop(), around.clock(), around.metrics());
        this.targets = new GatewayTargetClient(
                around.loop(), calls, around.dialect(), around.clock(), loops, around.metrics());
        this.questions = new GatewayCommands(calls, around.loop());
        JobHttpHandler jobs = new JobHttpHandler(questions, around.clock(), around.jobDialect(), around.dialect());
        this.monitor = new GatewayMonitor(new Probes(() -> Mono.just(readiness(around)), around.metrics()), questions);
        this.front = new GatewayHttpServer(
                calls,
                around.dialect(),
                new ReadinessGate(around.routes(), around.loop().scheduler()),
                around.clock(),
                jobs,
                around.stopping(),
                around.metrics());
    }

    private static Probes.Readiness readiness(Dependencies around) {
        if (around.stopping().get()) {
            return new Probes.Readiness(false, "leaving");
        }
        return around.routes().ready()
                ? new Probes.Readiness(true, "ready")
                : new Probes.Readiness(false, "no routes are known yet");
    }

    /** Adds the runners of the effects that the edge carries out. */
    public void addRunners(CoreLoop loop) {
        loop.addRunner(calls);
        loop.addRunner(questions);
        loop.addRunner(targets);
    }

    /** Starts to listen. */
    public void bind() {
        callers = front.bind(settings.httpAddress(), loops);
        readiness = front.bindReadiness(settings.readinessAddress(), loops);
        settings.metricsAddress().ifPresent(address -> metrics = monitor.bind(address, loops));
    }

    /** Returns how many callers wait for their answers. */
    public int openCalls() {
        return calls.all().size() + questions.size();
    }

    /** Closes the listeners and all connections. */
    public void close() {
        callers.disposeNow();
        readiness.disposeNow();
        if (metrics != null) {
            metrics.disposeNow();
        }
    }

    /** What the edge is built around. */
    public record Dependencies(
            GatewaySettings settings,
            DaemonIdentity identity,
            CoreLoop loop,
            MonotonicClock clock,
            GatewayDialect dialect,
            JobDialect jobDialect,
            RouteTableSettings routes,
            LoopResources loops,
            AtomicBoolean stopping,
            MetricRegistry metrics) {}
}
