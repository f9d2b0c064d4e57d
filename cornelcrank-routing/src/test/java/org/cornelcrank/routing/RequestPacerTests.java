package org.cornelcrank.routing;

import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestPacerTests {

    private final RequestPacer pacer = new RequestPacer();

    @Test
    void newLimitStartsWithoutABurstAndThenAllowsOneSecondsWorth() {
        assertThat(pacer.allows(0)).isTrue();
        pacer.limit(OptionalDouble.of(4), 0);
        assertThat(pacer.allows(0)).isFalse();
        assertThat(pacer.waitMs(1, 0)).isEqualTo(250);
        assertThat(pacer.allows(250)).isTrue();
        assertThat(pacer.allowsBatch(999)).isFalse();
        assertThat(pacer.allowsBatch(60_000)).isTrue();
        for (int i = 0; i < 4; i++) {
            assertThat(pacer.allows(60_000)).isTrue();
            pacer.acquire(true, 60_000);
        }
        assertThat(pacer.allows(60_000)).isFalse();
    }

    @Test
    void requestThatWasNotSentDoesNotCount() {
        pacer.limit(OptionalDouble.of(1), 0);
        pacer.acquire(true, 1_000);
        assertThat(pacer.allows(1_000)).isFalse();
        pacer.release();
        assertThat(pacer.allows(1_000)).isTrue();
    }

    @Test
    void lateRequestsGetWhatTimelyOnesLeave() {
        pacer.limit(OptionalDouble.of(2), 0);
        assertThat(pacer.lateWaitMs(1, 0)).isEqualTo(500);
        for (long atMs = 500; atMs <= 4_000; atMs += 500) {
            pacer.acquire(true, atMs);
        }
        assertThat(pacer.lateWaitMs(1, 4_000)).isEqualTo(Long.MAX_VALUE);
        assertThat(pacer.lateWaitMs(2, 4_500)).isEqualTo(2_000);
    }

    /** A limit may last for days. */
    @Test
    void memoryStaysBounded() {
        pacer.limit(OptionalDouble.of(100), 0);
        for (long atMs = 0; atMs < 100_000; atMs += 10) {
            pacer.acquire(true, atMs);
        }
        assertThat(pacer.remembered()).isLessThanOrEqualTo(200);
    }
}
