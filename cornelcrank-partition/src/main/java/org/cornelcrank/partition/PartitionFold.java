package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.partition.wire.CarriedRecord;
import org.cornelcrank.partition.wire.CheckpointPart;
import org.cornelcrank.partition.wire.Claim;
import org.cornelcrank.partition.wire.FoldHeader;
import org.cornelcrank.partition.wire.Group;
import org.cornelcrank.partition.wire.Record;

/**
 * The deterministic fold over a partition's stream: the partition's owner and the state of every slice.
 *
 * <p>Invariants: the epoch is the offset of the last claim that took effect, so it only increases. A claim takes effect
 * if and only if it supersedes the epoch that is current at its offset. Any other group takes effect if and only if it
 * was written in the epoch that is current at its offset, by the writer whose claim began that epoch, before that
 * writer's release, and with a higher sequence number than the last group that took effect. Because an epoch has only
 * one writer, that single sequence number suffices to apply a repeated group only once. Not thread-safe: confined to
 * the daemon's event loop.
 */
final class PartitionFold {

    /** The epoch of a partition that has never been claimed. */
    static final long NO_EPOCH = -1;

    private final Map<String, PartitionState> states = new TreeMap<>();
    private final OffsetTimeIndex offsetTimeIndex;
    private long throughOffset = -1;
    private long epoch = NO_EPOCH;
    private String ownerWriter = "";
    private String ownerHost = "";
    private boolean released;
    private String successor = "";
    private long lastSequence;

    PartitionFold(Map<String, PartitionState> states, OffsetTimeIndex offsetTimeIndex) {
        this.states.putAll(states);
        this.offsetTimeIndex = Objects.requireNonNull(offsetTimeIndex, "offsetTimeIndex must not be null");
    }

    /** The effect of a group. */
    enum Outcome {
        CLAIMED,
        RELEASED,
        APPLIED,
        VOID
    }

    /** Listener that is called right after each record was applied. */
    interface RecordListener {
        void recordApplied(RecordPosition position);
    }

    /** Applies the group at the next offset; offsets must increase. */
    Outcome apply(long offset, long appendedAtMs, Group group, RecordListener listener) {
        skip(offset, appendedAtMs);
        if (group.hasClaim()) {
            return applyClaim(offset, group.getWriter(), group.getClaim());
        }
        if (!takesEffect(group)) {
            return Outcome.VOID;
        }
        lastSequence = group.getSequence();
        switch (group.getBodyCase()) {
            case RELEASE -> {
                released = true;
                successor = group.getRelease().getSuccessor();
                return Outcome.RELEASED;
            }
            case RECORDS -> applyRecords(offset, group, listener);
            case CARRIED -> applyCarried(offset, group);
            default -> {
                // The parts of a checkpoint describe the state but do not change it.
            }
        }
        return Outcome.APPLIED;
    }

    /** Skips the record at the next offset, which is not a valid group. */
    void skip(long offset, long appendedAtMs) {
        if (offset <= throughOffset) {
            throw new IllegalArgumentException("offset must be above " + throughOffset + " but was " + offset);
        }
        throughOffset = offset;
        offsetTimeIndex.add(offset, appendedAtMs);
    }

    /** Returns the complete state as the parts of a checkpoint, each of at most roughly the given size. */
    List<CheckpointPart> checkpoint(int maxPartBytes) {
        List<CheckpointPart.Builder> parts = new ArrayList<>();
        parts.add(CheckpointPart.newBuilder().setHeader(header()));
        int partBytes = parts.get(0).getHeader().getSerializedSize();
        for (Map.Entry<String, PartitionState> state : states.entrySet()) {
            for (ByteString payload : state.getValue().checkpoint()) {
                if (partBytes > 0 && partBytes + payload.size() > maxPartBytes) {
                    parts.add(CheckpointPart.newBuilder());
                    partBytes = 0;
                }
                parts.get(parts.size() - 1)
                        .addPayloads(
                                Record.newBuilder().setSlice(state.getKey()).setPayload(payload));
                partBytes += payload.size();
            }
        }
        List<CheckpointPart> numbered = new ArrayList<>();
        for (CheckpointPart.Builder part : parts) {
            numbered.add(part.setThroughOffset(throughOffset)
                    .setIndex(numbered.size())
                    .setCount(parts.size())
                    .build());
        }
        return numbered;
    }

    /** Replaces this state by that of a complete checkpoint. */
    void restore(List<CheckpointPart> parts) {
        FoldHeader header = parts.get(0).getHeader();
        throughOffset = parts.get(0).getThroughOffset();
        epoch = header.getEpoch();
        ownerWriter = header.getOwnerWriter();
        ownerHost = header.getOwnerHost();
        released = header.getReleased();
        successor = header.getSuccessor();
        lastSequence = header.getLastSequence();
        offsetTimeIndex.restore(header.getOffsetTimesList());
        Map<String, List<ByteString>> payloadsBySlice = new TreeMap<>();
        for (CheckpointPart part : parts) {
            for (Record payload : part.getPayloadsList()) {
                payloadsBySlice
                        .computeIfAbsent(payload.getSlice(), slice -> new ArrayList<>())
                        .add(payload.getPayload());
            }
        }
        states.forEach((slice, state) -> state.restore(payloadsBySlice.getOrDefault(slice, List.of())));
    }

    PartitionState state(String slice) {
        return states.get(slice);
    }

    Map<String, PartitionState> states() {
        return states;
    }

    long throughOffset() {
        return throughOffset;
    }

    long epoch() {
        return epoch;
    }

    String ownerWriter() {
        return ownerWriter;
    }

    String ownerHost() {
        return ownerHost;
    }

    boolean released() {
        return released;
    }

    String successor() {
        return successor;
    }

    OffsetTimeIndex offsetTimeIndex() {
        return offsetTimeIndex;
    }

    private Outcome applyClaim(long offset, String writer, Claim claim) {
        if (claim.getSupersedes() != epoch) {
            return Outcome.VOID;
        }
        epoch = offset;
        ownerWriter = writer;
        ownerHost = claim.getOwner();
        released = false;
        successor = "";
        lastSequence = 0;
        return Outcome.CLAIMED;
    }

    private boolean takesEffect(Group group) {
        return group.getEpoch() == epoch
                && group.getWriter().equals(ownerWriter)
                && !released
                && group.getSequence() > lastSequence;
    }

    private void applyRecords(long offset, Group group, RecordListener listener) {
        int index = 0;
        for (Record record : group.getRecords().getRecordsList()) {
            RecordPosition position = new RecordPosition(offset, index);
            PartitionState state = states.get(record.getSlice());
            if (state != null) {
                DurableRecord durable = new DurableRecord(record.getSlice(), record.getPayload());
                state.apply(durable, position, group.getWrittenAtMs());
            }
            listener.recordApplied(position);
            index++;
        }
    }

    private void applyCarried(long offset, Group group) {
        int index = 0;
        for (CarriedRecord record : group.getCarried().getRecordsList()) {
            PartitionState state = states.get(record.getSlice());
            if (state != null) {
                RecordPosition from = new RecordPosition(record.getFromOffset(), record.getFromIndex());
                state.moved(from, new RecordPosition(offset, index));
            }
            index++;
        }
    }

    private FoldHeader header() {
        return FoldHeader.newBuilder()
                .setEpoch(epoch)
                .setOwnerWriter(ownerWriter)
                .setOwnerHost(ownerHost)
                .setReleased(released)
                .setSuccessor(successor)
                .setLastSequence(lastSequence)
                .addAllOffsetTimes(offsetTimeIndex.toWire())
                .build();
    }
}
