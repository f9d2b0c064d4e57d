package org.cornelcrank.fleet;

import java.util.Set;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.fleet.wire.WireFleetRecord;
import org.cornelcrank.fleet.wire.WireOrderIntended;
import org.cornelcrank.fleet.wire.WireRolloutCleared;
import org.cornelcrank.fleet.wire.WireRolloutHalted;

/**
 * A record that the holder of a region's claim writes to its partition.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface FleetRecord {

    /** An order is about to be sent; the application of this record proves the claim. */
    record OrderIntended(TargetId target, DesiredState desired) implements FleetRecord {}

    /** A version failed more often than the previous one; it is not rolled out further. */
    record RolloutHalted(ServiceName service, String version, String reason) implements FleetRecord {}

    /** The settings specify a version other than the halted one. */
    record RolloutCleared(ServiceName service) implements FleetRecord {}

    default ByteString encode() {
        WireFleetRecord.Builder wire = WireFleetRecord.newBuilder();
        if (this instanceof OrderIntended intended) {
            wire.setOrderIntended(WireOrderIntended.newBuilder()
                    .setTarget(intended.target.value())
                    .setRole(intended.desired.role())
                    .addAllLoaded(new TreeSet<>(intended.desired.loaded())));
        } else if (this instanceof RolloutHalted halted) {
            wire.setRolloutHalted(WireRolloutHalted.newBuilder()
                    .setService(halted.service.value())
                    .setVersion(halted.version)
                    .setReason(halted.reason));
        } else if (this instanceof RolloutCleared cleared) {
            wire.setRolloutCleared(WireRolloutCleared.newBuilder().setService(cleared.service.value()));
        }
        return wire.build().toByteString();
    }

    /**
     * Decodes a record.
     *
     * @throws InvalidProtocolBufferException if the bytes are not a record of a known kind
     */
    static FleetRecord decode(ByteString payload) throws InvalidProtocolBufferException {
        WireFleetRecord wire = WireFleetRecord.parseFrom(payload);
        switch (wire.getKindCase()) {
            case ORDER_INTENDED:
                WireOrderIntended intended = wire.getOrderIntended();
                DesiredState desired = new DesiredState(intended.getRole(), Set.copyOf(intended.getLoadedList()));
                return new OrderIntended(new TargetId(intended.getTarget()), desired);
            case ROLLOUT_HALTED:
                WireRolloutHalted halted = wire.getRolloutHalted();
                return new RolloutHalted(new ServiceName(halted.getService()), halted.getVersion(), halted.getReason());
            case ROLLOUT_CLEARED:
                return new RolloutCleared(
                        new ServiceName(wire.getRolloutCleared().getService()));
            default:
                throw new InvalidProtocolBufferException("fleet record is of an unknown kind");
        }
    }
}
