package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.HostRole;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RelaySelectorTests {

    private static final long AVOIDED_MS = 2_000;
    private static final long PROVEN_MS = 500;

    private final DaemonIdentity self = daemon("d0");
    private final RelaySelector relays = new RelaySelector(
            new FakeMembership(self.host(), List.of(self, daemon("d1"), daemon("d2"))), self, new SplittableRandom(1));

    private static DaemonIdentity daemon(String name) {
        return new DaemonIdentity(new HostId(name), 1, VirtualFleet.SOUTH, name + ":9000");
    }

    private static TargetState target() {
        HostEntry entry = new HostEntry(
                "r-0", HostRole.TARGET, VirtualFleet.SOUTH, "r-0:9000", Set.of(VirtualFleet.SERVICE), false);
        return new TargetState(
                entry, new TargetHealth(RoutingSettings.forLatencyObjectives().ejection()));
    }

    /** Guards against a relay that is passed over for good as it once took no connections. */
    @Test
    void relayThatTookNoConnectionsIsPreferredAgainAfterAWhile() {
        relays.reaches(new HostId("d1"), 0);
        relays.reaches(new HostId("d2"), 0);
        HostId preferred = relays.select(target(), 0).orElseThrow();
        relays.avoid(preferred, 0);
        assertThat(relays.select(target(), AVOIDED_MS - 1)).isNotEqualTo(Optional.of(preferred));
        assertThat(relays.select(target(), AVOIDED_MS)).contains(preferred);
    }

    /** Guards against questions to a daemon alone whose view of other targets is old. */
    @Test
    void daemonIsAskedAloneOnlyAsLongAsItHasJustReachedTargets() {
        relays.reaches(new HostId("d1"), 0);
        assertThat(relays.provenRelay(target(), PROVEN_MS - 1)).contains(new HostId("d1"));
        assertThat(relays.provenRelay(target(), PROVEN_MS)).isEmpty();
    }

    @Test
    void daemonThatMayNotRelayToATargetIsNotAskedAloneForIt() {
        relays.reaches(new HostId("d1"), 0);
        TargetState excluding = target();
        excluding.path().excludeRelay(new HostId("d1"));
        assertThat(relays.provenRelay(excluding, 0)).isEmpty();
        relays.avoid(new HostId("d1"), 0);
        assertThat(relays.provenRelay(target(), 0)).isEmpty();
        relays.reaches(new HostId("d2"), 0);
        relays.failed(new HostId("d2"), 0);
        assertThat(relays.provenRelay(target(), 0)).isEmpty();
    }
}
