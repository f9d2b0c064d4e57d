package org.cornelcrank.call;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.config.Settings;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.ForwardedCommands;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RefusedCommands;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.partition.PartitionClient;
import org.cornelcrank.partition.PartitionState;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.partition.RecordPosition;
import org.cornelcrank.routing.RequestRouter;
import org.cornelcrank.routing.RouteOutcome;
import org.cornelcrank.routing.RoutedRequest;

/**
 * Runs non-repeatable calls at most once, each guarded by its idempotency key in a partition of its team's home region.
 *
 * <p>Any daemon accepts a call and forwards it to the owner of the key's partition. Invariants: a call is sent to a
 * target only after its intent record was read back as the first one for its key; as long as the guard is kept, a
 * repeated call joins the running one, gets the stored response, or is refused because it may have run. A verdict
 * applies to the request that it is returned for. Not thread-safe: confined to the daemon's event loop.
 */
public final class CallStateMachine implements StateMachine, PartitionClient, RequestRouter.RouteListener {

    private static final String NAME = CallRecords.SLICE;
    private static final long CHECK_INTERVAL_MS = 250;

    private final HostId self;
    private final Settings settings;
    private final CallContext context;
    private final ForwardedCommands forwarded;
    private final RefusedCommands refused = new RefusedCommands();
    private final TimerKey forwardTimer = new TimerKey(NAME, "forward");
    private final TimerKey checkTimer = new TimerKey(NAME, "check");
    private final TimerKey expiryTimer = new TimerKey(NAME, "expiry");
    private final SortedMap<PartitionId, OwnedCalls> owned = new TreeMap<>();
    private boolean checkScheduled;
    private boolean expiryScheduled;

