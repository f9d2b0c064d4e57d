package org.cornelcrank.batch;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.ForwardedCommands;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusedCommands;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.partition.PartitionClient;
import org.cornelcrank.partition.PartitionState;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.partition.RecordPosition;
import org.cornelcrank.routing.BatchCapacity;
import org.cornelcrank.routing.BatchPermit;
import org.cornelcrank.routing.BatchWork;

/**
 * Stores uploaded files and batch jobs in partitions, and runs each item until exactly one result of it is recorded.
 *
 * <p>Any daemon accepts a command and forwards it to the partition's owner, which replies after it has read its own
 * record back. Invariants: the first recorded end of an item takes effect, and every later one is void; nothing is
 * recorded for a job after its cancellation. An item's inference may run again after the partition's owner was lost,
 * but only one result is recorded. Not thread-safe: confined to the daemon's event loop.
 */
public final class BatchStateMachine implements StateMachine, PartitionClient, BatchCapacity.BatchCapacityListener {

    private static final String NAME = BatchRecords.SLICE;

    private final HostId self;
    private final BatchSettings limits;
    private final BatchContext context;
    private final ForwardedCommands forwarded;
    private final CommandCoordinator coordinator;
    private final RefusedCommands refused = new RefusedCommands();
    private final TimerKey forwardTimer = new TimerKey(NAME, "forward");
    private final TimerKey expiryTimer = new TimerKey(NAME, "expiry");
    private final SortedMap<PartitionId, OwnedPartition> owned = new TreeMap<>();
    private boolean expiryScheduled;

