package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.RendezvousHash;
import org.cornelcrank.core.TargetId;

/**
 * Maps each target to the daemon that controls it: one in the target's data centre, or else one in its region.
 *
 * <p>Daemons with the same membership view agree; after a change of the view only the targets of lost or new daemons
 * get another controller. Not thread-safe: confined to the daemon's event loop.
 */
final class ControllerMap {

    private final MembershipView membership;
    private final Map<TargetId, Optional<HostId>> controllers = new TreeMap<>();
    private long controllersVersion = -1;

    ControllerMap(MembershipView membership) {
        this.membership = membership;
    }

    /**
     * Returns the target's controller, empty if no daemon in the target's region is known to be alive and to accept
     * work.
     */
    Optional<HostId> controllerOf(TargetState target) {
        if (controllersVersion != membership.version()) {
            controllers.clear();
            controllersVersion = membership.version();
        }
        return controllers.computeIfAbsent(target.id(), id -> choose(target));
    }

    private Optional<HostId> choose(TargetState target) {
        List<Member> near = new ArrayList<>();
        List<Member> inRegion = new ArrayList<>();
        for (Member member : membership.members()) {
            Location.Distance distance = member.location().distanceTo(target.location());
            if (!member.acceptsWork() || distance == Location.Distance.OTHER_REGION) {
                continue;
            }
            inRegion.add(member);
            if (distance == Location.Distance.SAME_DATA_CENTRE) {
                near.add(member);
            }
        }
        return RendezvousHash.choose(target.id().value(), near.isEmpty() ? inRegion : near, member -> member.host()
                        .value())
                .map(Member::host);
    }
}
