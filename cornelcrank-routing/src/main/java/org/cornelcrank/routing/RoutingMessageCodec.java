package org.cornelcrank.routing;

import java.util.Optional;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.routing.wire.WireAskPermit;
import org.cornelcrank.routing.wire.WireAttemptId;
import org.cornelcrank.routing.wire.WireBatchDemandStated;
import org.cornelcrank.routing.wire.WireBatchGranted;
import org.cornelcrank.routing.wire.WireOccupancy;
import org.cornelcrank.routing.wire.WirePermitGranted;
import org.cornelcrank.routing.wire.WirePermitQueued;
import org.cornelcrank.routing.wire.WirePermitRefused;
import org.cornelcrank.routing.wire.WirePermitReleased;
import org.cornelcrank.routing.wire.WirePermitRevoked;
import org.cornelcrank.routing.wire.WireReachability;
import org.cornelcrank.routing.wire.WireReachabilityReply;
import org.cornelcrank.routing.wire.WireReachabilityRequested;
import org.cornelcrank.routing.wire.WireRoutingMessage;
import org.cornelcrank.routing.wire.WireRunningPermit;
import org.cornelcrank.routing.wire.WireRunningPermits;
import org.cornelcrank.routing.wire.WireStreamBegun;
import org.cornelcrank.routing.wire.WireStreamVersionReply;
import org.cornelcrank.routing.wire.WireStreamVersionRequested;

