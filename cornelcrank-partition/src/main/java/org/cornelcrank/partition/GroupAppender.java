package org.cornelcrank.partition;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Backoff;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.partition.wire.CarriedRecords;
import org.cornelcrank.partition.wire.CheckpointPart;
import org.cornelcrank.partition.wire.Claim;
import org.cornelcrank.partition.wire.Group;
import org.cornelcrank.partition.wire.Record;
import org.cornelcrank.partition.wire.Records;
import org.cornelcrank.partition.wire.Release;

/**
 * Appends this daemon's groups to one partition's stream, many records in each.
 *
 * <p>Invariants: one append is under way at a time, and a group whose answer was lost is appended again, with the same
 * sequence, before any later group. So groups take effect in the order of their sequences. Nothing is taken for done
 * before it was read back. Not thread-safe: confined to the daemon's event loop.
 */
final class GroupAppender {

    /** Bounds the groups that were appended but not read back yet. */
    private static final int MAX_UNREAD_GROUPS = 16;

    private static final long NOT_WAITING = -1;

    private record Proposal(long number, DurableRecord record, boolean urgent) {}

    private static final class Flight {
        private final Group group;
        private final ByteString payload;
        private long appendNumber;
        private long retryAtMs = NOT_WAITING;

        private Flight(Group group) {
            this.group = group;
            this.payload = GroupCodec.encode(group);
        }
    }

    private final PartitionContext context;
    private final PartitionId partition;
    private final AppendAllowance allowance;
    private final Backoff backoff;
    private final Deque<Proposal> waiting = new ArrayDeque<>();
    private final Deque<Group.Builder> upkeep = new ArrayDeque<>();
    private final Map<Long, List<Long>> unreadProposals = new TreeMap<>();
    private long epoch = PartitionFold.NO_EPOCH;
    private long waitingBytes;
    private long unreadBytes;
    private int urgentWaiting;
    private boolean upkeepNext;
    private Flight flight;

    GroupAppender(PartitionContext context, PartitionId partition, AppendAllowance allowance) {
        this.context = context;
        this.partition = partition;
        this.allowance = allowance;
        this.backoff = context.backoff();
    }

    void claim(long supersedes, long nowMs, Effects out) {
        Claim claim = Claim.newBuilder()
                .setOwner(context.identity.host().value())
                .setSupersedes(supersedes)
                .build();
        upkeep.add(Group.newBuilder().setClaim(claim));
        pump(nowMs, out);
    }

    /** Sets the epoch under which all later groups are written. */
    void ownsSince(long claimedEpoch) {
        epoch = claimedEpoch;
    }

    long propose(DurableRecord record, boolean urgent, long nowMs, Effects out) {
        long number = context.nextNumber();
        waiting.add(new Proposal(number, record, urgent));
        waitingBytes += record.payload().size();
        urgentWaiting += urgent ? 1 : 0;
        allowance.recordAdded();
        pump(nowMs, out);
        return number;
    }

    void checkpointPart(CheckpointPart part) {
        upkeep.add(Group.newBuilder().setCheckpoint(part));
    }

    void carryOver(CarriedRecords records) {
        upkeep.add(Group.newBuilder().setCarried(records));
    }

    /** Gives the partition up once all that was proposed before has been appended. */
    void release(String successor, long nowMs, Effects out) {
        upkeep.removeIf(group -> !group.hasClaim());
        upkeep.add(Group.newBuilder().setRelease(Release.newBuilder().setSuccessor(successor)));
        pump(nowMs, out);
    }

    /** Appends what is due, or schedules the time at which it will be. */
    void pump(long nowMs, Effects out) {
        if (flight != null) {
            if (flight.retryAtMs != NOT_WAITING && nowMs >= flight.retryAtMs) {
                context.metrics.appendsRepeated.inc();
                send(nowMs, out);
            }
            return;
        }
        if (unreadProposals.size() >= MAX_UNREAD_GROUPS) {
            return;
        }
        boolean takeUpkeep = upkeepIsNext();
        if (!takeUpkeep && waiting.isEmpty()) {
            return;
        }
        boolean packed = !takeUpkeep && !appendsWithoutPacking();
        long waitMs = allowance.waitMs(packed, nowMs);
        if (waitMs > 0) {
            out.schedule(context.timer(PartitionContext.PUMP_TIMER, partition), nowMs + waitMs);
            return;
        }
        allowance.take(packed);
        upkeepNext = !takeUpkeep;
        flight = new Flight(number(takeUpkeep ? upkeep.poll() : packRecords(), nowMs));
        context.metrics.appendedBytes.inc(flight.payload.size());
        send(nowMs, out);
    }

