package org.cornelcrank.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Plays a stop while callers send requests, one every {@link #ARRIVAL_MS} on average. */
class DrainTests {

    private static final long ACCEPT_MS = 3_000;
    private static final long TIMEOUT_MS = 4_000;
    private static final long LIMIT_MS = ACCEPT_MS + TIMEOUT_MS;
    private static final long ARRIVAL_MS = 20;
    private static final long SHORTEST_MS = 100;
    private static final long LONGEST_MS = 2_000;
    private static final long STEP_MS = 10;

    private final Drain drain = new Drain(ACCEPT_MS, TIMEOUT_MS);

    @Test
    void steadyTrafficDoesNotKeepADaemonFromEndingIdle() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(5);
        Deque<Long> endsAtMs = new ArrayDeque<>();
        long refused = 0;
        drain.request(0);
        long nowMs = 0;
        while (!drain.ends(nowMs, true, endsAtMs.size())) {
            nowMs += STEP_MS;
            long atMs = nowMs;
            endsAtMs.removeIf(endAtMs -> endAtMs <= atMs);
            if (random.nextLong(ARRIVAL_MS) >= STEP_MS) {
                continue;
            }
            if (drain.accepts(nowMs)) {
                endsAtMs.add(nowMs + random.nextLong(SHORTEST_MS, LONGEST_MS));
            } else {
                refused++;
            }
        }
        assertThat(endsAtMs).isEmpty();
        assertThat(refused).isPositive();
        assertThat(drain.timedOut(nowMs)).isFalse();
        assertThat(nowMs).isLessThanOrEqualTo(ACCEPT_MS + LONGEST_MS + STEP_MS);
    }

    /** Each request takes until its deadline, as a stream without end does. */
    @Test
    void requestThatTakesUntilItsDeadlineIsNotOpenAtTheTimeLimitIfItArrivedInTheStop() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(5);
        List<Long> acceptedUntilMs = new ArrayList<>();
        drain.request(0);
        for (long nowMs = 0; !drain.endRequests(nowMs); nowMs += STEP_MS) {
            long deadlineAtMs = nowMs + random.nextLong(1, 2 * LIMIT_MS);
            if (drain.accepts(nowMs, deadlineAtMs)) {
                acceptedUntilMs.add(deadlineAtMs);
            }
        }
        assertThat(acceptedUntilMs).hasSizeGreaterThan(10).allMatch(endMs -> endMs < LIMIT_MS);
    }

    @Test
    void requestThatCouldBeOpenAtTheTimeLimitIsRefusedAsSoonAsTheStopBegins() {
        long latestEndMs = LIMIT_MS - Drain.RESPONSE_TIMEOUT_MS;
        assertThat(drain.accepts(0, Long.MAX_VALUE)).isTrue();
        drain.request(0);
        assertThat(drain.accepts(0, latestEndMs)).isTrue();
        assertThat(drain.accepts(0, latestEndMs + 1)).isFalse();
        assertThat(drain.accepts(ACCEPT_MS - 1, latestEndMs)).isTrue();
        assertThat(drain.accepts(ACCEPT_MS, ACCEPT_MS + 1)).isFalse();
    }

    @Test
    void requestsAreAcceptedUntilLoadBalancersHaveNoticedTheStop() {
        assertThat(drain.accepts(1_000)).isTrue();
        assertThat(drain.request(1_000)).isTrue();
        assertThat(drain.requested()).isTrue();
        assertThat(drain.accepts(1_000 + ACCEPT_MS - 1)).isTrue();
        assertThat(drain.ends(1_000 + ACCEPT_MS - 1, true, 0)).isFalse();
        assertThat(drain.accepts(1_000 + ACCEPT_MS)).isFalse();
        assertThat(drain.ends(1_000 + ACCEPT_MS, true, 0)).isTrue();
    }

    @Test
    void daemonThatIsNeverIdleEndsAtTheTimeLimit() {
        drain.request(0);
        assertThat(drain.ends(LIMIT_MS - 1, false, 0)).isFalse();
        assertThat(drain.ends(LIMIT_MS, false, 0)).isTrue();
        assertThat(drain.timedOut(LIMIT_MS)).isTrue();
    }

    @Test
    void openRequestsAreEndedOnceAtTheTimeLimitAndTheirResponsesAwaited() {
        assertThat(drain.endRequests(LIMIT_MS)).isFalse();
        drain.request(0);
        assertThat(drain.endRequests(LIMIT_MS - 1)).isFalse();
        assertThat(drain.ends(LIMIT_MS - 1, true, 1)).isFalse();
        assertThat(drain.endRequests(LIMIT_MS)).isTrue();
        assertThat(drain.endRequests(LIMIT_MS)).isFalse();
        assertThat(drain.ends(LIMIT_MS, true, 1)).isFalse();
        assertThat(drain.ends(LIMIT_MS + 1, false, 0)).isTrue();
    }

    @Test
    void responsesThatAreNeverWrittenDoNotKeepADaemonFromEnding() {
        drain.request(0);
        drain.endRequests(LIMIT_MS);
        assertThat(drain.ends(LIMIT_MS + Drain.RESPONSE_TIMEOUT_MS - 1, true, 1))
                .isFalse();
        assertThat(drain.ends(LIMIT_MS + Drain.RESPONSE_TIMEOUT_MS, true, 1)).isTrue();
    }

    @Test
    void daemonThatIsPausedBeyondTheTimeLimitStillAwaitsItsResponses() {
        drain.request(0);
        long resumedAtMs = LIMIT_MS + 10 * Drain.RESPONSE_TIMEOUT_MS;
        assertThat(drain.ends(resumedAtMs, true, 1)).isFalse();
        assertThat(drain.endRequests(resumedAtMs)).isTrue();
        assertThat(drain.ends(resumedAtMs + Drain.RESPONSE_TIMEOUT_MS - 1, true, 1))
                .isFalse();
        assertThat(drain.ends(resumedAtMs + Drain.RESPONSE_TIMEOUT_MS, true, 1)).isTrue();
    }

    @Test
    void secondRequestDoesNotProlongTheStop() {
        drain.request(0);
        assertThat(drain.request(ACCEPT_MS)).isFalse();
        assertThat(drain.accepts(ACCEPT_MS)).isFalse();
    }

    @Test
    void daemonThatIsNotStoppingNeverEnds() {
        assertThat(drain.requested()).isFalse();
        assertThat(drain.ends(Long.MAX_VALUE, true, 0)).isFalse();
        assertThat(drain.endRequests(Long.MAX_VALUE)).isFalse();
        assertThatThrownBy(() -> new Drain(-1, 0)).isInstanceOf(IllegalArgumentException.class);
    }
}
