package org.cornelcrank.fleet;

import java.util.Set;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;
import org.cornelcrank.fleet.wire.FleetEnvelope;
import org.cornelcrank.fleet.wire.WireTargetLost;
import org.cornelcrank.fleet.wire.WireTargetSeen;

/**
 * Encodes and decodes the messages of the fleet slice.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class FleetMessageCodec implements PeerMessageCodec {

    @Override
    public String slice() {
        return FleetStateMachine.NAME;
    }

    @Override
    public boolean supports(PeerMessage message) {
        return message instanceof FleetMessage;
    }

    @Override
    public ByteString encode(PeerMessage message) {
        FleetEnvelope.Builder envelope = FleetEnvelope.newBuilder();
        if (message instanceof FleetMessage.TargetSeen seen) {
            TargetReport report = seen.report();
            envelope.setTargetSeen(WireTargetSeen.newBuilder()
                    .setTarget(report.target().value())
                    .setMeasuredAtMs(report.measuredAtMs())
                    .setSlots(report.slots())
                    .setRunning(report.running())
                    .setQueued(report.queued())
                    .addAllLoaded(new TreeSet<>(report.loaded()))
                    .setLeaving(report.leaving())
                    .setFencingNumber(report.fencingNumber())
                    .setAttempts(seen.attempts())
                    .setFailures(seen.failures()));
        } else if (message instanceof FleetMessage.TargetLost lost) {
            envelope.setTargetLost(
                    WireTargetLost.newBuilder().setTarget(lost.target().value()));
        } else {
            throw new IllegalArgumentException("message must belong to the fleet slice but was " + message);
        }
        return envelope.build().toByteString();
    }

    @Override
    public PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException {
        FleetEnvelope envelope = FleetEnvelope.parseFrom(payload);
        try {
            return decode(envelope);
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException("malformed fleet message: " + e.getMessage());
        }
    }

    private static FleetMessage decode(FleetEnvelope envelope) {
        switch (envelope.getKindCase()) {
            case TARGET_SEEN:
                WireTargetSeen seen = envelope.getTargetSeen();
                TargetReport report = new TargetReport(
                        new TargetId(seen.getTarget()),
                        seen.getMeasuredAtMs(),
                        seen.getSlots(),
                        seen.getRunning(),
                        seen.getQueued(),
                        Set.copyOf(seen.getLoadedList()),
                        seen.getLeaving(),
                        seen.getFencingNumber());
                return new FleetMessage.TargetSeen(report, seen.getAttempts(), seen.getFailures());
            case TARGET_LOST:
                return new FleetMessage.TargetLost(
                        new TargetId(envelope.getTargetLost().getTarget()));
            default:
                throw new IllegalArgumentException("unknown kind of message");
        }
    }
}