/**
 * Encodes and decodes the messages about permits.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class RoutingMessageCodec implements PeerMessageCodec {

    @Override
    public String slice() {
        return RoutingStateMachine.NAME;
    }

    @Override
    public boolean supports(PeerMessage message) {
        return message instanceof RoutingMessage;
    }

    @Override
    public ByteString encode(PeerMessage message) {
        WireRoutingMessage.Builder wire = WireRoutingMessage.newBuilder();
        if (message instanceof RoutingMessage.PermitRequested request) {
            wire.setAskPermit(encode(request));
        } else if (message instanceof RoutingMessage.PermitGranted granted) {
            wire.setPermitGranted(WirePermitGranted.newBuilder()
                    .setAttempt(attempt(granted.attempt()))
                    .setTarget(granted.target().value())
                    .setOccupancy(occupancy(granted.occupancy())));
        } else if (message instanceof RoutingMessage.PermitQueued queued) {
            wire.setPermitQueued(WirePermitQueued.newBuilder()
                    .setAttempt(attempt(queued.attempt()))
                    .setTarget(queued.target().value())
                    .setOccupancy(occupancy(queued.occupancy())));
        } else if (message instanceof RoutingMessage.PermitRefused refused) {
            wire.setPermitRefused(WirePermitRefused.newBuilder()
                    .setAttempt(attempt(refused.attempt()))
                    .setTarget(refused.target().value())
                    .setReason(refused.reason().ordinal())
                    .setRetryAfterMs(refused.retryAfterMs())
                    .setController(refused.controller().map(HostId::value).orElse("")));
        } else if (message instanceof RoutingMessage.PermitReleased released) {
            wire.setPermitReleased(WirePermitReleased.newBuilder()
                    .setAttempt(attempt(released.attempt()))
                    .setTarget(released.target().value())
                    .setUse(released.use().ordinal())
                    .setWanted(released.runnable()));
        } else if (message instanceof RoutingMessage.PermitRevoked revoked) {
            wire.setPermitRevoked(WirePermitRevoked.newBuilder()
                    .setAttempt(attempt(revoked.attempt()))
                    .setTarget(revoked.target().value()));
        } else {
            encodeBatch(message, wire);
        }
        return wire.build().toByteString();
    }

    private static void encodeBatch(PeerMessage message, WireRoutingMessage.Builder wire) {
        if (message instanceof RoutingMessage.BatchDemandAdvertised advertised) {
            wire.setBatchDemandStated(WireBatchDemandStated.newBuilder()
                    .setJob(advertised.job().value())
                    .setTeam(advertised.team().value())
                    .setService(advertised.service().value())
                    .setDueInMs(advertised.dueInMs())
                    .setShare(advertised.share())
                    .setWanted(advertised.runnable())
                    .setRemaining(advertised.remaining())
                    .setControllers(advertised.controllers()));
        } else if (message instanceof RoutingMessage.BatchGranted granted) {
            wire.setBatchGranted(WireBatchGranted.newBuilder()
                    .setAttempt(attempt(granted.attempt()))
                    .setTarget(granted.target().value())
                    .setJob(granted.job().value()));
        } else if (message instanceof RoutingMessage.RunningPermits running) {
            WireRunningPermits.Builder permits =
                    WireRunningPermits.newBuilder().setTarget(running.target().value());
            running.permits().forEach(permit -> permits.addPermits(runningPermit(permit)));
            wire.setRunningPermits(permits);
        } else {
            encodeStream(message, wire);
        }
    }

    private static void encodeStream(PeerMessage message, WireRoutingMessage.Builder wire) {
        if (message instanceof RoutingMessage.StreamBegun begun) {
            wire.setStreamBegun(WireStreamBegun.newBuilder()
                    .setKey(begun.key())
                    .setVersion(begun.version().text())
                    .setLifetimeMs((int) begun.lifetimeMs()));
        } else if (message instanceof RoutingMessage.StreamVersionRequested request) {
            wire.setStreamVersionRequested(WireStreamVersionRequested.newBuilder()
                    .setKey(request.key())
                    .setService(request.service().value())
                    .setConfirm(request.confirm()));
        } else if (message instanceof RoutingMessage.StreamVersionReply reply) {
            WireStreamVersionReply.Builder wireReply = WireStreamVersionReply.newBuilder()
                    .setKey(reply.key())
                    .setMixed(reply.mixed())
                    .setConfirmRequested(reply.confirmRequested())
                    .setConfirmed(reply.confirmed());
            reply.version().ifPresent(version -> wireReply.setVersion(version.text()));
            reply.sole().ifPresent(version -> wireReply.setSoleVersion(version.text()));
            wire.setStreamVersionReply(wireReply);
        } else if (message instanceof RoutingMessage.ReachabilityRequested request) {
            wire.setReachabilityRequested(WireReachabilityRequested.newBuilder()
                    .setNumber(request.number())
                    .setTarget(request.target().value()));
        } else if (message instanceof RoutingMessage.ReachabilityReply reply) {
            wire.setReachabilityReply(WireReachabilityReply.newBuilder()
                    .setNumber(reply.number())
                    .setTarget(reply.target().value())
                    .setReachability(
                            WireReachability.valueOf(reply.reachability().name())));
        } else {
            throw new IllegalArgumentException("message must belong to the slice " + RoutingStateMachine.NAME
                    + " but was " + message.getClass().getName());
        }
    }

    private static WireRunningPermit runningPermit(RoutingMessage.RunningPermit permit) {
        return WireRunningPermit.newBuilder()
                .setAttempt(attempt(permit.attempt()))
                .setService(permit.service().value())
                .setUrgency(permit.urgency().ordinal())
                .setAgeMs(permit.ageMs())
                .setSuspect(permit.suspect())
                .setJob(permit.owner().map(owner -> owner.job().value()).orElse(""))
                .setTeam(permit.owner().map(owner -> owner.team().value()).orElse(""))
                .build();
    }

    private static WireAskPermit encode(RoutingMessage.PermitRequested request) {
        WireAskPermit.Builder wire = WireAskPermit.newBuilder()
                .setAttempt(attempt(request.attempt()))
                .setTarget(request.target().value())
                .setService(request.service().value())
                .setUrgency(request.urgency().ordinal())
                .setRemainingMs(request.remainingMs())
                .setSuspect(request.suspect());
        if (request.startWithinMs() != RoutingMessage.PermitRequested.NO_OBJECTIVE) {
            wire.setStartWithinMs(request.startWithinMs());
        }
        return wire.build();
    }

    @Override
    public PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException {
        WireRoutingMessage wire = WireRoutingMessage.parseFrom(payload);
        try {
            return decode(wire);
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            throw new InvalidProtocolBufferException("malformed message about permits: " + e.getMessage());
        }
    }

    private static RoutingMessage decode(WireRoutingMessage wire) throws InvalidProtocolBufferException {
        return switch (wire.getKindCase()) {
            case ASK_PERMIT -> permitRequested(wire.getAskPermit());
            case PERMIT_GRANTED -> new RoutingMessage.PermitGranted(
                    attempt(wire.getPermitGranted().getAttempt()),
                    new TargetId(wire.getPermitGranted().getTarget()),
                    occupancy(wire.getPermitGranted().getOccupancy()));
            case PERMIT_QUEUED -> new RoutingMessage.PermitQueued(
                    attempt(wire.getPermitQueued().getAttempt()),
                    new TargetId(wire.getPermitQueued().getTarget()),
                    occupancy(wire.getPermitQueued().getOccupancy()));
            case PERMIT_REFUSED -> permitRefused(wire.getPermitRefused());
            case PERMIT_RELEASED -> new RoutingMessage.PermitReleased(
                    attempt(wire.getPermitReleased().getAttempt()),
                    new TargetId(wire.getPermitReleased().getTarget()),
                    RoutingMessage.Use.values()[wire.getPermitReleased().getUse()],
                    wire.getPermitReleased().getWanted());
            case PERMIT_REVOKED -> new RoutingMessage.PermitRevoked(
                    attempt(wire.getPermitRevoked().getAttempt()),
                    new TargetId(wire.getPermitRevoked().getTarget()));
            case BATCH_DEMAND_STATED -> batchDemandAdvertised(wire.getBatchDemandStated());
            case BATCH_GRANTED -> new RoutingMessage.BatchGranted(
                    attempt(wire.getBatchGranted().getAttempt()),
                    new TargetId(wire.getBatchGranted().getTarget()),
                    new JobId(wire.getBatchGranted().getJob()));
            case RUNNING_PERMITS -> new RoutingMessage.RunningPermits(
                    new TargetId(wire.getRunningPermits().getTarget()),
                    wire.getRunningPermits().getPermitsList().stream()
                            .map(RoutingMessageCodec::runningPermit)
                            .toList());
            case STREAM_BEGUN -> new RoutingMessage.StreamBegun(
                    wire.getStreamBegun().getKey(),
                    new SoftwareVersion(wire.getStreamBegun().getVersion()),
                    wire.getStreamBegun().getLifetimeMs());
            case STREAM_VERSION_REQUESTED -> new RoutingMessage.StreamVersionRequested(
                    wire.getStreamVersionRequested().getKey(),
                    new ServiceName(wire.getStreamVersionRequested().getService()),
                    wire.getStreamVersionRequested().getConfirm());
            case STREAM_VERSION_REPLY -> streamVersionReply(wire.getStreamVersionReply());
            case REACHABILITY_REQUESTED -> new RoutingMessage.ReachabilityRequested(
                    wire.getReachabilityRequested().getNumber(),
                    new TargetId(wire.getReachabilityRequested().getTarget()));
            case REACHABILITY_REPLY -> new RoutingMessage.ReachabilityReply(
                    wire.getReachabilityReply().getNumber(),
                    new TargetId(wire.getReachabilityReply().getTarget()),
                    reachability(wire.getReachabilityReply().getReachability()));
            case KIND_NOT_SET -> throw new InvalidProtocolBufferException("unknown kind of message about permits");
        };
    }

    private static RoutingMessage.Reachability reachability(WireReachability wire) {
        return switch (wire) {
            case REACHABLE -> RoutingMessage.Reachability.REACHABLE;
            case UNREACHABLE -> RoutingMessage.Reachability.UNREACHABLE;
            default -> RoutingMessage.Reachability.UNSURE;
        };
    }

    private static RoutingMessage.StreamVersionReply streamVersionReply(WireStreamVersionReply wire) {
        Optional<SoftwareVersion> version =
                wire.hasVersion() ? Optional.of(new SoftwareVersion(wire.getVersion())) : Optional.empty();
        Optional<SoftwareVersion> sole =
                wire.hasSoleVersion() ? Optional.of(new SoftwareVersion(wire.getSoleVersion())) : Optional.empty();
        return new RoutingMessage.StreamVersionReply(
                wire.getKey(), version, sole, wire.getMixed(), wire.getConfirmRequested(), wire.getConfirmed());
    }

    private static RoutingMessage.PermitRequested permitRequested(WireAskPermit wire) {
        return new RoutingMessage.PermitRequested(
                attempt(wire.getAttempt()),
                new TargetId(wire.getTarget()),
                new ServiceName(wire.getService()),
                Urgency.values()[wire.getUrgency()],
                wire.getRemainingMs(),
                wire.hasStartWithinMs() ? wire.getStartWithinMs() : RoutingMessage.PermitRequested.NO_OBJECTIVE,
                wire.getSuspect());
    }

    private static RoutingMessage.PermitRefused permitRefused(WirePermitRefused wire) {
        return new RoutingMessage.PermitRefused(
                attempt(wire.getAttempt()),
                new TargetId(wire.getTarget()),
                RoutingMessage.Reason.values()[wire.getReason()],
                wire.getRetryAfterMs(),
                wire.getController().isEmpty() ? Optional.empty() : Optional.of(new HostId(wire.getController())));
    }

    private static RoutingMessage.BatchDemandAdvertised batchDemandAdvertised(WireBatchDemandStated wire) {
        return new RoutingMessage.BatchDemandAdvertised(
                new JobId(wire.getJob()),
                new TeamPath(wire.getTeam()),
                new ServiceName(wire.getService()),
                wire.getDueInMs(),
                wire.getShare(),
                wire.getWanted(),
                wire.getRemaining(),
                wire.getControllers());
    }

    private static RoutingMessage.RunningPermit runningPermit(WireRunningPermit wire) {
        Optional<RoutingMessage.BatchOwner> owner = wire.getJob().isEmpty()
                ? Optional.empty()
                : Optional.of(new RoutingMessage.BatchOwner(new JobId(wire.getJob()), new TeamPath(wire.getTeam())));
        return new RoutingMessage.RunningPermit(
                attempt(wire.getAttempt()),
                new ServiceName(wire.getService()),
                Urgency.values()[wire.getUrgency()],
                wire.getAgeMs(),
                wire.getSuspect(),
                owner);
    }

    private static WireAttemptId attempt(AttemptId attempt) {
        return WireAttemptId.newBuilder()
                .setHost(attempt.host().value())
                .setIncarnation(attempt.incarnation())
                .setNumber(attempt.number())
                .build();
    }

    private static AttemptId attempt(WireAttemptId wire) {
        return new AttemptId(new HostId(wire.getHost()), wire.getIncarnation(), wire.getNumber());
    }

    static WireOccupancy occupancy(TargetOccupancy occupancy) {
        return WireOccupancy.newBuilder()
                .setSlots(occupancy.slots())
                .setRunning(occupancy.running())
                .setWaiting(occupancy.waiting())
                .setExpectedWaitMs(occupancy.expectedWaitMs())
                .addAllLoaded(occupancy.loaded())
                .build();
    }

    static TargetOccupancy occupancy(WireOccupancy wire) {
        return new TargetOccupancy(
                wire.getSlots(),
                wire.getRunning(),
                wire.getWaiting(),
                wire.getExpectedWaitMs(),
                new TreeSet<>(wire.getLoadedList()));
    }
}
