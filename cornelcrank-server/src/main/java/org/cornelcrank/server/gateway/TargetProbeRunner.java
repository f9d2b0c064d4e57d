package org.cornelcrank.server.gateway;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import org.cornelcrank.server.peer.SocketAddresses;
import reactor.netty.resources.LoopResources;

/**
 * Checks whether this daemon can connect to targets.
 *
 * <p>Invariant: every {@link Effect.ProbeTarget} results in exactly one {@link Event.TargetProbed}. Thread-safe.
 */
public final class TargetProbeRunner implements EffectRunner {

    private final CoreLoop loop;
    private final TargetProbe probe;

    /**
     * Creates a runner.
     *
     * @param loop receives the events
     * @param loops provides the event loop of the connections
     */
    public TargetProbeRunner(CoreLoop loop, LoopResources loops) {
        this.loop = Objects.requireNonNull(loop, "loop must not be null");
        this.probe = new TargetProbe(loops, loop.scheduler());
    }

    @Override
    public boolean run(Effect effect) {
        if (!(effect instanceof Effect.ProbeTarget request)) {
            return false;
        }
        InetSocketAddress address;
        try {
            address = SocketAddresses.parse(request.address());
        } catch (IllegalArgumentException e) {
            loop.post(new Event.TargetProbed(request.target(), request.address(), false));
            return true;
        }
        probe.canConnect(address)
                .subscribe(
                        reachable -> loop.post(new Event.TargetProbed(request.target(), request.address(), reachable)));
        return true;
    }
}