    public CallStateMachine(
            DaemonIdentity identity,
            PartitionWriter writer,
            RequestRouter router,
            Settings settings,
            CallSettings limits,
            MetricRegistry metrics) {
        this.self = identity.host();
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.context = new CallContext(writer, router, limits, new Replies(), new RoutedCalls(), metrics);
        this.forwarded = new ForwardedCommands(
                forwardTimer, limits.forwarding(), writer::likelyOwner, writer::logAvailable, this::sendToOwner);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public String slice() {
        return NAME;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.CommandReceived commandReceived
                && commandReceived.command() instanceof CallRequest call) {
            begin(commandReceived.request(), commandReceived.caller(), call, nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof CallMessage message) {
            onMessage(received.from(), message, nowMs, out);
        } else if (event instanceof Event.TimerDue due) {
            onTimer(due.key(), nowMs, out);
        }
    }

    @Override
    public PartitionState newState(PartitionId partition) {
        return new CallPartitionState();
    }

    @Override
    public void ownershipGained(PartitionId partition, PartitionState state, long nowMs, Effects out) {
        if (!(state instanceof CallPartitionState callState)) {
            throw new IllegalArgumentException("state must be a call partition state but was " + state.getClass());
        }
        OwnedCalls gained = new OwnedCalls(context, partition, callState);
        owned.put(partition, gained);
        gained.adoptRouted();
        scheduleExpiry(nowMs, out);
    }

    @Override
    public void ownershipLost(PartitionId partition, long nowMs, Effects out) {
        OwnedCalls lost = owned.remove(partition);
        if (lost != null) {
            lost.ownershipLost(nowMs, out);
        }
    }

    @Override
    public void proposalApplied(
            PartitionId partition, long proposal, RecordPosition position, long nowMs, Effects out) {
        OwnedCalls found = owned.get(partition);
        if (found != null) {
            found.proposalApplied(proposal, this, nowMs, out);
        }
    }

    @Override
    public void bodiesRead(
            PartitionId partition, long readNumber, Map<RecordPosition, ByteString> bodies, long nowMs, Effects out) {
        OwnedCalls found = owned.get(partition);
        if (found != null) {
            Optional<ByteString> payload = bodies.values().stream().findFirst();
            found.bodiesRead(readNumber, payload, nowMs, out);
        }
    }

    @Override
    public void bodiesUnavailable(PartitionId partition, long readNumber, long nowMs, Effects out) {
        OwnedCalls found = owned.get(partition);
        if (found != null) {
            found.bodiesUnavailable(readNumber, nowMs, out);
        }
    }

    @Override
    public void routeEnded(RoutedRequest request, RouteOutcome outcome, long nowMs, Effects out) {
        RoutedCalls.Routed ended = context.routed().remove(request.id());
        if (ended != null) {
            ended.owner().routeEnded(ended.call(), outcome, nowMs, out);
        }
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("forwardedCalls", forwarded.size())
                .field("refusedCalls", refused.size())
                .field("routedCalls", context.routed().size());
        writer.table("ownedPartitions", "partition", "guards", "unfinishedGuards", "running");
        owned.forEach((partition, calls) ->
                writer.row(partition, calls.state().size(), calls.state().unfinished(), calls.runningCount()));
    }

    private void begin(RequestId request, Caller caller, CallRequest original, long nowMs, Effects out) {
        Optional<RegionId> home = settings.team(original.workload()).map(TeamPolicy::homeRegion);
        if (home.isEmpty()) {
            String message = "the settings contain no team " + original.workload();
            out.reply(request, Refusal.notRun(RefusalCode.FORBIDDEN, message));
            return;
        }
        String key = original.idempotencyKey().orElse("auto-" + request);
        CallRequest call = withKey(original, key, nowMs + context.limits().maxCallMs());
        PartitionId partition = PartitionId.ofKey(
                home.get(),
                "call|" + original.workload().team() + "|" + key,
                context.writer().partitionCount());
        long answerUntilMs = call.deadlineAtMs() + context.limits().answerGraceMs();
        forwarded.begin(
                new ForwardedCommand(request, 0, 0, caller, partition, call, answerUntilMs),
                (reply, atMs, effects) -> effects.reply(request, reply),
                nowMs,
                out);
    }

    private static CallRequest withKey(CallRequest original, String key, long latestDeadlineAtMs) {
        return new CallRequest(
                original.workload(),
                original.service(),
                original.method(),
                original.path(),
                original.contentType(),
                original.body(),
                Optional.of(key),
                Math.min(original.deadlineAtMs(), latestDeadlineAtMs),
                original.urgency());
    }

    private void onMessage(HostId from, CallMessage message, long nowMs, Effects out) {
        if (message instanceof CallMessage.Forwarded forwardedMessage) {
            handle(from, forwardedMessage.command(), nowMs, out);
        } else if (message instanceof CallMessage.Replied replied) {
            forwarded.replied(from, replied.request(), 0, replied.sendNumber(), replied.reply(), nowMs, out);
        } else if (message instanceof CallMessage.Held held) {
            forwarded.held(from, held.request(), 0, held.sendNumber());
        } else if (message instanceof CallMessage.Declined declined) {
            forwarded.declined(from, declined.request(), 0, declined.sendNumber(), declined.untouched(), nowMs, out);
        }
    }

    private void onTimer(TimerKey key, long nowMs, Effects out) {
        if (key.equals(forwardTimer)) {
            forwarded.check(nowMs, out);
        } else if (key.equals(checkTimer)) {
            checkScheduled = false;
            owned.values().forEach(calls -> calls.check(nowMs, out));
            scheduleCheck(nowMs, out);
        } else if (key.equals(expiryTimer)) {
            expiryScheduled = false;
            owned.values().forEach(calls -> calls.expire(nowMs, out));
            scheduleExpiry(nowMs, out);
        }
    }

    private void scheduleCheck(long nowMs, Effects out) {
        boolean anyRunning = owned.values().stream().anyMatch(calls -> calls.runningCount() > 0);
        if (!checkScheduled && anyRunning) {
            checkScheduled = true;
            out.schedule(checkTimer, nowMs + CHECK_INTERVAL_MS);
        }
    }

    private void scheduleExpiry(long nowMs, Effects out) {
        if (!expiryScheduled && !owned.isEmpty()) {
            expiryScheduled = true;
            out.schedule(expiryTimer, nowMs + context.limits().expiryIntervalMs());
        }
    }

    private void sendToOwner(HostId owner, ForwardedCommand command, long nowMs, Effects out) {
        if (owner.equals(self)) {
            handle(self, command, nowMs, out);
        } else {
            out.send(owner, new CallMessage.Forwarded(command));
        }
    }

    private void handle(HostId origin, ForwardedCommand command, long nowMs, Effects out) {
        Optional<Refusal> earlierRefusal = refused.find(command);
        if (earlierRefusal.isPresent()) {
            context.replies().reply(origin, command, earlierRefusal.get(), nowMs, out);
            return;
        }
        OwnedCalls calls = owned.get(command.partition());
        if (calls == null || !context.writer().owns(command.partition())) {
            context.replies().decline(origin, command, true, nowMs, out);
            return;
        }
        calls.handle(origin, command, this, nowMs, out);
        scheduleCheck(nowMs, out);
    }

    /** Delivers replies locally if this daemon forwarded the call, otherwise by message to the daemon that did. */
    private final class Replies implements CallReplies {

        @Override
        public void reply(HostId origin, ForwardedCommand command, CallerReply reply, long nowMs, Effects out) {
            refused.remember(command, reply, nowMs);
            if (origin.equals(self)) {
                forwarded.replied(self, command.request(), command.leg(), command.sendNumber(), reply, nowMs, out);
            } else {
                out.send(origin, new CallMessage.Replied(command.request(), command.sendNumber(), reply));
            }
        }

        @Override
        public void decline(HostId origin, ForwardedCommand command, boolean untouched, long nowMs, Effects out) {
            if (origin.equals(self)) {
                forwarded.declined(self, command.request(), command.leg(), command.sendNumber(), untouched, nowMs, out);
            } else {
                out.send(origin, new CallMessage.Declined(command.request(), command.sendNumber(), untouched));
            }
        }

        @Override
        public void hold(HostId origin, ForwardedCommand command, Effects out) {
            if (origin.equals(self)) {
                forwarded.held(self, command.request(), command.leg(), command.sendNumber());
            } else {
                out.send(origin, new CallMessage.Held(command.request(), command.sendNumber()));
            }
        }
    }
}
