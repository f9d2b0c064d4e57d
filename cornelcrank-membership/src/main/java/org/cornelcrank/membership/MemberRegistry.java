package org.cornelcrank.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.MembershipListener;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.Subject;

/**
 * Holds the last known state of every daemon, and refutes false updates about this one.
 *
 * <p>Invariant: an entry is replaced only by an update that supersedes it, and this daemon's own incarnation is higher
 * than that of any false update about it. The members of an unreachable data centre are shown as dead, but their
 * entries do not change, so that they need not refute anything once the data centre is reachable again. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class MemberRegistry implements MembershipView {

    private final Map<HostId, String> seedAddresses;
    private final TreeMap<HostId, Entry> entries = new TreeMap<>();
    private final TreeMap<HostId, HostEntry> listedHosts = new TreeMap<>();
    private final TreeSet<DataCentreId> unreachable = new TreeSet<>();
    private final List<RegistryObserver> observers = new ArrayList<>();
    private final List<MembershipListener> listeners = new ArrayList<>();
    private final MetricRegistry metrics;
    private Member self;
    private long version;
    private List<Member> visibleMembers = List.of();
    private long visibleVersion = -1;
    private List<Member> localPeers = List.of();
    private long localPeersVersion = -1;

    MemberRegistry(DaemonIdentity identity, Map<HostId, String> seedAddresses, MetricRegistry metrics) {
        this.seedAddresses = new TreeMap<>(seedAddresses);
        this.metrics = metrics;
        this.self = new Member(
                identity.host(),
                identity.location(),
                identity.peerAddress(),
                identity.incarnation(),
                MemberState.ALIVE);
        entries.put(self.host(), new Entry(self, 0));
    }

    void observe(RegistryObserver observer) {
        observers.add(Objects.requireNonNull(observer, "observer must not be null"));
    }

    void subscribe(MembershipListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener must not be null"));
    }

    @Override
    public Member self() {
        return self;
    }

    @Override
    public List<Member> members() {
        if (visibleVersion != version) {
            visibleMembers = entries.values().stream()
                    .map(entry -> asVisible(entry.member))
                    .filter(member -> member.state() != MemberState.DEAD)
                    .toList();
            visibleVersion = version;
        }
        return visibleMembers;
    }

    @Override
    public Optional<Member> find(HostId host) {
        return Optional.ofNullable(entries.get(host)).map(entry -> asVisible(entry.member));
    }

    @Override
    public Optional<String> address(HostId host) {
        Entry entry = entries.get(host);
        if (entry != null) {
            return Optional.of(entry.member.address());
        }
        HostEntry listedEntry = listedHosts.get(host);
        return Optional.ofNullable(listedEntry != null ? listedEntry.address() : seedAddresses.get(host));
    }

    @Override
    public long version() {
        return version;
    }

    /** Returns the last known state of a host, whether or not its data centre is reachable. */
    Optional<Member> lastKnown(HostId host) {
        return Optional.ofNullable(entries.get(host)).map(entry -> entry.member);
    }

    /** Returns all entries, including dead ones, ordered by host. */
    List<Member> allEntries() {
        return entries.values().stream().map(entry -> entry.member).toList();
    }

    /** Returns the members of a data centre, reachable or not, except dead ones and this daemon. */
    List<Member> peersIn(DataCentreId dataCentre) {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> member.location().dataCentre().equals(dataCentre))
                .filter(member ->
                        member.state() != MemberState.DEAD && !member.host().equals(self.host()))
                .toList();
    }

    /** Returns the members of this data centre except dead ones and this daemon. */
    List<Member> localPeers() {
        if (localPeersVersion != version) {
            localPeers = peersIn(localDataCentre());
            localPeersVersion = version;
        }
        return localPeers;
    }

    DataCentreId localDataCentre() {
        return self.location().dataCentre();
    }

    /** Returns the data centres that have at least one member that is not dead. */
    TreeSet<DataCentreId> dataCentres() {
        TreeSet<DataCentreId> found = new TreeSet<>();
        for (Entry entry : entries.values()) {
            if (entry.member.state() != MemberState.DEAD) {
                found.add(entry.member.location().dataCentre());
            }
        }
        return found;
    }

    /**
     * Returns the hosts that should be members but are not: seeds, hosts on the platform's list, and dead members of
     * this data centre.
     *
     * @param otherDataCentres whether to include listed hosts of other data centres
     */
    List<HostId> missingHosts(boolean otherDataCentres) {
        TreeSet<HostId> missing = new TreeSet<>(seedAddresses.keySet());
        listedHosts.forEach((host, entry) -> {
            if (otherDataCentres || entry.location().dataCentre().equals(localDataCentre())) {
                missing.add(host);
            }
        });
        for (Entry entry : entries.values()) {
            Member member = entry.member;
            if (member.state() != MemberState.DEAD) {
                missing.remove(member.host());
            } else if (member.location().dataCentre().equals(localDataCentre())) {
                missing.add(member.host());
            }
        }
        return List.copyOf(missing);
    }

    /** Applies the platform's list of entry hosts; a member newly listed as leaving is set to that state. */
    void hostListRead(Map<HostId, HostEntry> hosts, long nowMs, Effects out) {
        for (Map.Entry<HostId, HostEntry> entry : hosts.entrySet()) {
            HostEntry before = listedHosts.get(entry.getKey());
            if (entry.getValue().leaving() && before != null && !before.leaving()) {
                setState(entry.getKey(), MemberState.LEAVING, nowMs, out);
            }
        }
        listedHosts.clear();
        listedHosts.putAll(hosts);
    }

    /** Applies an update about a member, and returns whether it changed anything. */
    boolean apply(Member update, long nowMs, Effects out) {
        if (update.host().equals(self.host())) {
            return refuteIfFalse(update, nowMs, out);
        }
        Entry entry = entries.get(update.host());
        if (entry == null) {
            return update.state() != MemberState.DEAD && replace(null, update, nowMs, out);
        }
        if (!MemberVersion.of(update).supersedes(MemberVersion.of(entry.member))) {
            return false;
        }
        return replace(entry.member, update, nowMs, out);
    }

    /** Sets the state of a member in its current incarnation if that supersedes its last known state. */
    boolean setState(HostId host, MemberState state, long nowMs, Effects out) {
        Optional<Member> known = lastKnown(host);
        return known.isPresent() && apply(withState(known.get(), state), nowMs, out);
    }

    /** Announces the planned shutdown of this daemon. */
    void leave(long nowMs, Effects out) {
        changeSelf(self.incarnation(), MemberState.LEAVING, nowMs, out);
    }

    /** Marks a data centre as unreachable or reachable, and notifies the listeners of each member affected. */
    void setUnreachable(DataCentreId dataCentre, boolean isUnreachable, long nowMs, Effects out) {
        if (isUnreachable == unreachable.contains(dataCentre) || dataCentre.equals(localDataCentre())) {
            return;
        }
        List<Member> affected = peersIn(dataCentre);
        if (isUnreachable) {
            unreachable.add(dataCentre);
        } else {
            unreachable.remove(dataCentre);
        }
        version++;
        for (Member member : affected) {
            Member hidden = withState(member, MemberState.DEAD);
            if (isUnreachable) {
                notifyListeners(member, hidden, nowMs, out);
            } else {
                notifyListeners(hidden, member, nowMs, out);
            }
        }
    }

    boolean isUnreachable(DataCentreId dataCentre) {
        return unreachable.contains(dataCentre);
    }

    /** Removes dead members whose retention time has passed, and the longest dead ones beyond the limit. */
    void removeDead(long nowMs, long retentionMs, int maxDead) {
        List<Entry> dead = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.member.state() == MemberState.DEAD) {
                dead.add(entry);
            }
        }
        dead.sort((left, right) -> Long.compare(right.changedAtMs, left.changedAtMs));
        for (int i = 0; i < dead.size(); i++) {
            if (i >= maxDead || nowMs - dead.get(i).changedAtMs > retentionMs) {
                entries.remove(dead.get(i).member.host());
            }
        }
    }

    /** Returns a hash per data centre, which is equal on two daemons that hold the same members that are not dead. */
    Map<DataCentreId, Long> hashes() {
        Map<DataCentreId, Long> hashes = new TreeMap<>();
        for (Entry entry : entries.values()) {
            Member member = entry.member;
            if (member.state() != MemberState.DEAD) {
                hashes.merge(member.location().dataCentre(), hashOf(member), Long::sum);
            }
        }
        return hashes;
    }

    /** Returns the versions of all entries of the given data centres, including dead ones. */
    List<MemberVersion> versionsIn(Collection<DataCentreId> dataCentres) {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> dataCentres.contains(member.location().dataCentre()))
                .map(MemberVersion::of)
                .toList();
    }

    long changedAtMs(HostId host) {
        return entries.get(host).changedAtMs;
    }

    private boolean refuteIfFalse(Member update, long nowMs, Effects out) {
        boolean isFalse = update.incarnation() > self.incarnation()
                || MemberVersion.of(update).supersedes(MemberVersion.of(self));
        if (!isFalse) {
            return false;
        }
        metrics.counter("membership.refutations").inc();
        out.explain(
                Subject.Kind.HOST,
                self.host(),
                nowMs,
                "refute",
                "a peer reported it as " + update.state() + " in incarnation " + update.incarnation());
        changeSelf(update.incarnation() + 1, self.state(), nowMs, out);
        return true;
    }

    private void changeSelf(long incarnation, MemberState state, long nowMs, Effects out) {
        Member before = self;
        self = new Member(before.host(), before.location(), before.address(), incarnation, state);
        replace(before, self, nowMs, out);
    }

    private boolean replace(Member before, Member after, long nowMs, Effects out) {
        entries.put(after.host(), new Entry(after, nowMs));
        version++;
        for (RegistryObserver observer : observers) {
            observer.entryChanged(before, after, nowMs, out);
        }
        Member visibleBefore = before == null ? null : asVisible(before);
        notifyListeners(visibleBefore, asVisible(after), nowMs, out);
        return true;
    }

    private void notifyListeners(Member before, Member after, long nowMs, Effects out) {
        if (after.equals(before)) {
            return;
        }
        for (MembershipListener listener : listeners) {
            listener.memberChanged(before, after, nowMs, out);
        }
    }

    private Member asVisible(Member member) {
        return unreachable.contains(member.location().dataCentre()) ? withState(member, MemberState.DEAD) : member;
    }

    private static Member withState(Member member, MemberState state) {
        return new Member(member.host(), member.location(), member.address(), member.incarnation(), state);
    }

    private static long hashOf(Member member) {
        String presence = member.state() == MemberState.LEAVING ? "leaving" : "present";
        return StableHash.of(member.host().value(), member.incarnation() + presence);
    }

    private record Entry(Member member, long changedAtMs) {}
}
