package org.cornelcrank.server.gateway;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.routing.OnlineEnded;
import org.cornelcrank.routing.OnlineRequest;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import org.cornelcrank.server.loop.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the open calls and completes them with the core's replies.
 *
 * <p>Invariant: a call is tracked until it is replied to or its caller disconnects. Not thread-safe: confined to the
 * event loop.
 */
final class GatewayCalls implements EffectRunner {

    private static final Logger LOGGER = LoggerFactory.getLogger("cornelcrank.request");

    /** Read timeout as a multiple of the latency objective; when it elapses, another target is tried. */
    private static final long READ_TIMEOUT_OBJECTIVES = 2;

    /** Lower bound of the read timeout, in ms. */
    private static final long MIN_READ_TIMEOUT_MS = 500;

    private final Map<RequestId, GatewayCall> open = new LinkedHashMap<>();
    private final DaemonIdentity identity;
    private final CoreLoop loop;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private final OpenRequests openRequests;
    private final Timer latency;
    private long lastNumber;

    GatewayCalls(
            DaemonIdentity identity,
            CoreLoop loop,
            MonotonicClock clock,
            OpenRequests openRequests,
            MetricRegistry metrics) {
        this.openRequests = Objects.requireNonNull(openRequests, "openRequests must not be null");
        this.clock = Objects.requireNonNull(clock, "clock must not be null");
        this.identity = Objects.requireNonNull(identity, "identity must not be null");
        this.loop = Objects.requireNonNull(loop, "loop must not be null");
        this.metrics = metrics;
        this.latency = metrics.timer("gateway.call-durations");
        metrics.registerGauge("gateway.open-calls", open::size);
    }

    /** Opens a call and passes its request to the core. */
    GatewayCall open(RequestHead head, byte[] body, OnlineRequest request, long nowMs) {
        int maxRuns = request.repeatable() ? request.options().maxRuns() : 0;
        long readTimeoutMs = maxRuns > 0
                ? Math.max(
                        MIN_READ_TIMEOUT_MS,
                        READ_TIMEOUT_OBJECTIVES * request.options().objectiveMs())
                : 0;
        GatewayCall call = new GatewayCall(nextId(), head, body, maxRuns, request.resumable(), readTimeoutMs, nowMs);
        open.put(call.id(), call);
        openRequests.accept();
        Caller caller = new Caller(request.workload(), head.requestId(), Caller.Scope.CALLER);
        LOGGER.atInfo()
                .addKeyValue("request", head.requestId())
                .addKeyValue("id", call.id())
                .addKeyValue("route", request.workload())
                .addKeyValue("service", request.service())
                .addKeyValue("urgency", request.urgency())
                .addKeyValue("fingerprint", Long.toHexString(request.fingerprint()))
                .addKeyValue("parts", hex(request.sharedParts()))
                .addKeyValue("leftMs", request.deadlineAtMs() - nowMs)
                .addKeyValue("resumes", head.resumesStream() ? head.streamId() : "")
                .addKeyValue("lastEvent", head.lastEventId().orElse(0))
                .log("request arrived");
        loop.post(new Event.CommandReceived(call.id(), caller, request));
        return call;
    }

    private static List<String> hex(List<Long> hashes) {
        return hashes.stream().map(Long::toHexString).toList();
    }

    RequestId nextId() {
        return new RequestId(identity.host(), identity.incarnation(), ++lastNumber);
    }

    Optional<GatewayCall> find(RequestId id) {
        return Optional.ofNullable(open.get(id));
    }

    Collection<GatewayCall> all() {
        return open.values();
    }

    /** Notifies the core that the caller disconnected; does nothing if the call has ended. */
    void callerDisconnected(GatewayCall call) {
        if (open.remove(call.id()) != null) {
            openRequests.end();
            LOGGER.atInfo()
                    .addKeyValue("request", call.head().requestId())
                    .addKeyValue("id", call.id())
                    .addKeyValue("tookMs", clock.nowMs() - call.receivedAtMs())
                    .log("caller left");
            loop.post(new Event.CallerDisconnected(call.id()));
        }
    }

    @Override
    public boolean run(Effect effect) {
        if (!(effect instanceof Effect.Reply reply)) {
            return false;
        }
        GatewayCall call = open.remove(reply.request());
        if (call != null) {
            openRequests.end();
            logEnd(call, reply.reply());
            end(call, reply.reply());
        }
        return call != null;
    }

    private void logEnd(GatewayCall call, CallerReply reply) {
        latency.update(clock.nowMs() - call.receivedAtMs(), TimeUnit.MILLISECONDS);
        if (reply instanceof Refusal refusal) {
            metrics.counter("gateway.refused." + refusal.code().errorCode()).inc();
        }
        LOGGER.atInfo()
                .addKeyValue("request", call.head().requestId())
                .addKeyValue("id", call.id())
                .addKeyValue("tookMs", clock.nowMs() - call.receivedAtMs())
                .addKeyValue("lastEvent", call.lastEventId())
                .addKeyValue("outcome", reply)
                .log("request ended");
    }

    /** Ends a call; a target's own error response is forwarded as it is, unless the request did not run. */
    private static void end(GatewayCall call, CallerReply reply) {
        CallResponse.Complete held = call.held();
        if (reply instanceof Refusal refusal) {
            boolean mayHaveRun = !(refusal.verdict() instanceof Verdict.NotRun);
            call.end(held != null && mayHaveRun ? held : new CallResponse.Refused(refusal), false);
        } else if (reply instanceof OnlineEnded && (held != null || call.streaming())) {
            call.end(held, true);
        } else if (held != null) {
            call.end(held, false);
        } else {
            call.end(
                    new CallResponse.Refused(new Refusal(
                            Verdict.MAY_HAVE_RUN,
                            RefusalCode.TARGET_FAILED,
                            "the target gave no complete response",
                            0)),
                    false);
        }
    }
}
