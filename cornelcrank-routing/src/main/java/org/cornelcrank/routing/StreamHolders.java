package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.RendezvousHash;

/**
 * Chooses the daemons that hold the record of a stream besides the one that began it, by rendezvous hash of its key.
 *
 * <p>Daemons whose views of the membership differ by a few members ask at least one of those that were told. A change
 * of the membership costs one pass over the members, each stream a hash for each daemon of its data centre. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class StreamHolders {

    private static final int OWN_DATA_CENTRE = 2;

    /** One more than are told, as the daemon that began the stream does not rank itself. */
    private static final int ASKED_PER_DATA_CENTRE = OWN_DATA_CENTRE + 1;

    private final MembershipView membership;
    private final Location location;
    private final HostId self;
    private Map<DataCentreId, List<HostId>> others = Map.of();
    private List<DataCentreId> nearest = List.of();
    private long version = -1;

    StreamHolders(MembershipView membership, HostId self, Location location) {
        this.membership = membership;
        this.self = self;
        this.location = location;
    }

    /** Returns the daemons to tell of a stream: two in this data centre and one in another, the region's own first. */
    Set<HostId> toTell(long key) {
        update();
        String name = Long.toHexString(key);
        Set<HostId> holders = new LinkedHashSet<>(first(name, location.dataCentre(), OWN_DATA_CENTRE));
        RendezvousHash.choose(name, nearest, DataCentreId::value)
                .ifPresent(dataCentre -> holders.addAll(first(name, dataCentre, 1)));
        return holders;
    }

    /** Returns the daemons to ask for a stream. */
    Set<HostId> toAsk(long key) {
        update();
        String name = Long.toHexString(key);
        Set<HostId> holders = new LinkedHashSet<>();
        others.keySet().forEach(dataCentre -> holders.addAll(first(name, dataCentre, ASKED_PER_DATA_CENTRE)));
        return holders;
    }

    private List<HostId> first(String key, DataCentreId dataCentre, int count) {
        return RendezvousHash.rank(key, others.getOrDefault(dataCentre, List.of()), HostId::value).stream()
                .limit(count)
                .toList();
    }

    private void update() {
        if (version == membership.version()) {
            return;
        }
        version = membership.version();
        List<Member> live = membership.members().stream()
                .filter(member -> member.acceptsWork() && !member.host().equals(self))
                .toList();
        others = live.stream()
                .collect(Collectors.groupingBy(
                        member -> member.location().dataCentre(),
                        TreeMap::new,
                        Collectors.mapping(Member::host, Collectors.toList())));
        List<DataCentreId> inRegion = atDistance(live, Location.Distance.SAME_REGION);
        nearest = inRegion.isEmpty() ? atDistance(live, Location.Distance.OTHER_REGION) : inRegion;
    }

    private List<DataCentreId> atDistance(List<Member> live, Location.Distance distance) {
        Set<DataCentreId> found = new LinkedHashSet<>();
        for (Member member : live) {
            if (member.location().distanceTo(location) == distance) {
                found.add(member.location().dataCentre());
            }
        }
        return new ArrayList<>(found);
    }
}
