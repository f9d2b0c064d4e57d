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
 * Says which daemon should own each partition: the highest rendezvous weight among the members of its home region.
 *
 * <p>Members of other regions stand in only where that is configured, and only after the home region has had no member
 * for long. Not thread-safe: confined to the daemon's event loop.
 */
final class OwnershipPlanner {

    private final DaemonIdentity identity;
    private final MembershipView membership;
    private final PartitionSettings settings;
    private final Map<RegionId, Long> inhabitedAtMs =
            new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private final Map<PartitionId, HostId> choices = new TreeMap<>();
    private long choicesVersion = Long.MIN_VALUE;
    private boolean stopping;

    OwnershipPlanner(DaemonIdentity identity, MembershipView membership, PartitionSettings settings) {
        this.identity = identity;
        this.membership = membership;
        this.settings = settings;
    }

    /** Notes which regions have members at present. */
    void observe(long nowMs) {
        inhabitedAtMs.put(identity.location().region(), nowMs);
        for (Member member : membership.members()) {
            if (member.acceptsWork()) {
                inhabitedAtMs.put(member.location().region(), nowMs);
            }
        }
    }

    /** From now on this daemon is nobody's choice. */
    void stopping() {
        stopping = true;
        choices.clear();
    }

    /** Returns the partitions that this daemon might own. */
    List<PartitionId> partitions(long nowMs) {
        List<PartitionId> partitions = new ArrayList<>();
        for (RegionId region : inhabitedAtMs.keySet()) {
            if (region.equals(identity.location().region()) || standsInFor(region, nowMs)) {
                for (int index = 0; index < settings.partitionCount(); index++) {
                    partitions.add(new PartitionId(region, index));
                }
            }
        }
        return partitions;
    }

    /** Returns how many partitions there are in the regions known so far. */
    int partitionsOfSystem() {
        return settings.partitionCount() * Math.max(1, inhabitedAtMs.size());
    }

    /** Returns the daemon that should own the partition, empty if there is none. */
    Optional<HostId> choice(PartitionId partition, long nowMs) {
        if (standsInFor(partition.region(), nowMs)) {
            return choose(partition, this::acceptsWork);
        }
        if (choicesVersion != membership.version()) {
            choices.clear();
            choicesVersion = membership.version();
        }
        HostId known = choices.get(partition);
        if (known != null) {
            return Optional.of(known);
        }
        Optional<HostId> chosen = choose(partition, member -> acceptsWork(member) && isHome(member, partition));
        chosen.ifPresent(host -> choices.put(partition, host));
        return chosen;
    }

    /** Returns who should own the partition if this daemon cannot, in another data centre if there is one. */
    Optional<HostId> choiceElsewhere(PartitionId partition) {
        Predicate<Member> other = member -> acceptsWork(member)
                && isHome(member, partition)
                && !member.host().equals(identity.host());
        Optional<HostId> elsewhere = choose(partition, other.and(member -> !member.location()
                .dataCentre()
                .equals(identity.location().dataCentre())));
        return elsewhere.isPresent() ? elsewhere : choose(partition, other);
    }

    /** Returns whether the host is a member that lives, though it may be leaving. */
    boolean lives(HostId host) {
        return membership.members().stream().anyMatch(member -> member.host().equals(host));
    }

    /** Returns whether the host lives and takes duties. */
    boolean acceptsWork(HostId host) {
        return membership.members().stream().anyMatch(member -> member.host().equals(host) && acceptsWork(member));
    }

    int homeMembers() {
        return (int) membership.members().stream()
                .filter(member ->
                        member.location().region().equals(identity.location().region()))
                .count();
    }

    private boolean acceptsWork(Member member) {
        return member.acceptsWork() && !(stopping && member.host().equals(identity.host()));
    }

    private Optional<HostId> choose(PartitionId partition, Predicate<Member> eligible) {
        List<Member> candidates = membership.members().stream().filter(eligible).toList();
        return RendezvousHash.choose(partition.toString(), candidates, member -> member.host()
                        .value())
                .map(Member::host);
    }

    private boolean standsInFor(RegionId region, long nowMs) {
        long afterMs = settings.ownership().foreignClaimAfterMs();
        Long seenAtMs = inhabitedAtMs.get(region);
        return afterMs > 0
                && seenAtMs != null
                && !region.equals(identity.location().region())
                && nowMs - seenAtMs >= afterMs;
    }

    private static boolean isHome(Member member, PartitionId partition) {
        return member.location().region().equals(partition.region());
    }
}
