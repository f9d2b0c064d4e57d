package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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
 * get another controller. A change costs one pass over the members for each data centre with targets, and a hash for
 * each target whose candidates have changed. Not thread-safe: confined to the daemon's event loop.
 */
final class ControllerMap {

    private final MembershipView membership;
    private final Map<Location, Candidates> byLocation = new HashMap<>();

    ControllerMap(MembershipView membership) {
        this.membership = membership;
    }

    /**
     * Returns the target's controller, empty if no daemon in the target's region is known to be alive and to accept
     * work.
     */
    Optional<HostId> controllerOf(TargetState target) {
        return byLocation
                .computeIfAbsent(target.location(), location -> new Candidates(membership, location))
                .controllerOf(target.id());
    }

    /** Forgets all targets but the given ones. */
    void retain(Set<TargetId> targets) {
        byLocation
                .values()
                .forEach(candidates -> candidates.controllers.keySet().retainAll(targets));
    }

    /** Returns how many targets have a known controller. */
    int size() {
        return byLocation.values().stream()
                .mapToInt(candidates -> candidates.controllers.size())
                .sum();
    }

    /** The daemons that may control the targets of one location, and the controllers chosen among them. */
    private static final class Candidates {

        private final MembershipView membership;
        private final Location location;
        private final Map<TargetId, HostId> controllers = new HashMap<>();
        private Set<HostId> daemons = Set.of();
        private long version = -1;

        Candidates(MembershipView membership, Location location) {
            this.membership = membership;
            this.location = location;
        }

        Optional<HostId> controllerOf(TargetId target) {
            if (version != membership.version()) {
                version = membership.version();
                replace(present());
            }
            return Optional.ofNullable(controllers.computeIfAbsent(target, id -> choose(id, daemons)));
        }

        /** Returns the daemons of the data centre that accept work, or those of the region if there are none. */
        private Set<HostId> present() {
            Set<HostId> near = new HashSet<>();
            Set<HostId> inRegion = new HashSet<>();
            for (Member member : membership.members()) {
                if (!member.acceptsWork()) {
                    continue;
                }
                Location.Distance distance = member.location().distanceTo(location);
                if (distance != Location.Distance.OTHER_REGION) {
                    inRegion.add(member.host());
                }
                if (distance == Location.Distance.SAME_DATA_CENTRE) {
                    near.add(member.host());
                }
            }
            return near.isEmpty() ? inRegion : near;
        }

        /** Forgets the controllers that were lost; any other can only lose its targets to a new daemon. */
        private void replace(Set<HostId> present) {
            List<HostId> added =
                    present.stream().filter(host -> !daemons.contains(host)).toList();
            controllers.values().retainAll(present);
            if (!added.isEmpty()) {
                controllers.replaceAll((target, controller) -> {
                    List<HostId> contenders = new ArrayList<>(added);
                    contenders.add(controller);
                    return choose(target, contenders);
                });
            }
            daemons = present;
        }

        private static HostId choose(TargetId target, Collection<HostId> among) {
            return RendezvousHash.choose(target.value(), among, HostId::value).orElse(null);
        }
    }
}
