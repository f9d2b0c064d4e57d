package org.cornelcrank.server.gateway;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.gateway.http.GatewayDialect;
import org.cornelcrank.job.JobDialect;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.settings.GatewaySettings;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/**
 * The parts of the gateway's edge, joined: listeners, open calls and the client of targets.
 *
 * <p>Nothing listens before {@link #bind}. Not thread-safe but for binding and closing.
 */
public final class GatewayEdge {

    private final GatewaySettings settings;
    private final LoopResources loops;
    private final GatewayCalls calls;
    private final GatewayTargetClient targets;
    private final JobFront jobs;
    private final GatewayFront front;
    private DisposableServer callers;
    private DisposableServer readiness;

    /** Builds the parts around the loop of the decision core. */
    public GatewayEdge(
            GatewaySettings settings,
            DaemonIdentity identity,
            CoreLoop loop,
            MonotonicClock clock,
            GatewayDialect dialect,
            JobDialect jobDialect,
            RouteTableSettings routes,
            LoopResources loops,
            AtomicBoolean stopping,
            MetricRegistry metrics) {
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.loops = Objects.requireNonNull(loops, "loops must not be null");
        this.calls = new GatewayCalls(identity, loop, metrics);
        this.targets = new GatewayTargetClient(loop, calls, dialect, loops, metrics);
        this.jobs = new JobFront(calls, loop, clock, jobDialect, dialect);
        this.front = new GatewayFront(calls, dialect, routes, clock, jobs, stopping, metrics);
    }

    /** Adds the runners of the effects that the edge carries out. */
    public void addRunners(CoreLoop loop) {
        loop.addRunner(calls);
        loop.addRunner(jobs);
        loop.addRunner(targets);
    }

    /** Starts to listen. */
    public void bind() {
        callers = front.bind(settings.frontAddress(), loops);
        readiness = front.bindReadiness(settings.readinessAddress(), loops);
    }

    /** Returns how many callers wait for their answers. */
    public int openCalls() {
        return calls.all().size() + jobs.size();
    }

    /** Closes the listeners and all connections. */
    public void close() {
        callers.disposeNow();
        readiness.disposeNow();
    }
}