    public BatchStateMachine(
            DaemonIdentity identity,
            PartitionWriter writer,
            BatchCapacity capacity,
            Settings settings,
            BatchSettings limits,
            MetricRegistry metrics) {
        this.self = identity.host();
        this.limits = limits;
        this.context = new BatchContext(
                writer,
                capacity,
                settings,
                limits,
                new BodyReads(writer),
                new ResultBudget(limits.maxBufferedResultBytes()),
                new WindowBudget(limits.maxWindowBytes(), limits.maxJobWindowBytes()),
                new DueTimer(new TimerKey(NAME, "results")),
                new DueTimer(new TimerKey(NAME, "retries")),
                metrics);
        this.forwarded = new ForwardedCommands(
                forwardTimer, limits.forwarding(), writer::likelyOwner, writer::logAvailable, this::sendToOwner);
        this.coordinator = new CommandCoordinator(writer, settings, limits, forwarded);
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
        if (event instanceof Event.CommandReceived commandReceived) {
            coordinator.begin(
                    commandReceived.request(), commandReceived.caller(), commandReceived.command(), nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof BatchMessage message) {
            onMessage(received.from(), message, nowMs, out);
        } else if (event instanceof Event.TimerDue due) {
            onTimer(due.key(), nowMs, out);
        }
    }

    @Override
    public PartitionState newState(PartitionId partition) {
        return new BatchPartitionState();
    }

    @Override
    public void ownershipGained(PartitionId partition, PartitionState state, long nowMs, Effects out) {
        if (!(state instanceof BatchPartitionState batchState)) {
            throw new IllegalArgumentException("state must be a batch partition state but was " + state.getClass());
        }
        OwnedPartition gained = new OwnedPartition(context, partition, batchState, new Replies());
        owned.put(partition, gained);
        gained.start(nowMs, out);
        scheduleExpiry(nowMs, out);
    }

    @Override
    public void ownershipLost(PartitionId partition, long nowMs, Effects out) {
        OwnedPartition lost = owned.remove(partition);
        if (lost != null) {
            context.reads().discard(partition);
            lost.stop(nowMs, out);
        }
    }

    @Override
    public void proposalApplied(
            PartitionId partition, long proposal, RecordPosition position, long nowMs, Effects out) {
        OwnedPartition found = owned.get(partition);
        if (found != null) {
            found.proposalApplied(proposal, nowMs, out);
        }
    }

    @Override
    public void bodiesRead(
            PartitionId partition, long readNumber, Map<RecordPosition, ByteString> bodies, long nowMs, Effects out) {
        context.reads().bodiesRead(readNumber, bodies, nowMs, out);
    }

    @Override
    public void bodiesUnavailable(PartitionId partition, long readNumber, long nowMs, Effects out) {
        context.reads().bodiesUnavailable(readNumber, nowMs, out);
    }

    @Override
    public void permitGranted(BatchPermit permit, long nowMs, Effects out) {
        Optional<JobRunner> runner = runner(permit.job());
        if (runner.isPresent()) {
            runner.get().permitGranted(permit, nowMs, out);
        } else {
            context.capacity().releaseUnused(permit, nowMs, out);
        }
    }

    @Override
    public void workEnded(
            BatchPermit permit,
            BatchWork work,
            AttemptOutcome outcome,
            boolean preempted,
            Optional<ResumePoint> resume,
            long nowMs,
            Effects out) {
        runner(permit.job()).ifPresent(runner -> runner.workEnded(permit, outcome, preempted, nowMs, out));
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("forwardedCommands", forwarded.size())
                .field("refusedCommands", refused.size())
                .field("pendingReads", context.reads().size())
                .field("heldResultBytes", context.budget().heldBytes())
                .field("resultBudgetExhausted", context.budget().exhausted())
                .field("heldItemBytes", context.windows().heldBytes())
                .field("runningJobs", context.windows().jobs());
        writer.table("ownedPartitions", "partition", "files", "jobs", "boundKeys", "pendingWrites");
        owned.forEach((partition, held) -> writer.row(
                partition,
                held.state().files().size(),
                held.state().jobs().size(),
                held.state().keyCount(),
                held.pendingWrites()));
        writer.table("jobs", "job", "team", "state", "total", "remaining", "ready", "running", "deadlineAtRisk");
        owned.values().forEach(held -> held.runners().forEach(runner -> dumpJob(runner, writer, nowMs)));
    }

    private static void dumpJob(JobRunner runner, StateWriter writer, long nowMs) {
        StoredJob job = runner.job();
        writer.row(
                job.terms().job(),
                job.terms().team(),
                job.state(),
                job.terms().total(),
                job.remaining(),
                runner.ready(),
                runner.running(),
                job.deadlineAtRisk(nowMs));
    }

    private Optional<JobRunner> runner(JobId job) {
        return BatchIds.partitionOf(job)
                .flatMap(partition -> Optional.ofNullable(owned.get(partition)))
                .flatMap(partition -> partition.runner(job));
    }

    private void onMessage(HostId from, BatchMessage message, long nowMs, Effects out) {
        if (message instanceof BatchMessage.Forwarded forwardedMessage) {
            handle(from, forwardedMessage.command(), nowMs, out);
        } else if (message instanceof BatchMessage.Replied replied) {
            forwarded.replied(
                    from, replied.request(), replied.leg(), replied.sendNumber(), replied.reply(), nowMs, out);
        } else if (message instanceof BatchMessage.Declined declined) {
            forwarded.declined(
                    from, declined.request(), declined.leg(), declined.sendNumber(), declined.untouched(), nowMs, out);
        }
    }

    private void onTimer(TimerKey key, long nowMs, Effects out) {
        if (key.equals(forwardTimer)) {
            forwarded.check(nowMs, out);
        } else if (context.resultTimer().hasKey(key)) {
            context.resultTimer().fired();
            owned.values().forEach(partition -> partition.flushDueResults(nowMs, out));
        } else if (context.retryTimer().hasKey(key)) {
            context.retryTimer().fired();
            owned.values().forEach(partition -> partition.resumeRunners(nowMs, out));
        } else if (key.equals(expiryTimer)) {
            expiryScheduled = false;
            owned.values().forEach(partition -> partition.expire(nowMs, out));
            scheduleExpiry(nowMs, out);
        }
    }

    private void scheduleExpiry(long nowMs, Effects out) {
        if (!expiryScheduled && !owned.isEmpty()) {
            expiryScheduled = true;
            out.schedule(expiryTimer, nowMs + limits.expiryIntervalMs());
        }
    }

    private void sendToOwner(HostId owner, ForwardedCommand command, long nowMs, Effects out) {
        if (owner.equals(self)) {
            handle(self, command, nowMs, out);
        } else {
            out.send(owner, new BatchMessage.Forwarded(command));
        }
    }

    private void handle(HostId origin, ForwardedCommand command, long nowMs, Effects out) {
        Optional<Refusal> earlierRefusal = refused.find(command);
        if (earlierRefusal.isPresent()) {
            new Replies().reply(origin, command, earlierRefusal.get(), nowMs, out);
            return;
        }
        OwnedPartition partition = owned.get(command.partition());
        if (partition == null || !context.writer().owns(command.partition())) {
            new Replies().decline(origin, command, true, nowMs, out);
        } else {
            partition.handle(origin, command, nowMs, out);
        }
    }

    /** Delivers replies locally if this daemon forwarded the command, otherwise by message to the daemon that did. */
    private final class Replies implements OwnerReplies {

        @Override
        public void reply(HostId origin, ForwardedCommand command, CallerReply reply, long nowMs, Effects out) {
            refused.remember(command, reply, nowMs);
            if (origin.equals(self)) {
                forwarded.replied(self, command.request(), command.leg(), command.sendNumber(), reply, nowMs, out);
            } else {
                out.send(
                        origin,
                        new BatchMessage.Replied(command.request(), command.leg(), command.sendNumber(), reply));
            }
        }

        @Override
        public void decline(HostId origin, ForwardedCommand command, boolean untouched, long nowMs, Effects out) {
            if (origin.equals(self)) {
                forwarded.declined(self, command.request(), command.leg(), command.sendNumber(), untouched, nowMs, out);
            } else {
                out.send(
                        origin,
                        new BatchMessage.Declined(command.request(), command.leg(), command.sendNumber(), untouched));
            }
        }
    }
}
