package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RendezvousHash;

/**
 * Assigns each partition to a daemon: the member of its home region with the highest rendezvous weight.
 *
 * <p>Members of other regions are eligible only if {@link OwnershipSettings#foreignClaimAfterMs()} is set, and only
 * after the home region has had no member for that time. Not thread-safe: confined to the daemon's event loop.
 */
final class OwnershipPlanner {

    private final DaemonIdentity identity;
    private final MembershipView membership;
    private final PartitionSettings settings;
    private final Map<RegionId, Long> populatedAtMs =
            new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private final Map<PartitionId, HostId> assignedOwners = new TreeMap<>();
    private long assignedOwnersVersion = Long.MIN_VALUE;
    private boolean excludeSelf;

    OwnershipPlanner(DaemonIdentity identity, MembershipView membership, PartitionSettings settings) {
        this.identity = identity;
        this.membership = membership;
        this.settings = settings;
    }

    /** Records which regions currently have members. */
    void observe(long nowMs) {
        populatedAtMs.put(identity.location().region(), nowMs);
        for (Member member : membership.members()) {
            if (member.acceptsWork()) {
                populatedAtMs.put(member.location().region(), nowMs);
            }
        }
    }

    /** Assigns no more partitions to this daemon. */
    void excludeSelf() {
        excludeSelf = true;
        assignedOwners.clear();
    }

    /** Returns the partitions that may be assigned to this daemon. */
    List<PartitionId> candidatePartitions(long nowMs) {
        List<PartitionId> partitions = new ArrayList<>();
        for (RegionId region : populatedAtMs.keySet()) {
            if (region.equals(identity.location().region()) || mayClaimFor(region, nowMs)) {
                for (int index = 0; index < settings.partitionCount(); index++) {
                    partitions.add(new PartitionId(region, index));
                }
            }
        }
        return partitions;
    }

    /** Returns the number of partitions in all regions seen so far. */
    int totalPartitions() {
        return settings.partitionCount() * Math.max(1, populatedAtMs.size());
    }

    /** Returns the daemon that should own the partition, empty if no member is eligible. */
    Optional<HostId> assignedOwner(PartitionId partition, long nowMs) {
        if (mayClaimFor(partition.region(), nowMs)) {
            return choose(partition, this::acceptsWork);
        }
        if (assignedOwnersVersion != membership.version()) {
            assignedOwners.clear();
            assignedOwnersVersion = membership.version();
        }
        HostId cached = assignedOwners.get(partition);
        if (cached != null) {
            return Optional.of(cached);
        }
        Optional<HostId> chosen = choose(partition, member -> acceptsWork(member) && isHome(member, partition));
        chosen.ifPresent(host -> assignedOwners.put(partition, host));
        return chosen;
    }

    /** Returns the daemon that should own the partition if this one cannot, preferably in another data centre. */
    Optional<HostId> alternativeOwner(PartitionId partition) {
        Predicate<Member> other = member -> acceptsWork(member)
                && isHome(member, partition)
                && !member.host().equals(identity.host());
        Optional<HostId> elsewhere = choose(partition, other.and(member -> !member.location()
                .dataCentre()
                .equals(identity.location().dataCentre())));
        return elsewhere.isPresent() ? elsewhere : choose(partition, other);
    }

    /** Returns whether the host is a live member, possibly one that is leaving. */
    boolean isAlive(HostId host) {
        return membership.members().stream().anyMatch(member -> member.host().equals(host));
    }

    /** Returns whether the host is a live member that accepts work. */
    boolean acceptsWork(HostId host) {
        return membership.members().stream().anyMatch(member -> member.host().equals(host) && acceptsWork(member));
    }

    int homeRegionMembers() {
        return (int) membership.members().stream()
                .filter(member ->
                        member.location().region().equals(identity.location().region()))
                .count();
    }

    private boolean acceptsWork(Member member) {
        return member.acceptsWork() && !(excludeSelf && member.host().equals(identity.host()));
    }

    private Optional<HostId> choose(PartitionId partition, Predicate<Member> eligible) {
        List<Member> candidates = membership.members().stream().filter(eligible).toList();
        return RendezvousHash.choose(partition.toString(), candidates, member -> member.host()
                        .value())
                .map(Member::host);
    }

    private boolean mayClaimFor(RegionId region, long nowMs) {
        long afterMs = settings.ownership().foreignClaimAfterMs();
        Long lastPopulatedAtMs = populatedAtMs.get(region);
        return afterMs > 0
                && lastPopulatedAtMs != null
                && !region.equals(identity.location().region())
                && nowMs - lastPopulatedAtMs >= afterMs;
    }

    private static boolean isHome(Member member, PartitionId partition) {
        return member.location().region().equals(partition.region());
    }
}
