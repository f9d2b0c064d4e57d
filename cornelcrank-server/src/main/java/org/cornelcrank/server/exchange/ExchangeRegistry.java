package org.cornelcrank.server.exchange;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.OnlineEnded;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;

/**
 * Tracks the open exchanges and completes them with the core's replies.
 *
 * <p>Invariant: an exchange is tracked until it is replied to or its caller disconnects. Thread-safe.
 */
public final class ExchangeRegistry implements EffectRunner {

    /** What a caller whose stream has started is told of a target's rejection, which answers another request. */
    private static final Refusal REJECTED_WITHIN_STREAM = new Refusal(
            Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED, "the target rejected the rest of the stream", 0);

    private final Map<RequestId, Exchange> open = new ConcurrentHashMap<>();
    private final AtomicLong lastNumber = new AtomicLong();
    private final DaemonIdentity identity;
    private final CoreLoop loop;
    private final Function<Refusal, byte[]> errorEvent;

    /**
     * Creates an empty registry.
     *
     * @param identity identifies this daemon in request ids
     * @param loop receives callers' commands
     * @param errorEvent renders a refusal as an event, for a stream that has started
     * @param metrics receives the gauge of open exchanges
     */
    public ExchangeRegistry(
            DaemonIdentity identity, CoreLoop loop, Function<Refusal, byte[]> errorEvent, MetricRegistry metrics) {
        this.identity = Objects.requireNonNull(identity, "identity must not be null");
        this.loop = Objects.requireNonNull(loop, "loop must not be null");
        this.errorEvent = Objects.requireNonNull(errorEvent, "errorEvent must not be null");
        metrics.registerGauge("exchanges.open", open::size);
    }

    /**
     * Opens an exchange and passes its command to the core.
     *
     * @param caller the authenticated caller
     * @param command the caller's command
     * @param outgoing the request to a target, empty if the core itself replies
     * @return the exchange
     */
    public Exchange open(Caller caller, CallerCommand command, Optional<OutgoingRequest> outgoing) {
        RequestId id = new RequestId(identity.host(), identity.incarnation(), lastNumber.incrementAndGet());
        Exchange exchange = new Exchange(id, outgoing);
        open.put(id, exchange);
        loop.post(new Event.CommandReceived(id, caller, command));
        return exchange;
    }

    /**
     * Returns an open exchange.
     *
     * @param id the id of its request
     * @return the exchange, or empty if it has ended
     */
    public Optional<Exchange> find(RequestId id) {
        return Optional.ofNullable(open.get(id));
    }

    /**
     * Notifies the core that the caller disconnected; does nothing if the exchange has ended.
     *
     * @param exchange the caller's exchange
     */
    public void callerDisconnected(Exchange exchange) {
        if (open.remove(exchange.id()) != null) {
            loop.post(new Event.CallerDisconnected(exchange.id()));
        }
    }

    /** Ends all open exchanges with a reply that their requests may have run; later replies of the core are ignored. */
    public void endAll(String message) {
        Refusal refusal = new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.NOT_READY, message, 0);
        for (RequestId id : List.copyOf(open.keySet())) {
            Exchange exchange = open.remove(id);
            if (exchange != null) {
                end(exchange, refusal);
            }
        }
    }

    /**
     * Returns how many callers are waiting for a response.
     *
     * @return the number of open exchanges
     */
    public int size() {
        return open.size();
    }

    @Override
    public boolean run(Effect effect) {
        if (!(effect instanceof Effect.Reply reply)) {
            return false;
        }
        Exchange exchange = open.remove(reply.request());
        if (exchange != null) {
            end(exchange, reply.reply());
        }
        return true;
    }

    private void end(Exchange exchange, CallerReply reply) {
        if (!exchange.streaming()) {
            exchange.end(reply, !(reply instanceof Refusal));
        } else if (reply instanceof OnlineEnded) {
            exchange.completeStream();
        } else {
            exchange.breakStream(errorEvent.apply(reply instanceof Refusal refusal ? refusal : REJECTED_WITHIN_STREAM));
        }
    }
}
