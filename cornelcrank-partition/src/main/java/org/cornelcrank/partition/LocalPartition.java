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
 * A partition that this daemon owns, or reads in order to claim it.
 *
 * <p>Invariants: the daemon owns the partition from the read-back of its own claim until it reads another daemon's
 * claim or its own release. A proposal is reported as applied exactly once, when its group is read back at an offset
 * where it takes effect. Not thread-safe: confined to the daemon's event loop.
 */
final class LocalPartition implements PartitionStreamReader.Listener {

    /** The role of this daemon for the partition. */
    enum Role {
        FOLLOWING,
        CLAIMING,
        OWNING,
        /** Appends its release; accepts no new work. */
        RELEASING
    }

    /** Listener for changes of the role, and for points at which a decision is due. */
    interface Listener {

        /** Called when a partition that is only followed has been read to its end. */
        void caughtUp(LocalPartition local, long nowMs, Effects out);

        void gained(LocalPartition local, long nowMs, Effects out);

        /** Called when another daemon claimed the partition or this one released it; reading has stopped. */
        void lost(LocalPartition local, Role previous, long nowMs, Effects out);

        /** Called when records that this reader needs have expired; reading has stopped. */
        void unreadable(LocalPartition local, Role previous, boolean whileTailing, long nowMs, Effects out);
    }

    private final PartitionContext context;
    private final PartitionId partition;
    private final Listener listener;
    private final PartitionStreamReader streamReader;
    private final GroupAppender appender;
    private final CheckpointWriter checkpointWriter;
    private final long startedAtMs;
    private PartitionFold fold;
    private Role role = Role.FOLLOWING;
    private final HandoverState handover = new HandoverState();

    LocalPartition(
            PartitionContext context,
            PartitionId partition,
            Listener listener,
            AppendAllowance allowance,
            BodyReader bodyReader,
            long nowMs) {
        this.context = context;
        this.partition = partition;
        this.listener = listener;
        this.startedAtMs = nowMs;
        this.streamReader = new PartitionStreamReader(context, partition, this);
        this.appender = new GroupAppender(context, partition, allowance);
        this.checkpointWriter = new CheckpointWriter(context, partition, appender, bodyReader);
        this.fold = context.newFold(partition);
    }

    void start(long nowMs, Effects out) {
        streamReader.start(nowMs, out);
    }

    void stop() {
        streamReader.stop();
    }

    /** Claims the partition, superseding the epoch that the fold has reached. */
    void claim(long nowMs, Effects out) {
        role = Role.CLAIMING;
        appender.claim(fold.epoch(), nowMs, out);
    }

    long propose(DurableRecord record, boolean urgent, long nowMs, Effects out) {
        return appender.propose(record, urgent, nowMs, out);
    }

    /** Releases the partition, to the successor if there is one, after all earlier proposals have been appended. */
    void release(Optional<HostId> successor, long nowMs, Effects out) {
        role = Role.RELEASING;
        appender.release(successor.map(HostId::value).orElse(""), nowMs, out);
    }

    void maintain(long nowMs, Effects out) {
        if (role == Role.OWNING) {
            checkpointWriter.maintain(fold, nowMs, out);
        }
    }

    void appendIfDue(long nowMs, Effects out) {
        appender.appendIfDue(nowMs, out);
    }

    void retryRead(long nowMs, Effects out) {
        streamReader.retry(nowMs, out);
    }

    void logRead(Event.LogRead read, long nowMs, Effects out) {
        streamReader.logRead(read, nowMs, out);
    }

    void readFailed(Event.LogReadFailed failed, long nowMs, Effects out) {
        streamReader.readFailed(failed, nowMs, out);
    }

    void appended(StreamName stream, long appendNumber, long nowMs, Effects out) {
        if (stream.equals(partition.stream())) {
            appender.appended(appendNumber, nowMs, out);
        } else {
            checkpointWriter.pointerAppended(appendNumber);
        }
    }

    void appendFailed(Event.AppendFailed failed, long nowMs, Effects out) {
        if (failed.stream().equals(partition.stream())) {
            appender.appendFailed(failed.appendNumber(), failed.retryAfterMs(), nowMs, out);
        } else {
            checkpointWriter.pointerFailed(failed.appendNumber());
        }
    }

    @Override
    public void foldStarts(PartitionFold started, long nowMs) {
        fold = started;
    }

    @Override
    public void recordRead(LogRecord record, long nowMs, Effects out) {
        checkpointWriter.countReplayRecord(
                record.appendedAtMs(), record.payload().size());
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
        appender.appendIfDue(nowMs, out);
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

    HandoverState handover() {
        return handover;
    }

    long startedAtMs() {
        return startedAtMs;
    }

    boolean tailing() {
        return streamReader.tailing();
    }

    long nextOffset() {
        return streamReader.nextOffset();
    }

    GroupAppender appender() {
        return appender;
    }

    long replayBytes() {
        return checkpointWriter.replayBytes();
    }

    private void foldGroup(LogRecord record, Group group, long nowMs, Effects out) {
        boolean own = group.getWriter().equals(context.identity.writer());
        List<Long> proposals = own ? appender.readBack(group) : List.of();
        if (role == Role.OWNING) {
            context.cache.put(partition.stream(), record.offset(), group);
        }
        PartitionFold.Outcome outcome = fold.apply(record.offset(), record.appendedAtMs(), group, position -> {
            if (position.index() < proposals.size()) {
                notifyApplied(group, proposals.get(position.index()), position, nowMs, out);
            }
        });
        switch (outcome) {
            case CLAIMED -> claimed(own, nowMs, out);
            case RELEASED -> released(own, nowMs, out);
            case APPLIED -> applied(record, group, own, nowMs, out);
            default -> context.metrics.voidGroups.inc();
        }
    }

    private void notifyApplied(Group group, long proposal, RecordPosition position, long nowMs, Effects out) {
        String slice = group.getRecords().getRecords(position.index()).getSlice();
        context.clients.get(slice).proposalApplied(partition, proposal, position, nowMs, out);
    }

    private void claimed(boolean own, long nowMs, Effects out) {
        if (own && role == Role.CLAIMING) {
            role = Role.OWNING;
            appender.setEpoch(fold.epoch());
            listener.gained(this, nowMs, out);
        } else if (role != Role.FOLLOWING) {
            ownershipEnded(nowMs, out);
        }
    }

    private void released(boolean own, long nowMs, Effects out) {
        if (own && role == Role.RELEASING) {
            ownershipEnded(nowMs, out);
        }
    }

    private void ownershipEnded(long nowMs, Effects out) {
        Role previous = role;
        role = Role.FOLLOWING;
        stop();
        listener.lost(this, previous, nowMs, out);
    }

    private void applied(LogRecord record, Group group, boolean own, long nowMs, Effects out) {
        if (!own) {
            return;
        }
        if (group.hasCheckpoint()) {
            checkpointWriter.partReadBack(group.getCheckpoint(), record.offset(), nowMs, out);
        } else if (group.hasCarried()) {
            checkpointWriter.carriedRecordsReadBack(group.getCarried().getRecordsCount());
        }
    }
}
