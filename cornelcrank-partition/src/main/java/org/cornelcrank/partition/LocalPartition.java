package org.cornelcrank.partition;

import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.StreamName;
import org.cornelcrank.partition.wire.Group;

/**
 * A partition that this daemon reads in order to claim it, or owns.
 *
 * <p>Invariants: the daemon owns the partition from the read-back of its own claim until it reads another's claim or its
 * own release. A proposal is reported as applied when its group is read back at an offset where it takes effect, once.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class LocalPartition implements PartitionReplica.Listener {

    /** Says what this daemon does with the partition. */
    enum Role {
        FOLLOWING,
        CLAIMING,
        OWNING,
        /** Appends its release; takes no new work. */
        RELEASING
    }

    /** Is told when the role has changed or a decision is due. */
    interface Listener {

        /** A partition that is only followed was read to the end. */
        void caughtUp(LocalPartition local, long nowMs, Effects out);

        void gained(LocalPartition local, long nowMs, Effects out);

        /** The partition passed to another owner, or nobody; it is read no further. */
        void lost(LocalPartition local, Role before, long nowMs, Effects out);

        /** Records that a reader needs have expired; the partition is read no further. */
        void unreadable(LocalPartition local, Role before, boolean whileTailing, long nowMs, Effects out);
    }

    private final PartitionContext context;
    private final PartitionId partition;
    private final Listener listener;
    private final PartitionReplica replica;
    private final GroupAppender appender;
    private final CheckpointWriter checkpoints;
    private final long startedAtMs;
    private PartitionFold fold;
    private Role role = Role.FOLLOWING;
    private final HandOver handOver = new HandOver();

    LocalPartition(
            PartitionContext context,
            PartitionId partition,
            Listener listener,
            AppendAllowance allowance,
            BodyReader bodies,
            long nowMs) {
        this.context = context;
        this.partition = partition;
        this.listener = listener;
        this.startedAtMs = nowMs;
        this.replica = new PartitionReplica(context, partition, this);
        this.appender = new GroupAppender(context, partition, allowance);
        this.checkpoints = new CheckpointWriter(context, partition, appender, bodies);
        this.fold = context.newFold(partition);
    }

    void start(long nowMs, Effects out) {
        replica.start(nowMs, out);
    }

    void stop() {
        replica.stop();
    }

    /** Claims the partition in place of the owner that the fold shows. */
    void claim(long nowMs, Effects out) {
        role = Role.CLAIMING;
        appender.claim(fold.epoch(), nowMs, out);
    }

    long propose(DurableRecord record, boolean urgent, long nowMs, Effects out) {
        return appender.propose(record, urgent, nowMs, out);
    }

    /** Gives the partition up, in favour of the successor if there is one, after all that was proposed before. */
    void release(Optional<HostId> successor, long nowMs, Effects out) {
        role = Role.RELEASING;
        appender.release(successor.map(HostId::value).orElse(""), nowMs, out);
    }

    void maintain(long nowMs, Effects out) {
        if (role == Role.OWNING) {
            checkpoints.maintain(fold, nowMs, out);
        }
    }

    void pump(long nowMs, Effects out) {
        appender.pump(nowMs, out);
    }

    void readOn(long nowMs, Effects out) {
        replica.retry(nowMs, out);
    }

    void logRead(Event.LogRead read, long nowMs, Effects out) {
        replica.logRead(read, nowMs, out);
    }

    void readFailed(Event.LogReadFailed failed, long nowMs, Effects out) {
        replica.readFailed(failed, nowMs, out);
    }

    void appended(StreamName stream, long appendNumber, long nowMs, Effects out) {
        if (stream.equals(partition.stream())) {
            appender.appended(appendNumber, nowMs, out);
        } else {
            checkpoints.pointerAppended(appendNumber);
        }
    }

    void appendFailed(Event.AppendFailed failed, long nowMs, Effects out) {
        if (failed.stream().equals(partition.stream())) {
            appender.appendFailed(failed.appendNumber(), failed.retryAfterMs(), nowMs, out);
        } else {
            checkpoints.pointerFailed(failed.appendNumber());
        }
    }

    @Override
    public void foldStarts(PartitionFold started, long nowMs) {
        fold = started;
    }

    @Override
    public void recordRead(LogRecord record, long nowMs, Effects out) {
        checkpoints.recordFolded(record.appendedAtMs(), record.payload().size());
        Optional<Group> group = GroupCodec.decode(record.payload());
        if (group.isEmpty()) {
            fold.skip(record.offset(), record.appendedAtMs());
            context.metrics.voidGroups.inc();
            return;
        }
        foldGroup(record, group.get(), nowMs, out);
    }

    @Override
    public void advanced(boolean tailing, long nowMs, Effects out) {
        appender.pump(nowMs, out);
        maintain(nowMs, out);
        if (tailing && role == Role.FOLLOWING) {
            listener.caughtUp(this, nowMs, out);
        }
    }

    @Override
    public void recordsExpired(boolean whileTailing, long nowMs, Effects out) {
        listener.unreadable(this, role, whileTailing, nowMs, out);
    }

    PartitionId partition() {
        return partition;
    }

    Role role() {
        return role;
    }

    PartitionFold fold() {
        return fold;
    }

    HandOver handOver() {
        return handOver;
    }

    long startedAtMs() {
        return startedAtMs;
    }

    boolean tailing() {
        return replica.tailing();
    }

    long nextOffset() {
        return replica.nextOffset();
    }

    GroupAppender appender() {
        return appender;
    }

    long bytesToRead() {
        return checkpoints.bytesToRead();
    }

    private void foldGroup(LogRecord record, Group group, long nowMs, Effects out) {
        boolean own = group.getWriter().equals(context.identity.writer());
        List<Long> proposals = own ? appender.readBack(group) : List.of();
        if (role == Role.OWNING) {
            context.cache.put(partition.stream(), record.offset(), group);
        }
        PartitionFold.Outcome outcome = fold.apply(record.offset(), record.appendedAtMs(), group, position -> {
            if (position.index() < proposals.size()) {
                reportApplied(group, proposals.get(position.index()), position, nowMs, out);
            }
        });
        switch (outcome) {
            case CLAIMED -> claimed(own, nowMs, out);
            case RELEASED -> released(own, nowMs, out);
            case APPLIED -> applied(record, group, own, nowMs, out);
            default -> context.metrics.voidGroups.inc();
        }
    }

    private void reportApplied(Group group, long proposal, RecordPosition position, long nowMs, Effects out) {
        String slice = group.getRecords().getRecords(position.index()).getSlice();
        context.clients.get(slice).proposalApplied(partition, proposal, position, nowMs, out);
    }

    private void claimed(boolean own, long nowMs, Effects out) {
        if (own && role == Role.CLAIMING) {
            role = Role.OWNING;
            appender.ownsSince(fold.epoch());
            listener.gained(this, nowMs, out);
        } else if (role != Role.FOLLOWING) {
            giveUp(nowMs, out);
        }
    }

    private void released(boolean own, long nowMs, Effects out) {
        if (own && role == Role.RELEASING) {
            giveUp(nowMs, out);
        }
    }

    private void giveUp(long nowMs, Effects out) {
        Role before = role;
        role = Role.FOLLOWING;
        stop();
        listener.lost(this, before, nowMs, out);
    }

    private void applied(LogRecord record, Group group, boolean own, long nowMs, Effects out) {
        if (!own) {
            return;
        }
        if (group.hasCheckpoint()) {
            checkpoints.partRead(group.getCheckpoint(), record.offset(), nowMs, out);
        } else if (group.hasCarried()) {
            checkpoints.carriedRead(group.getCarried().getRecordsCount());
        }
    }
}
