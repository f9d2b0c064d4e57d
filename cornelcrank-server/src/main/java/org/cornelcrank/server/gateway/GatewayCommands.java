package org.cornelcrank.server.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Submits commands that the core itself replies to, and returns its replies.
 *
 * <p>Not thread-safe: confined to the event loop.
 */
final class GatewayCommands implements EffectRunner {

    private final Map<RequestId, Pending> open = new HashMap<>();
    private final GatewayCalls calls;
    private final OpenRequests openRequests;
    private final CoreLoop loop;

    GatewayCommands(GatewayCalls calls, OpenRequests openRequests, CoreLoop loop) {
        this.openRequests = Objects.requireNonNull(openRequests, "openRequests must not be null");
        this.calls = Objects.requireNonNull(calls, "calls must not be null");
        this.loop = Objects.requireNonNull(loop, "loop must not be null");
    }

    /** Submits a command on behalf of a team; the core is notified if the caller disconnects before the reply. */
    Mono<CallerReply> submit(TeamPath team, Caller.Scope scope, CallerCommand command) {
        return Mono.defer(() -> {
            RequestId id = calls.nextId();
            Sinks.One<CallerReply> reply = Sinks.one();
            open.put(id, new Pending(reply, scope));
            if (scope == Caller.Scope.CALLER) {
                openRequests.accept();
            }
            loop.post(new Event.CommandReceived(id, new Caller(team, id.toString(), scope), command));
            return reply.asMono().doOnCancel(() -> callerDisconnected(id));
        });
    }

    private void callerDisconnected(RequestId id) {
        if (remove(id) != null) {
            loop.post(new Event.CallerDisconnected(id));
        }
    }

    @Override
    public boolean run(Effect effect) {
        if (!(effect instanceof Effect.Reply reply)) {
            return false;
        }
        Pending pending = remove(reply.request());
        if (pending != null) {
            pending.reply().tryEmitValue(reply.reply());
        }
        return pending != null;
    }

    private Pending remove(RequestId id) {
        Pending pending = open.remove(id);
        if (pending != null && pending.scope() == Caller.Scope.CALLER) {
            openRequests.end();
        }
        return pending;
    }

    /** A command without a reply; those of operators do not count as requests. */
    private record Pending(Sinks.One<CallerReply> reply, Caller.Scope scope) {}
}
