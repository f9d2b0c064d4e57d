package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.routing.wire.WirePermitReleased;
import org.cornelcrank.routing.wire.WireRoutingMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class RoutingMessageCodecTests {

    private static final AttemptId ATTEMPT = new AttemptId(new HostId("d1"), 7, 42);
    private static final TargetId TARGET = new TargetId("r1");
    private static final TargetOccupancy OCCUPANCY =
            new TargetOccupancy(8, 3, 2, 120, new TreeSet<>(List.of("saarthi-lm")));

    private static final SoftwareVersion VERSION = new SoftwareVersion("v1.2");

    private final RoutingMessageCodec codec = new RoutingMessageCodec();

    static Stream<RoutingMessage> messages() {
        RoutingMessage.RunningPermit batch = new RoutingMessage.RunningPermit(
                ATTEMPT,
                VirtualFleet.SERVICE,
                Urgency.BATCH,
                50,
                true,
                Optional.of(new RoutingMessage.BatchOwner(new JobId("j1"), new TeamPath("/nilavu/summaries"))));
        return Stream.of(
                new RoutingMessage.PermitRequested(
                        ATTEMPT,
                        TARGET,
                        VirtualFleet.SERVICE,
                        Urgency.INTERACTIVE,
                        900,
                        RoutingMessage.PermitRequested.NO_OBJECTIVE,
                        true),
                new RoutingMessage.PermitRequested(
                        ATTEMPT, TARGET, VirtualFleet.SERVICE, Urgency.IMMEDIATE, 900, -20, false),
                new RoutingMessage.PermitGranted(ATTEMPT, TARGET, OCCUPANCY),
                new RoutingMessage.PermitQueued(ATTEMPT, TARGET, OCCUPANCY),
                new RoutingMessage.PermitRefused(
                        ATTEMPT, TARGET, RoutingMessage.Reason.NOT_CONTROLLER, 5, Optional.of(new HostId("d2"))),
                new RoutingMessage.PermitReleased(ATTEMPT, TARGET, RoutingMessage.Use.CANCELLED, 12),
                new RoutingMessage.PermitRevoked(ATTEMPT, TARGET),
                new RoutingMessage.BatchDemandAdvertised(
                        new JobId("j1"), new TeamPath("/nilavu"), VirtualFleet.SERVICE, 1_000, 2, 30, 870_000, 4),
                new RoutingMessage.BatchGranted(ATTEMPT, TARGET, new JobId("j1")),
                new RoutingMessage.RunningPermits(TARGET, List.of(batch)),
                new RoutingMessage.StreamBegun(-7, VERSION, 5_000),
                new RoutingMessage.StreamVersionRequested(-7, VirtualFleet.SERVICE, false),
                new RoutingMessage.StreamVersionRequested(-7, VirtualFleet.SERVICE, true),
                new RoutingMessage.StreamVersionReply(-7, Optional.of(VERSION), Optional.empty(), false, false, false),
                new RoutingMessage.StreamVersionReply(-7, Optional.empty(), Optional.of(VERSION), false, true, true),
                new RoutingMessage.StreamVersionReply(-7, Optional.empty(), Optional.empty(), true, true, false));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messageSurvivesARoundTrip(RoutingMessage message) throws InvalidProtocolBufferException {
        assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
    }

    @Test
    void unknownEnumValueIsMalformed() {
        ByteString bytes = WireRoutingMessage.newBuilder()
                .setPermitReleased(
                        WirePermitReleased.newBuilder().setTarget("r1").setUse(99))
                .build()
                .toByteString();
        assertThatThrownBy(() -> codec.decode(bytes)).isInstanceOf(InvalidProtocolBufferException.class);
    }
}
