package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.RendezvousHash;

/**
 * Selects the daemons that are asked whether they reach a target, and the one that relays connections to it.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class RelaySelector {

    private static final int PEERS_PER_ROUND = 4;

    /** How long a daemon that has failed as a relay is not used, in ms. */
    private static final long FAILED_RELAY_MS = 2_000;

    /** How long a daemon that has reached a target is taken to reach others as well, in ms. */
    private static final long PROVEN_RELAY_MS = 500;

    private final MembershipView membership;
    private final DaemonIdentity identity;
    private final RandomGenerator random;
    private final Set<HostId> relays = new LinkedHashSet<>();
    private final Map<HostId, Long> failedUntilMs = new HashMap<>();
    private final Map<HostId, Long> avoidedUntilMs = new HashMap<>();
    private final Map<HostId, Long> provenUntilMs = new HashMap<>();
    private long version;

    RelaySelector(MembershipView membership, DaemonIdentity identity, RandomGenerator random) {
        this.membership = membership;
        this.identity = identity;
        this.random = random;
    }

    /** Records that a daemon reaches targets. */
    void reaches(HostId host, long nowMs) {
        provenUntilMs.put(host, nowMs + PROVEN_RELAY_MS);
        if (relays.add(host) | failedUntilMs.remove(host) != null) {
            version++;
        }
    }

    /** Records that a daemon does not respond. */
    void failed(HostId host, long nowMs) {
        relays.remove(host);
        provenUntilMs.remove(host);
        failedUntilMs.put(host, nowMs + FAILED_RELAY_MS);
        version++;
    }

    /** Records that a daemon takes no new connections, whatever becomes of those that it relays. */
    void avoid(HostId host, long nowMs) {
        avoidedUntilMs.put(host, nowMs + FAILED_RELAY_MS);
        version++;
    }

    /** Returns whether a daemon has taken no new connections lately; it is selected only if there is no other relay. */
    boolean avoids(HostId host, long nowMs) {
        return nowMs < avoidedUntilMs.getOrDefault(host, Long.MIN_VALUE);
    }

    boolean hasFailed(HostId host, long nowMs) {
        return nowMs < failedUntilMs.getOrDefault(host, Long.MIN_VALUE);
    }

    Set<HostId> relays() {
        return relays;
    }

    void forgetExpired(long nowMs) {
        provenUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
        boolean changed = failedUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
        changed |= avoidedUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
        changed |= relays.removeIf(host -> member(host).isEmpty());
        version += changed ? 1 : 0;
    }

    /**
     * Returns the relay of a target: one on the way with the fewest crossings between regions, and among those one near
     * this daemon. Each target keeps its relay, so that connections are used again.
     */
    Optional<HostId> select(TargetState target, long nowMs) {
        long current = version + membership.version();
        return target.path().relay(current).orElseGet(() -> {
            Optional<HostId> selected = choose(target, nowMs);
            target.path().relaySelected(selected, current);
            return selected;
        });
    }

    private Optional<HostId> choose(TargetState target, long nowMs) {
        List<Member> reaching = reaching(target, nowMs);
        List<Member> preferred = reaching.stream()
                .filter(member -> !avoids(member.host(), nowMs))
                .toList();
        return nearest(target, preferred.isEmpty() ? reaching : preferred);
    }

    private List<Member> reaching(TargetState target, long nowMs) {
        return relays.stream()
                .filter(host -> !target.path().excludes(host) && !hasFailed(host, nowMs))
                .map(this::member)
                .flatMap(Optional::stream)
                .toList();
    }

    private Optional<HostId> nearest(TargetState target, List<Member> members) {
        Optional<Integer> best =
                members.stream().map(member -> cost(member, target)).min(Comparator.naturalOrder());
        return best.flatMap(cost -> RendezvousHash.choose(
                target.id().value(),
                members.stream()
                        .filter(member -> cost(member, target) == cost)
                        .map(Member::host)
                        .toList(),
                HostId::value));
    }

    private int cost(Member relay, TargetState target) {
        Location.Distance first = identity.location().distanceTo(relay.location());
        Location.Distance second = relay.location().distanceTo(target.location());
        int crossings =
                (first == Location.Distance.OTHER_REGION ? 1 : 0) + (second == Location.Distance.OTHER_REGION ? 1 : 0);
        return crossings * Location.Distance.values().length + first.ordinal();
    }

    private Optional<Member> member(HostId host) {
        return membership.find(host).filter(Member::acceptsWork);
    }

    Optional<Location> locationOf(HostId host) {
        return membership.find(host).map(Member::location);
    }

    /** Returns the nearest daemon that has just reached a target and may reach this one, empty if there is none. */
    Optional<HostId> provenRelay(TargetState target, long nowMs) {
        return nearest(
                target,
                reaching(target, nowMs).stream()
                        .filter(member -> !avoids(member.host(), nowMs))
                        .filter(member -> nowMs < provenUntilMs.getOrDefault(member.host(), Long.MIN_VALUE))
                        .toList());
    }

    /**
     * Returns the daemons to ask next: known relays first, and otherwise of different data centres and regions, since
     * all of a data centre may have lost their way together.
     */
    Set<HostId> selectPeers(Collection<HostId> alreadyAsked, long nowMs) {
        List<Member> candidates = new ArrayList<>();
        for (Member member : membership.members()) {
            if (member.acceptsWork()
                    && !member.host().equals(identity.host())
                    && !alreadyAsked.contains(member.host())) {
                candidates.add(member);
            }
        }
        Set<HostId> selected = new LinkedHashSet<>();
        addOne(selected, candidates, member -> relays.contains(member.host()) && !hasFailed(member.host(), nowMs));
        for (Location.Distance distance : Location.Distance.values()) {
            addOne(selected, candidates, member -> identity.location().distanceTo(member.location()) == distance);
        }
        while (selected.size() < PEERS_PER_ROUND && addOne(selected, candidates, member -> true)) {
            // Fills the round with any others.
        }
        return selected;
    }

    private boolean addOne(Set<HostId> selected, List<Member> candidates, Predicate<Member> condition) {
        List<Member> matching = candidates.stream()
                .filter(member -> !selected.contains(member.host()) && condition.test(member))
                .toList();
        if (matching.isEmpty() || selected.size() >= PEERS_PER_ROUND) {
            return false;
        }
        return selected.add(matching.get(random.nextInt(matching.size())).host());
    }
}
