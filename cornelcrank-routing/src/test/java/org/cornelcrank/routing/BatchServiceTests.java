package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the grants to jobs whose service changes. */
class BatchServiceTests {

    private static final ServiceName SERVICE = new ServiceName("next");
    private static final JobId JOB = new JobId("job-1");
    private static final TargetId TARGET = new TargetId("r0");
    private static final TargetId FORMER_TARGET = new TargetId("r1");
    private static final HostId CONTROLLER = new HostId("d1");

    private final VirtualFleet fleet = new VirtualFleet(1);
    private final List<BatchPermit> granted = new ArrayList<>();

    /** Guards against items that run at a target of the service that their job had when the controller granted. */
    @Test
    void grantAtATargetOfAnotherServiceIsReleased() {
        start();
        AttemptId permit = grant(FORMER_TARGET, 1);
        assertThat(granted).isEmpty();
        assertThat(fleet.nodes.get(0).effects)
                .filteredOn(effect -> effect instanceof Effect.Send send
                        && send.message() instanceof RoutingMessage.PermitReleased released
                        && released.attempt().equals(permit)
                        && released.use() == RoutingMessage.Use.UNUSED)
                .hasSize(1);
    }

    @Test
    void permitStatesTheServiceOfItsDemand() {
        start();
        grant(TARGET, 2);
        assertThat(granted).extracting(BatchPermit::service).containsExactly(SERVICE);
    }

    private void start() {
        fleet.keepEffects = true;
        fleet.addEngine("r0", VirtualFleet.SOUTH, 8, 20, 20);
        fleet.addEngine("r1", VirtualFleet.SOUTH, 8, 20, 20);
        HostEntry entry = fleet.hosts.get(TARGET);
        fleet.hosts.put(
                TARGET,
                new HostEntry(
                        entry.name(),
                        entry.role(),
                        entry.location(),
                        entry.address(),
                        Set.of(SERVICE),
                        entry.leaving()));
        fleet.start(List.of(VirtualFleet.SOUTH, VirtualFleet.SOUTH), RoutingPolicy::defaults);
        RoutingStateMachine owner = fleet.nodes.get(0).stateMachine;
        owner.subscribe(new Grants());
        BatchDemand demand =
                new BatchDemand(JOB, new TeamPath("/nilavu/kiosk"), SERVICE, fleet.nowMs + 60_000, 1, 100, 100);
        Effects out = new Effects();
        owner.setDemand(demand, fleet.nowMs, out);
        fleet.nodes.get(0).execute(out);
        granted.clear();
        fleet.nodes.get(0).effects.clear();
    }

    private AttemptId grant(TargetId target, long number) {
        AttemptId permit = new AttemptId(CONTROLLER, 1, number);
        fleet.nodes
                .get(0)
                .handle(new Event.PeerMessageReceived(
                        CONTROLLER, new RoutingMessage.BatchGranted(permit, target, JOB)));
        return permit;
    }

    private final class Grants implements BatchCapacity.BatchCapacityListener {

        @Override
        public void permitGranted(BatchPermit permit, long nowMs, Effects out) {
            granted.add(permit);
        }

        @Override
        public void workEnded(
                BatchPermit permit,
                BatchWork work,
                AttemptOutcome outcome,
                boolean preempted,
                Optional<ResumePoint> resume,
                long nowMs,
                Effects out) {}
    }
}
