package org.cornelcrank.fleet;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.partition.PartitionClient;
import org.cornelcrank.partition.PartitionState;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.partition.RecordPosition;

/**
 * Orders targets to load and unload models and to change their role, as the settings require.
 *
 * <p>The targets of a region are ordered by the owner of one of its partitions, whose epoch is the fencing number; the
 * other daemons forward to it the reports of the targets that they watch. The daemon's assembly registers this state
 * machine with the partitions and calls {@link #attemptDispatched} for each attempt. Not thread-safe: confined to the
 * daemon's event loop.
 */
public final class FleetStateMachine implements StateMachine, PartitionClient {

    static final String NAME = "fleet";

    private static final String CLAIM_KEY = "fleet";

    private static final TimerKey TICK = new TimerKey(NAME, "tick");

    private final HostId self;
    private final Settings config;
    private final PartitionWriter writer;
    private final FleetSettings settings;
    private final MetricRegistry metrics;
    private final TargetTable targets = new TargetTable();
    private final AttemptStatistics attempts = new AttemptStatistics();
    private final ReportForwarder forwarder;
    private final Map<PartitionId, RegionReconciler> owned = new TreeMap<>();

    public FleetStateMachine(
            DaemonIdentity identity,
            Settings config,
            PartitionWriter writer,
            FleetSettings settings,
            MetricRegistry metrics) {
        this.self =
                Objects.requireNonNull(identity, "identity must not be null").host();
        this.config = Objects.requireNonNull(config, "config must not be null");
        this.writer = Objects.requireNonNull(writer, "writer must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.metrics = Objects.requireNonNull(metrics, "metrics must not be null");
        this.forwarder = new ReportForwarder(settings.reportRefreshMs());
    }

    /** Returns the partition whose owner orders the targets of the region. */
    public static PartitionId claimOf(RegionId region, int partitionCount) {
        return PartitionId.ofKey(region, CLAIM_KEY, partitionCount);
    }

    /**
     * Records an attempt that is sent to a target; its outcome counts for or against the version that the target has
     * loaded.
     */
    public void attemptDispatched(AttemptId attempt, TargetId target) {
        attempts.started(attempt, target);
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
        if (event instanceof Event.TimerDue timer && timer.key().equals(TICK)) {
            tick(nowMs, out);
        } else if (event instanceof Event.HostListRead read) {
            targets.listed(read.hosts());
            attempts.retain(targets.all().keySet());
            forwarder.retain(targets.all().keySet());
        } else if (event instanceof Event.TargetReported reported) {
            reported(reported.report(), nowMs, out);
        } else if (event instanceof Event.TargetUnreachable unreachable) {
            unreachable(unreachable.target(), nowMs, out);
        } else if (event instanceof Event.AttemptEnded ended) {
            attempts.ended(ended.attempt(), ended.outcome());
        } else if (event instanceof Event.OrderEnded ended) {
            for (RegionReconciler reconciler : owned.values()) {
                reconciler.orderEnded(ended.target(), ended.orderNumber(), ended.outcome(), nowMs, out);
            }
        } else if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof FleetMessage message) {
            messageReceived(received.from(), message, nowMs);
        }
    }

    @Override
    public PartitionState newState(PartitionId partition) {
        return new FleetState();
    }

    @Override
    public void ownershipGained(PartitionId partition, PartitionState state, long nowMs, Effects out) {
        if (!partition.equals(claimOf(partition.region(), writer.partitionCount()))) {
            return;
        }
        RegionReconciler.Claim claim = new RegionReconciler.Claim(partition, (FleetState) state, nowMs);
        owned.put(partition, new RegionReconciler(claim, config, writer, settings, targets, metrics));
        out.schedule(TICK, nowMs + settings.tickMs());
    }

    @Override
    public void ownershipLost(PartitionId partition, long nowMs, Effects out) {
        owned.remove(partition);
    }

    @Override
    public void proposalApplied(
            PartitionId partition, long proposal, RecordPosition position, long nowMs, Effects out) {
        RegionReconciler reconciler = owned.get(partition);
        if (reconciler != null) {
            reconciler.proposalApplied(proposal, nowMs, out);
        }
    }

    @Override
    public void bodiesRead(
            PartitionId partition, long readNumber, Map<RecordPosition, ByteString> bodies, long nowMs, Effects out) {
        throw new IllegalStateException("the fleet reads no record bodies but read " + readNumber + " got a reply");
    }

    @Override
    public void bodiesUnavailable(PartitionId partition, long readNumber, long nowMs, Effects out) {
        throw new IllegalStateException("the fleet reads no record bodies but read " + readNumber + " got a reply");
    }

    @Override
    public void dump(StateWriter stateWriter, long nowMs) {
        stateWriter.field("claims", owned.keySet());
        owned.values().forEach(reconciler -> reconciler.dump(stateWriter, nowMs));
    }

    private void tick(long nowMs, Effects out) {
        if (owned.isEmpty()) {
            return;
        }
        if (config.ready()) {
            owned.values().forEach(reconciler -> reconciler.reconcile(nowMs, out));
        }
        out.schedule(TICK, nowMs + settings.tickMs());
    }

    private void reported(TargetReport report, long nowMs, Effects out) {
        Optional<HostId> holder = claimHolderOf(report.target());
        if (holder.isEmpty()) {
            return;
        }
        AttemptStatistics.Counts counts = attempts.countsOf(report.target());
        if (holder.get().equals(self)) {
            targets.reported(report, self, counts, nowMs);
        } else if (anyServiceManaged()) {
            forwarder.reported(report, counts, holder.get(), nowMs, out);
        }
    }

    private void unreachable(TargetId target, long nowMs, Effects out) {
        Optional<HostId> holder = claimHolderOf(target);
        if (holder.isEmpty()) {
            return;
        }
        if (holder.get().equals(self)) {
            targets.lost(target, nowMs);
        } else {
            forwarder.lost(target, holder.get(), out);
        }
    }

    private void messageReceived(HostId from, FleetMessage message, long nowMs) {
        if (message instanceof FleetMessage.TargetSeen seen) {
            AttemptStatistics.Counts counts = new AttemptStatistics.Counts(seen.attempts(), seen.failures());
            targets.reported(seen.report(), from, counts, nowMs);
        } else if (message instanceof FleetMessage.TargetLost lost) {
            targets.lost(lost.target(), nowMs);
        }
    }

    private Optional<HostId> claimHolderOf(TargetId target) {
        return targets.find(target)
                .map(listed -> listed.entry().location().region())
                .flatMap(region -> writer.likelyOwner(claimOf(region, writer.partitionCount())));
    }

    private boolean anyServiceManaged() {
        return config.services().stream()
                .map(config::service)
                .flatMap(Optional::stream)
                .anyMatch(policy -> policy.replicas() > 0);
    }
}
