package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ControllerMapTests {

    private static final int DATA_CENTRES = 4;
    private static final int DAEMONS = 40;
    private static final int TARGETS = 60;
    private static final int SEEDS = 20;
    private static final int CHANGES = 200;

    private final FakeMembership membership = new FakeMembership(new HostId("host-0"), daemons());
    private final List<TargetState> targets = targets();
    private final ControllerMap map = new ControllerMap(membership);

    @Test
    void everyTargetIsControlledFromItsOwnDataCentre() {
        for (TargetState target : targets) {
            HostId controller = map.controllerOf(target).orElseThrow();
            assertThat(membership.find(controller).orElseThrow().location()).isEqualTo(target.location());
        }
    }

    /** What is remembered from earlier views must never make two daemons disagree. */
    @Test
    void controllersDependOnlyOnThePresentView() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            for (int change = 0; change < CHANGES; change++) {
                MemberState[] states = MemberState.values();
                // A whole data centre may be lost, so that another one of the region takes over.
                int start = random.nextInt(DAEMONS);
                int step = random.nextInt(10) == 0 ? DATA_CENTRES : DAEMONS;
                MemberState state = states[random.nextInt(states.length)];
                for (int daemon = start; daemon < DAEMONS; daemon += step) {
                    membership.set(new HostId("host-" + daemon), state);
                }
                ControllerMap fresh = new ControllerMap(membership);
                for (TargetState target : targets) {
                    assertThat(map.controllerOf(target))
                            .as("seed %d, change %d, %s", seed, change, target.id())
                            .isEqualTo(fresh.controllerOf(target));
                }
            }
        }
    }

    /** The cost of a change must not be the number of members for each target. */
    @Test
    void viewIsReadOnceForEachLocationAfterAChange() {
        targets.forEach(map::controllerOf);
        int before = membership.reads();
        membership.set(new HostId("host-7"), MemberState.DEAD);
        targets.forEach(map::controllerOf);
        assertThat(membership.reads() - before).isLessThanOrEqualTo(DATA_CENTRES);
    }

    @Test
    void targetsThatAreGoneAreForgotten() {
        targets.forEach(map::controllerOf);
        assertThat(map.size()).isEqualTo(TARGETS);
        map.retain(Set.of(targets.get(3).id()));
        assertThat(map.size()).isEqualTo(1);
    }

    @Test
    void noDaemonOfTheRegionLeavesATargetWithoutController() {
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            if (location(daemon).region().equals(location(0).region())) {
                membership.set(new HostId("host-" + daemon), MemberState.DEAD);
            }
        }
        assertThat(map.controllerOf(targets.get(0))).isEqualTo(Optional.empty());
        assertThat(map.controllerOf(targets.get(1))).isPresent();
    }

    private static List<DaemonIdentity> daemons() {
        List<DaemonIdentity> daemons = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            daemons.add(new DaemonIdentity(new HostId("host-" + i), 1, location(i), "10.0.0." + i + ":1"));
        }
        return daemons;
    }

    private static List<TargetState> targets() {
        List<TargetState> targets = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            HostEntry entry = new HostEntry(
                    "target-" + i,
                    HostRole.TARGET,
                    location(i),
                    "10.0.1." + i + ":1",
                    Set.of(new ServiceName("model")),
                    false,
                    1,
                    SoftwareVersion.UNSTATED);
            targets.add(new TargetState(
                    entry, new TargetHealth(RoutingSettings.defaults().ejection())));
        }
        return targets;
    }

    /** Data centres with even numbers are in one region, the others in another. */
    private static Location location(int number) {
        int dataCentre = number % DATA_CENTRES;
        return new Location(new RegionId("region-" + dataCentre % 2), new DataCentreId("dc-" + dataCentre));
    }
}