    void appended(long appendNumber, long nowMs, Effects out) {
        if (flight != null && flight.appendNumber == appendNumber) {
            flight = null;
            backoff.reset();
            pump(nowMs, out);
        }
    }

    void appendFailed(long appendNumber, long retryAfterMs, long nowMs, Effects out) {
        if (flight != null && flight.appendNumber == appendNumber) {
            flight.retryAtMs = nowMs + Math.max(retryAfterMs, backoff.nextDelayMs());
            out.schedule(context.timer(PartitionContext.PUMP_TIMER, partition), flight.retryAtMs);
        }
    }

    /** Returns the proposals of a group that was read back, in order; empty if it was read back before. */
    List<Long> readBack(Group group) {
        if (flight != null && flight.group.getSequence() == group.getSequence()) {
            flight = null;
            backoff.reset();
        }
        List<Long> proposals = unreadProposals.remove(group.getSequence());
        if (proposals == null) {
            return List.of();
        }
        for (Record record : group.getRecords().getRecordsList()) {
            unreadBytes -= record.getPayload().size();
        }
        return proposals;
    }

    long pendingBytes() {
        return waitingBytes + unreadBytes;
    }

    int pendingRecords() {
        return waiting.size();
    }

    boolean upkeepWaits() {
        return !upkeep.isEmpty() || flight != null && !flight.group.hasRecords();
    }

    AppendAllowance allowance() {
        return allowance;
    }

    private boolean upkeepIsNext() {
        if (upkeep.isEmpty()) {
            return false;
        }
        if (waiting.isEmpty() || upkeep.peek().hasClaim()) {
            return true;
        }
        return upkeepNext && !upkeep.peek().hasRelease();
    }

    private boolean appendsWithoutPacking() {
        boolean releasing = !upkeep.isEmpty() && upkeep.peekLast().hasRelease();
        return urgentWaiting > 0 || waitingBytes >= context.settings.append().maxGroupBytes() || releasing;
    }

    private Group.Builder packRecords() {
        Records.Builder records = Records.newBuilder();
        List<Long> proposals = new ArrayList<>();
        long bytes = 0;
        while (!waiting.isEmpty()) {
            Proposal proposal = waiting.peek();
            int size = proposal.record().payload().size();
            if (!proposals.isEmpty() && bytes + size > context.settings.append().maxGroupBytes()) {
                break;
            }
            waiting.remove();
            bytes += size;
            urgentWaiting -= proposal.urgent() ? 1 : 0;
            proposals.add(proposal.number());
            records.addRecords(Record.newBuilder()
                    .setSlice(proposal.record().slice())
                    .setPayload(proposal.record().payload()));
        }
        waitingBytes -= bytes;
        unreadBytes += bytes;
        context.metrics.appendedRecords.inc(proposals.size());
        Group.Builder group = Group.newBuilder().setRecords(records);
        group.setSequence(context.nextSequence());
        unreadProposals.put(group.getSequence(), proposals);
        return group;
    }

    private Group number(Group.Builder group, long nowMs) {
        if (group.getSequence() == 0) {
            group.setSequence(context.nextSequence());
        }
        return group.setWriter(context.identity.writer())
                .setEpoch(epoch)
                .setWrittenAtMs(nowMs)
                .build();
    }

    private void send(long nowMs, Effects out) {
        flight.appendNumber = context.nextNumber();
        flight.retryAtMs = NOT_WAITING;
        context.metrics.appends.inc();
        context.log.asked(nowMs);
        out.add(new Effect.Append(partition.stream(), flight.appendNumber, flight.payload));
    }
}
