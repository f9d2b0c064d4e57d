package org.cornelcrank.routing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetHealthTests {

    private static final long NOW_MS = 1_000;

    private final TargetHealth health =
            new TargetHealth(RoutingSettings.forLatencyObjectives().ejection());

    @Test
    void targetThatRespondsHereDoesNotStayEjectedBecauseAnotherDaemonFoundItDown() {
        health.ejectAsTold(NOW_MS);
        assertThat(health.ejected(NOW_MS)).isTrue();
        health.responded();
        assertThat(health.ejected(NOW_MS)).isFalse();
        assertThat(health.admittedShare(NOW_MS)).isEqualTo(1);
    }

    @Test
    void responseDoesNotEndAnEjectionForFailuresSeenHere() {
        health.eject(NOW_MS);
        health.ejectAsTold(NOW_MS);
        health.responded();
        assertThat(health.ejected(NOW_MS)).isTrue();
    }

    /** Guards against a target that is closed to all daemons for what one of them has seen. */
    @Test
    void onlyConfirmedEjectionsCountAsDown() {
        health.eject(NOW_MS);
        assertThat(health.down(NOW_MS)).isFalse();
        health.ejectAsTold(NOW_MS);
        assertThat(health.down(NOW_MS)).isTrue();
        health.responded();
        assertThat(health.down(NOW_MS)).isFalse();
        health.ejectDown(NOW_MS);
        assertThat(health.down(NOW_MS)).isTrue();
        health.reinstate();
        assertThat(health.down(NOW_MS)).isFalse();
        health.ejectBriefly(NOW_MS);
        assertThat(health.down(NOW_MS)).isFalse();
    }

    @Test
    void briefEjectionsDoNotGrow() {
        long ejectionMs = RoutingSettings.forLatencyObjectives().ejection().ejectionMs();
        health.ejectBriefly(NOW_MS);
        long laterMs = NOW_MS + ejectionMs;
        assertThat(health.ejectBriefly(laterMs)).isTrue();
        assertThat(health.ejected(laterMs + ejectionMs)).isFalse();
    }
}
