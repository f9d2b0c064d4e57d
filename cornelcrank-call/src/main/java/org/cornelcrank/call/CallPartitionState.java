package org.cornelcrank.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.call.wire.CallCheckpoint;
import org.cornelcrank.call.wire.CallFinishedRecord;
import org.cornelcrank.call.wire.CallIntendedRecord;
import org.cornelcrank.call.wire.CallNotRunRecord;
import org.cornelcrank.call.wire.CallRecord;
import org.cornelcrank.call.wire.GuardSnapshot;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.PartitionState;
import org.cornelcrank.partition.RecordPosition;

/**
 * The guards of one partition, folded from its records.
 *
 * <p>Invariants: the first intent record of a key takes effect, and every other one is void until the guard is removed;
 * only the run that the intent record names can finish the guard, once, or remove it by proving that it did not run.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class CallPartitionState implements PartitionState {

    private static final int GUARDS_PER_PAYLOAD = 500;

    private final SortedMap<CallKey, CallGuard> guards = new TreeMap<>();

    @Override
    public void apply(DurableRecord record, RecordPosition position, long writtenAtMs) {
        CallRecord call;
        try {
            call = CallRecord.parseFrom(record.payload());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("record must be a call record but cannot be parsed", e);
        }
        switch (call.getRecordCase()) {
            case INTENDED -> addGuard(call.getIntended(), writtenAtMs);
            case FINISHED -> recordResponse(call.getFinished(), position);
            case NOT_RUN -> removeGuard(call.getNotRun());
            case EXPIRED -> guards.values()
                    .removeIf(guard -> guard.intendedAtMs() < call.getExpired().getIntendedBeforeMs());
            default -> {
                // The record was written by a newer version; this version has no state for it.
            }
        }
    }

    @Override
    public List<ByteString> checkpoint() {
        List<ByteString> payloads = new ArrayList<>();
        CallCheckpoint.Builder part = CallCheckpoint.newBuilder();
        guards.forEach((key, guard) -> {
            part.addGuards(snapshot(key, guard));
            if (part.getGuardsCount() == GUARDS_PER_PAYLOAD) {
                payloads.add(part.build().toByteString());
                part.clear();
            }
        });
        if (part.getGuardsCount() > 0) {
            payloads.add(part.build().toByteString());
        }
        return payloads;
    }

    @Override
    public void restore(List<ByteString> payloads) {
        guards.clear();
        for (ByteString payload : payloads) {
            try {
                CallCheckpoint.parseFrom(payload).getGuardsList().forEach(this::restore);
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalArgumentException("payload must be part of a checkpoint but cannot be parsed", e);
            }
        }
    }

    @Override
    public List<RecordPosition> neededBefore(long offset, int limit) {
        return guards.values().stream()
                .flatMap(guard -> guard.responsePosition().stream())
                .filter(position -> position.offset() < offset)
                .sorted()
                .limit(limit)
                .toList();
    }

    @Override
    public void moved(RecordPosition from, RecordPosition to) {
        guards.replaceAll((key, guard) ->
                guard.responsePosition().filter(from::equals).isPresent() ? guard.withResponseAt(to) : guard);
    }

    Optional<CallGuard> guard(CallKey key) {
        return Optional.ofNullable(guards.get(key));
    }

    int size() {
        return guards.size();
    }

    long unfinished() {
        return guards.values().stream().filter(guard -> !guard.finished()).count();
    }

    boolean hasIntendedBefore(long timeMs) {
        return guards.values().stream().anyMatch(guard -> guard.intendedAtMs() < timeMs);
    }

    private void addGuard(CallIntendedRecord record, long atMs) {
        guards.putIfAbsent(
                new CallKey(record.getTeam(), record.getKey()),
                new CallGuard(record.getRun(), record.getDigest(), atMs, Optional.empty()));
    }

    private void recordResponse(CallFinishedRecord record, RecordPosition position) {
        CallKey key = new CallKey(record.getTeam(), record.getKey());
        guards.computeIfPresent(
                key,
                (found, guard) -> guard.finished() || !guard.run().equals(record.getRun())
                        ? guard
                        : guard.withResponseAt(position));
    }

    private void removeGuard(CallNotRunRecord record) {
        CallKey key = new CallKey(record.getTeam(), record.getKey());
        CallGuard guard = guards.get(key);
        if (guard != null && !guard.finished() && guard.run().equals(record.getRun())) {
            guards.remove(key);
        }
    }

    private void restore(GuardSnapshot snapshot) {
        Optional<RecordPosition> responsePosition = snapshot.getFinished()
                ? Optional.of(new RecordPosition(snapshot.getAnswerOffset(), snapshot.getAnswerIndex()))
                : Optional.empty();
        guards.put(
                new CallKey(snapshot.getTeam(), snapshot.getKey()),
                new CallGuard(snapshot.getRun(), snapshot.getDigest(), snapshot.getIntendedAtMs(), responsePosition));
    }

    private static GuardSnapshot snapshot(CallKey key, CallGuard guard) {
        GuardSnapshot.Builder snapshot = GuardSnapshot.newBuilder()
                .setTeam(key.team())
                .setKey(key.key())
                .setRun(guard.run())
                .setDigest(guard.digest())
                .setIntendedAtMs(guard.intendedAtMs())
                .setFinished(guard.finished());
        guard.responsePosition().ifPresent(position -> snapshot.setAnswerOffset(position.offset())
                .setAnswerIndex(position.index()));
        return snapshot.build();
    }
}
