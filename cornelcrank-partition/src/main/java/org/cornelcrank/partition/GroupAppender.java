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
 * Appends groups of records to one partition's stream (group commit).
 *
 * <p>Invariants: at most one append is in flight. A group whose response was lost is appended again with the same
 * sequence number before any later group, so that groups take effect in the order of their sequence numbers. No group
 * counts as written before it was read back. Not thread-safe: confined to the daemon's event loop.
 */
final class GroupAppender {

    /** Maximum number of groups that were appended but not read back yet. */
    private static final int MAX_UNCONFIRMED_GROUPS = 16;

    private static final long NO_RETRY = -1;

    private record Proposal(long number, DurableRecord record, boolean urgent) {}

    private static final class InFlightAppend {
        private final Group group;
        private final ByteString payload;
        private long appendNumber;
        private long retryAtMs = NO_RETRY;

        private InFlightAppend(Group group) {
            this.group = group;
            this.payload = GroupCodec.encode(group);
        }
    }

    private final PartitionContext context;
    private final PartitionId partition;
    private final AppendAllowance allowance;
    private final Backoff backoff;
    private final Deque<Proposal> waitingProposals = new ArrayDeque<>();
    private final Deque<Group.Builder> controlGroups = new ArrayDeque<>();
    private final Map<Long, List<Long>> unconfirmedProposals = new TreeMap<>();
    private long epoch = PartitionFold.NO_EPOCH;
    private long waitingBytes;
    private long unconfirmedBytes;
    private int waitingUrgent;
    private boolean preferControlGroup;
    private InFlightAppend inFlight;

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
        controlGroups.add(Group.newBuilder().setClaim(claim));
        appendIfDue(nowMs, out);
    }

    /** Sets the epoch in which all later groups are written. */
    void setEpoch(long claimedEpoch) {
        epoch = claimedEpoch;
    }

    long propose(DurableRecord record, boolean urgent, long nowMs, Effects out) {
        long number = context.nextNumber();
        waitingProposals.add(new Proposal(number, record, urgent));
        waitingBytes += record.payload().size();
        waitingUrgent += urgent ? 1 : 0;
        allowance.recordAdded();
        appendIfDue(nowMs, out);
        return number;
    }

    void checkpointPart(CheckpointPart part) {
        controlGroups.add(Group.newBuilder().setCheckpoint(part));
    }

    void carryOver(CarriedRecords records) {
        controlGroups.add(Group.newBuilder().setCarried(records));
    }

    /** Releases the partition once all earlier proposals have been appended. */
    void release(String successor, long nowMs, Effects out) {
        controlGroups.removeIf(group -> !group.hasClaim());
        controlGroups.add(Group.newBuilder().setRelease(Release.newBuilder().setSuccessor(successor)));
        appendIfDue(nowMs, out);
    }

    /** Appends or retries the next group if it is due, or schedules its append. */
    void appendIfDue(long nowMs, Effects out) {
        if (inFlight != null) {
            if (inFlight.retryAtMs != NO_RETRY && nowMs >= inFlight.retryAtMs) {
                context.metrics.appendsRetried.inc();
                send(nowMs, out);
            }
            return;
        }
        if (unconfirmedProposals.size() >= MAX_UNCONFIRMED_GROUPS) {
            return;
        }
        boolean controlGroup = isControlGroupNext();
        if (!controlGroup && waitingProposals.isEmpty()) {
            return;
        }
        boolean packed = !controlGroup && !skipsPacking();
        long waitMs = allowance.waitMs(packed, nowMs);
        if (waitMs > 0) {
            out.schedule(context.timer(PartitionContext.APPEND_TIMER, partition), nowMs + waitMs);
            return;
        }
        allowance.consume(packed);
        preferControlGroup = !controlGroup;
        inFlight = new InFlightAppend(stamp(controlGroup ? controlGroups.poll() : packRecords(), nowMs));
        context.metrics.appendedBytes.inc(inFlight.payload.size());
        send(nowMs, out);
    }

    void appended(long appendNumber, long nowMs, Effects out) {
        if (inFlight != null && inFlight.appendNumber == appendNumber) {
            inFlight = null;
            backoff.reset();
            appendIfDue(nowMs, out);
        }
    }

    void appendFailed(long appendNumber, long retryAfterMs, long nowMs, Effects out) {
        if (inFlight != null && inFlight.appendNumber == appendNumber) {
            inFlight.retryAtMs = nowMs + Math.max(retryAfterMs, backoff.nextDelayMs());
            out.schedule(context.timer(PartitionContext.APPEND_TIMER, partition), inFlight.retryAtMs);
        }
    }

    /** Returns the proposals of a group that was read back, in order; empty if the group was read back before. */
    List<Long> readBack(Group group) {
        if (inFlight != null && inFlight.group.getSequence() == group.getSequence()) {
            inFlight = null;
            backoff.reset();
        }
        List<Long> proposals = unconfirmedProposals.remove(group.getSequence());
        if (proposals == null) {
            return List.of();
        }
        for (Record record : group.getRecords().getRecordsList()) {
            unconfirmedBytes -= record.getPayload().size();
        }
        return proposals;
    }

    long pendingBytes() {
        return waitingBytes + unconfirmedBytes;
    }

    int pendingRecords() {
        return waitingProposals.size();
    }

    boolean hasPendingControlGroup() {
        return !controlGroups.isEmpty() || inFlight != null && !inFlight.group.hasRecords();
    }

    AppendAllowance allowance() {
        return allowance;
    }

    private boolean isControlGroupNext() {
        if (controlGroups.isEmpty()) {
            return false;
        }
        if (waitingProposals.isEmpty() || controlGroups.peek().hasClaim()) {
            return true;
        }
        return preferControlGroup && !controlGroups.peek().hasRelease();
    }

    private boolean skipsPacking() {
        boolean releasing = !controlGroups.isEmpty() && controlGroups.peekLast().hasRelease();
        return waitingUrgent > 0 || waitingBytes >= context.settings.append().maxGroupBytes() || releasing;
    }

    private Group.Builder packRecords() {
        Records.Builder records = Records.newBuilder();
        List<Long> proposals = new ArrayList<>();
        long bytes = 0;
        while (!waitingProposals.isEmpty()) {
            Proposal proposal = waitingProposals.peek();
            int size = proposal.record().payload().size();
            if (!proposals.isEmpty() && bytes + size > context.settings.append().maxGroupBytes()) {
                break;
            }
            waitingProposals.remove();
            bytes += size;
            waitingUrgent -= proposal.urgent() ? 1 : 0;
            proposals.add(proposal.number());
            records.addRecords(Record.newBuilder()
                    .setSlice(proposal.record().slice())
                    .setPayload(proposal.record().payload()));
        }
        waitingBytes -= bytes;
        unconfirmedBytes += bytes;
        context.metrics.appendedRecords.inc(proposals.size());
        Group.Builder group = Group.newBuilder().setRecords(records);
        group.setSequence(context.nextSequence());
        unconfirmedProposals.put(group.getSequence(), proposals);
        return group;
    }

    private Group stamp(Group.Builder group, long nowMs) {
        if (group.getSequence() == 0) {
            group.setSequence(context.nextSequence());
        }
        return group.setWriter(context.identity.writer())
                .setEpoch(epoch)
                .setWrittenAtMs(nowMs)
                .build();
    }

    private void send(long nowMs, Effects out) {
        inFlight.appendNumber = context.nextNumber();
        inFlight.retryAtMs = NO_RETRY;
        context.metrics.appends.inc();
        context.logHealth.requestSent(nowMs);
        out.add(new Effect.Append(partition.stream(), inFlight.appendNumber, inFlight.payload));
    }
}
