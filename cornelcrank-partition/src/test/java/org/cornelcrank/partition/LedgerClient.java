package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;

/** A client for tests that records every call. */
final class LedgerClient implements PartitionClient {

    static final String SLICE = "ledger";

    private final Map<PartitionId, Ledger> owned = new TreeMap<>();
    private final Map<Long, RecordPosition> applied = new TreeMap<>();
    private final Map<Long, Integer> timesApplied = new TreeMap<>();
    private final List<Map<RecordPosition, ByteString>> bodies = new ArrayList<>();
    private final Map<Long, Long> proposedAtMs = new TreeMap<>();
    private final List<Long> latenciesMs = new ArrayList<>();
    private int unavailable;

    @Override
    public String slice() {
        return SLICE;
    }

    @Override
    public PartitionState newState(PartitionId partition) {
        return new Ledger();
    }

    @Override
    public void ownershipGained(PartitionId partition, PartitionState state, long nowMs, Effects out) {
        owned.put(partition, (Ledger) state);
    }

    @Override
    public void ownershipLost(PartitionId partition, long nowMs, Effects out) {
        owned.remove(partition);
    }

    @Override
    public void proposalApplied(
            PartitionId partition, long proposal, RecordPosition position, long nowMs, Effects out) {
        applied.put(proposal, position);
        timesApplied.merge(proposal, 1, Integer::sum);
        latenciesMs.add(nowMs - proposedAtMs.getOrDefault(proposal, nowMs));
    }

    @Override
    public void bodiesRead(
            PartitionId partition, long readNumber, Map<RecordPosition, ByteString> read, long nowMs, Effects out) {
        bodies.add(read);
    }

    @Override
    public void bodiesUnavailable(PartitionId partition, long readNumber, long nowMs, Effects out) {
        unavailable++;
    }

    Map<PartitionId, Ledger> owned() {
        return owned;
    }

    Map<Long, RecordPosition> applied() {
        return applied;
    }

    Map<Long, Integer> timesApplied() {
        return timesApplied;
    }

    List<Map<RecordPosition, ByteString>> bodies() {
        return bodies;
    }

    void recordProposed(long proposal, long nowMs) {
        proposedAtMs.put(proposal, nowMs);
    }

    /** Returns the time from proposal to application for each applied proposal. */
    List<Long> latenciesMs() {
        return latenciesMs;
    }

    int unavailable() {
        return unavailable;
    }
}
