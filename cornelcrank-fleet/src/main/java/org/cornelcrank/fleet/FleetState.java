package org.cornelcrank.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.PartitionState;
import org.cornelcrank.partition.RecordPosition;

/**
 * The last order of each target and the halted roll-outs, as replayed from the partition's log.
 *
 * <p>Invariant: depends only on the applied records. Not thread-safe: confined to the daemon's event loop.
 */
final class FleetState implements PartitionState {

    private final TreeMap<TargetId, FleetRecord.OrderIntended> lastOrders = new TreeMap<>();
    private final TreeMap<ServiceName, FleetRecord.RolloutHalted> halted = new TreeMap<>();

    @Override
    public void apply(DurableRecord record, RecordPosition position, long writtenAtMs) {
        apply(record.payload());
    }

    @Override
    public List<ByteString> checkpoint() {
        List<ByteString> payloads = new ArrayList<>();
        lastOrders.values().forEach(order -> payloads.add(order.encode()));
        halted.values().forEach(rollout -> payloads.add(rollout.encode()));
        return payloads;
    }

    @Override
    public void restore(List<ByteString> payloads) {
        lastOrders.clear();
        halted.clear();
        payloads.forEach(this::apply);
    }

    @Override
    public List<RecordPosition> neededBefore(long offset, int most) {
        return List.of();
    }

    @Override
    public void moved(RecordPosition from, RecordPosition to) {
        throw new IllegalStateException("the fleet needs no record bodies but one was moved from " + from);
    }

    Optional<DesiredState> lastOrder(TargetId target) {
        return Optional.ofNullable(lastOrders.get(target)).map(FleetRecord.OrderIntended::desired);
    }

    boolean isHalted(ServiceName service, String version) {
        FleetRecord.RolloutHalted rollout = halted.get(service);
        return rollout != null && rollout.version().equals(version);
    }

    Map<ServiceName, FleetRecord.RolloutHalted> halted() {
        return halted;
    }

    private void apply(ByteString payload) {
        FleetRecord record;
        try {
            record = FleetRecord.decode(payload);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return;
        }
        if (record instanceof FleetRecord.OrderIntended intended) {
            lastOrders.put(intended.target(), intended);
        } else if (record instanceof FleetRecord.RolloutHalted rollout) {
            halted.put(rollout.service(), rollout);
        } else if (record instanceof FleetRecord.RolloutCleared cleared) {
            halted.remove(cleared.service());
        }
    }
}
