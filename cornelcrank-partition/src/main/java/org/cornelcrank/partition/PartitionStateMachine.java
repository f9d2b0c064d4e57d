package org.cornelcrank.partition;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MembershipListener;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TimerKey;

/**
 * Owns partitions of the platform's log on behalf of the other state machines, and appends their durable records.
 *
 * <p>Invariants: a record is reported as applied only after it has been read back at an offset where it took effect. At
 * any offset of a partition, the records of at most one daemon take effect. Before the first event, every
 * {@link PartitionClient} must be registered here, and this state machine must be registered as
 * {@link MembershipListener} and as {@link Dissemination.FactListener} of {@link #SLICE}. Not thread-safe: confined to
 * the daemon's event loop.
 */
public final class PartitionStateMachine
        implements StateMachine, PartitionWriter, MembershipListener, Dissemination.FactListener, OwnershipListener {

    public static final String SLICE = PartitionContext.SLICE;

    /** A hint expires once this many renewals in a row are missing. */
    private static final int HINT_LIFETIME_RENEWALS = 3;

    /** Number of low bits in a fact's version that count renewals; the bits above hold the epoch. */
    private static final int RENEWAL_BITS = 24;

    private static final TimerKey TICK = new TimerKey(PartitionContext.SLICE, "tick");

    private final PartitionContext context;
    private final Dissemination dissemination;
    private final OwnershipPlanner planner;
    private final OwnerHints hints = new OwnerHints();
    private final BodyReader bodyReader;
    private final OwnershipManager ownershipManager;
    private long renewals;
    private long nextRenewalMs;

    public PartitionStateMachine(
            DaemonIdentity identity,
            MembershipView membership,
            Dissemination dissemination,
            PartitionSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        Objects.requireNonNull(membership, "membership must not be null");
        this.dissemination = Objects.requireNonNull(dissemination, "dissemination must not be null");
        this.context = new PartitionContext(identity, settings, random, new PartitionMetrics(metrics));
        this.planner = new OwnershipPlanner(identity, membership, settings);
        this.bodyReader = new BodyReader(context);
        this.ownershipManager = new OwnershipManager(context, planner, hints, bodyReader, this);
    }

    /**
     * Registers a state machine that keeps state in partitions; called before the daemon starts.
     *
     * @throws IllegalArgumentException if another client has the same slice
     */
    public void register(PartitionClient client) {
        if (context.clients.putIfAbsent(client.slice(), client) != null) {
            throw new IllegalArgumentException(
                    "slice must be registered only once but was registered again: " + client.slice());
        }
    }

    @Override
    public String name() {
        return SLICE;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        context.lastEventAtMs = nowMs;
        if (event instanceof Event.Started) {
            ownershipManager.started(nowMs);
            out.schedule(TICK, nowMs + context.settings.ownership().tickMs());
        } else if (event instanceof Event.TimerDue due) {
            timerDue(due.key(), nowMs, out);
        } else if (event instanceof Event.LogRead read) {
            logRead(read, nowMs, out);
        } else if (event instanceof Event.LogReadFailed failed) {
            readFailed(failed, nowMs, out);
        } else if (event instanceof Event.Appended appended) {
            appended(appended, nowMs, out);
        } else if (event instanceof Event.AppendFailed failed) {
            appendFailed(failed, nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof PartitionMessage message) {
            messageReceived(received.from(), message, nowMs, out);
        } else if (event instanceof Event.StopRequested) {
            ownershipManager.stopRequested(nowMs, out);
        }
    }

    /** Returns whether this daemon neither owns, claims nor follows a partition. */
    @Override
    public boolean quiescent() {
        return ownershipManager.localPartitions().isEmpty();
    }

    @Override
    public void memberChanged(Member before, Member after, long nowMs, Effects out) {
        ownershipManager.memberChanged(before, after, nowMs, out);
    }

    @Override
    public void factReceived(Fact fact, long nowMs, Effects out) {
        String host = fact.value().toStringUtf8();
        if (!fact.slice().equals(SLICE) || !Names.isName(host)) {
            return;
        }
        long epoch = (fact.version() >> RENEWAL_BITS) - 1;
        hints.update(PartitionId.parse(fact.key()), new HostId(host), epoch, nowMs + fact.lifetimeMs());
    }

    @Override
    public boolean owns(PartitionId partition) {
        return ownershipManager
                .find(partition)
                .filter(local -> local.role() == LocalPartition.Role.OWNING)
                .isPresent();
    }

    @Override
    public OptionalLong epoch(PartitionId partition) {
        return owns(partition)
                ? OptionalLong.of(
                        ownershipManager.find(partition).orElseThrow().fold().epoch())
                : OptionalLong.empty();
    }

    @Override
    public Optional<HostId> likelyOwner(PartitionId partition) {
        if (owns(partition)) {
            return Optional.of(context.identity.host());
        }
        Optional<HostId> hinted = hints.latest(partition)
                .map(OwnerHints.Hint::host)
                .filter(host -> !host.equals(context.identity.host()))
                .filter(planner::acceptsWork);
        return hinted.isPresent() ? hinted : planner.assignedOwner(partition, context.lastEventAtMs);
    }

    @Override
    public int partitionCount() {
        return context.settings.partitionCount();
    }

    @Override
    public boolean logAvailable(long nowMs) {
        return context.logHealth.isAvailable(nowMs);
    }

    @Override
    public long pendingBytes(PartitionId partition) {
        return ownershipManager
                .find(partition)
                .map(local -> local.appender().pendingBytes())
                .orElse(0L);
    }

    @Override
    public boolean hasCapacity(PartitionId partition, long bytes) {
        return pendingBytes(partition) + bytes <= context.settings.append().maxPendingBytes();
    }

    @Override
    public long propose(PartitionId partition, DurableRecord record, boolean urgent, long nowMs, Effects out) {
        if (record.payload().size() > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException("record must have at most " + MAX_RECORD_BYTES + " bytes but had "
                    + record.payload().size());
        }
        LocalPartition local = ownershipManager
                .find(partition)
                .filter(candidate -> candidate.role() == LocalPartition.Role.OWNING
                        || candidate.role() == LocalPartition.Role.RELEASING)
                .orElseThrow(() -> new IllegalStateException("partition must be owned but is not: " + partition));
        return local.propose(record, urgent, nowMs, out);
    }

    @Override
    public long readBodies(
            PartitionId partition, String slice, Collection<RecordPosition> positions, long nowMs, Effects out) {
        PartitionClient client = context.clients.get(slice);
        return bodyReader.start(partition, slice, positions, new ClientReceiver(client, partition), nowMs, out);
    }

    @Override
    public void gained(LocalPartition local, long nowMs, Effects out) {
        publishHint(local, nowMs, out);
        PartitionId partition = local.partition();
        context.clients.forEach((slice, client) ->
                client.ownershipGained(partition, local.fold().state(slice), nowMs, out));
        reportChange(
                "owns partition " + partition + " since offset " + local.fold().epoch(), out);
    }

    @Override
    public void lost(PartitionId partition, long nowMs, Effects out) {
        context.clients.values().forEach(client -> client.ownershipLost(partition, nowMs, out));
        reportChange("no longer owns partition " + partition, out);
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("logAnswers", logAvailable(nowMs))
                .field("bodyReadsUnderWay", bodyReader.pendingReads())
                .field("cachedBytes", context.cache.bytes());
        ownershipManager.dump(writer);
        writer.table("owners", "partition", "likelyOwner", "choice");
        for (PartitionId partition : planner.candidatePartitions(nowMs)) {
            writer.row(partition, nameOf(likelyOwner(partition)), nameOf(planner.assignedOwner(partition, nowMs)));
        }
    }

    private void timerDue(TimerKey key, long nowMs, Effects out) {
        if (!key.stateMachine().equals(SLICE)) {
            return;
        }
        if (key.equals(TICK)) {
            tick(nowMs, out);
            return;
        }
        bodyReader.timerDue(key, nowMs, out);
        int slash = key.name().indexOf('/');
        if (slash < 0) {
            return;
        }
        String timer = key.name().substring(0, slash);
        ownershipManager
                .find(PartitionId.parse(key.name().substring(slash + 1)))
                .ifPresent(local -> {
                    if (timer.equals(PartitionContext.APPEND_TIMER)) {
                        local.appendIfDue(nowMs, out);
                    } else {
                        local.retryRead(nowMs, out);
                    }
                });
    }

    private void tick(long nowMs, Effects out) {
        ownershipManager.tick(nowMs, out);
        if (nowMs >= nextRenewalMs && context.logHealth.isAvailable(nowMs)) {
            nextRenewalMs = nowMs + context.settings.ownership().hintRenewalMs();
            ownershipManager.localPartitions().stream()
                    .filter(local -> local.role() == LocalPartition.Role.OWNING)
                    .toList()
                    .forEach(local -> publishHint(local, nowMs, out));
        }
        out.schedule(TICK, nowMs + context.settings.ownership().tickMs());
    }

    private void logRead(Event.LogRead read, long nowMs, Effects out) {
        Optional<LocalPartition> local = ownershipManager.find(read.stream());
        if (!read.purpose().startsWith(PartitionContext.PURPOSE_PREFIX)) {
            return;
        }
        context.logHealth.responseReceived(nowMs);
        bodyReader.logRead(read, nowMs, out);
        local.ifPresent(found -> found.logRead(read, nowMs, out));
    }

    private void readFailed(Event.LogReadFailed failed, long nowMs, Effects out) {
        if (!failed.purpose().startsWith(PartitionContext.PURPOSE_PREFIX)) {
            return;
        }
        context.logHealth.requestFailed(nowMs);
        context.metrics.readFailures.inc();
        bodyReader.readFailed(failed, nowMs, out);
        ownershipManager.find(failed.stream()).ifPresent(local -> {
            local.readFailed(failed, nowMs, out);
            ownershipManager.readFailed(local);
        });
    }

    private void appended(Event.Appended appended, long nowMs, Effects out) {
        ownershipManager.find(appended.stream()).ifPresent(local -> {
            context.logHealth.responseReceived(nowMs);
            local.appended(appended.stream(), appended.appendNumber(), nowMs, out);
        });
    }

    private void appendFailed(Event.AppendFailed failed, long nowMs, Effects out) {
        ownershipManager.find(failed.stream()).ifPresent(local -> {
            context.logHealth.requestFailed(nowMs);
            local.appendFailed(failed, nowMs, out);
        });
    }

    private void messageReceived(HostId from, PartitionMessage message, long nowMs, Effects out) {
        PartitionId partition = message.partition();
        long epoch = message.epoch();
        if (message instanceof PartitionMessage.OwnershipQuery) {
            boolean owns = epoch(partition).equals(OptionalLong.of(epoch));
            out.send(from, new PartitionMessage.OwnershipReply(partition, epoch, owns));
        } else if (message instanceof PartitionMessage.OwnershipReply reply) {
            ownershipManager.ownershipReplyReceived(from, partition, epoch, reply.owns(), nowMs, out);
        } else if (message instanceof PartitionMessage.HandoverReady) {
            ownershipManager.successorReady(from, partition, epoch, nowMs, out);
        } else {
            boolean isHandover = !(message instanceof PartitionMessage.ClaimRequest);
            ownershipManager.offerReceived(from, partition, epoch, isHandover, nowMs, out);
        }
    }

    private void publishHint(LocalPartition local, long nowMs, Effects out) {
        renewals++;
        long version = (local.fold().epoch() + 1 << RENEWAL_BITS) + (renewals & (1L << RENEWAL_BITS) - 1);
        ByteString host = ByteString.copyFrom(context.identity.host().value(), StandardCharsets.UTF_8);
        long lifetimeMs = HINT_LIFETIME_RENEWALS * context.settings.ownership().hintRenewalMs();
        Fact fact = new Fact(SLICE, local.partition().toString(), version, host, lifetimeMs, Fact.Scope.EVERYWHERE);
        dissemination.publish(fact, nowMs, out);
    }

    private void reportChange(String text, Effects out) {
        out.add(new Effect.StateChanged(SLICE, text));
    }

    private static String nameOf(Optional<HostId> host) {
        return host.map(HostId::value).orElse("");
    }

    private record ClientReceiver(PartitionClient client, PartitionId partition) implements BodyReader.Receiver {

        @Override
        public void read(long number, Map<RecordPosition, ByteString> found, long nowMs, Effects out) {
            client.bodiesRead(partition, number, found, nowMs, out);
        }

        @Override
        public void unavailable(long number, long nowMs, Effects out) {
            client.bodiesUnavailable(partition, number, nowMs, out);
        }
    }
}
