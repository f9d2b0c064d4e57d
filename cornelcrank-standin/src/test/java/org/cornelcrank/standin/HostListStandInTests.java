package org.cornelcrank.standin;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the lag of the host list in virtual time. */
class HostListStandInTests {

    private Instant now = Instant.ofEpochMilli(1_000);

    @Test
    void changesBecomeVisibleInOrderAfterTheLag() {
        HostListStandIn list = new HostListStandIn(HostListSettings.defaults().withLagMs(500), new MovableClock());
        list.setHosts(List.of(host("a")));
        now = now.plusMillis(100);
        list.setHosts(List.of(host("a"), host("b")));
        assertThat(list.visibleHosts()).isEmpty();
        now = now.plusMillis(400);
        assertThat(list.visibleHosts()).hasSize(1);
        now = now.plusMillis(100);
        assertThat(list.visibleHosts()).hasSize(2);
    }

    private static ListedHost host(String name) {
        return new ListedHost(name, "target", "zapad", "trnava-a", "127.0.0.1:1", List.of("stav-app"), false);
    }

    /** Returns the time that the test sets. */
    private final class MovableClock extends Clock {
        @Override
        public ZoneOffset getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(java.time.ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return now;
        }
    }
}
