package org.cornelcrank.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Urgency;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EarlyPermitsTests {

    private static final long LIFETIME_MS = 2_000;
    private static final TargetId TARGET = new TargetId("r1");
    private static final HostId HOLDER = new HostId("d1");

    private final EarlyPermits early = new EarlyPermits(LIFETIME_MS);

    @Test
    void lastAdvertisementOfEachHolderIsTakenOnce() {
        HostId other = new HostId("d2");
        early.advertised(HOLDER, running(1, 2), 0);
        early.advertised(other, running(3), 0);
        early.advertised(HOLDER, running(2), 1);
        assertThat(early.take(TARGET, 2))
                .isEqualTo(
                        Map.of(HOLDER, running(2).permits(), other, running(3).permits()));
        assertThat(early.take(TARGET, 2)).isEmpty();
    }

    @Test
    void permitReleasedMeanwhileIsNotTaken() {
        early.advertised(HOLDER, running(1, 2), 0);
        early.released(TARGET, attempt(1));
        assertThat(early.take(TARGET, 1)).isEqualTo(Map.of(HOLDER, running(2).permits()));
    }

    @Test
    void advertisementIsForgottenAfterItsLifetime() {
        early.advertised(HOLDER, running(1), 0);
        assertThat(early.take(TARGET, LIFETIME_MS + 1)).isEmpty();
    }

    private static RoutingMessage.RunningPermits running(long... attempts) {
        List<RoutingMessage.RunningPermit> permits = LongStream.of(attempts)
                .mapToObj(number -> new RoutingMessage.RunningPermit(
                        attempt(number), VirtualFleet.SERVICE, Urgency.IMMEDIATE, 0, false, Optional.empty()))
                .toList();
        return new RoutingMessage.RunningPermits(TARGET, permits);
    }

    private static AttemptId attempt(long number) {
        return new AttemptId(HOLDER, 1, number);
    }
}
