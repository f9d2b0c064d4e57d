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
 * Keeps what is known of every daemon, and answers statements about this one.
 *
 * <p>Invariant: an entry is replaced only by a statement that supersedes it, and this daemon's own incarnation is above
 * that of every statement about it which is not true. Members of a data centre that nobody hears of are shown as dead
 * without a change of their entries, so that nothing has to be refuted once it is heard of again. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class MemberRegistry implements MembershipView {

    private final Map<HostId, String> seedAddresses;
    private final TreeMap<HostId, Entry> entries = new TreeMap<>();
    private final TreeMap<HostId, HostEntry> listed = new TreeMap<>();
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
                    .map(entry -> visible(entry.member))
                    .filter(member -> member.state() != MemberState.DEAD)
                    .toList();
            visibleVersion = version;
        }
        return visibleMembers;
    }

    @Override
    public Optional<Member> find(HostId host) {
        return Optional.ofNullable(entries.get(host)).map(entry -> visible(entry.member));
    }

    @Override
    public Optional<String> address(HostId host) {
        Entry entry = entries.get(host);
        if (entry != null) {
            return Optional.of(entry.member.address());
        }
        HostEntry listedEntry = listed.get(host);
        return Optional.ofNullable(listedEntry != null ? listedEntry.address() : seedAddresses.get(host));
    }

    @Override
    public long version() {
        return version;
    }

    /** Returns what is known of a host, whether or not its data centre is heard of. */
    Optional<Member> known(HostId host) {
        return Optional.ofNullable(entries.get(host)).map(entry -> entry.member);
    }

    /** Returns all entries, dead ones included, ordered by host. */
    List<Member> allKnown() {
        return entries.values().stream().map(entry -> entry.member).toList();
    }

    /** Returns the members of a data centre but dead ones and this daemon, heard of or not. */
    List<Member> peersIn(DataCentreId dataCentre) {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> member.location().dataCentre().equals(dataCentre))
                .filter(member ->
                        member.state() != MemberState.DEAD && !member.host().equals(self.host()))
                .toList();
    }

    /** Returns the members of this data centre but dead ones and this daemon. */
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

    /** Returns the data centres with members that are not known to be dead. */
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
     * Returns hosts that should be members but are not: seeds, listed hosts and the dead of this data centre.
     *
     * <p>Listed hosts of other data centres are included only if {@code otherDataCentres} says so.
     */
    List<HostId> missingHosts(boolean otherDataCentres) {
        TreeSet<HostId> missing = new TreeSet<>(seedAddresses.keySet());
        listed.forEach((host, entry) -> {
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

    /** Takes the platform's list of entry hosts, and believes a new note that a member is leaving. */
    void listed(Map<HostId, HostEntry> hosts, long nowMs, Effects out) {
        for (Map.Entry<HostId, HostEntry> entry : hosts.entrySet()) {
            HostEntry before = listed.get(entry.getKey());
            if (entry.getValue().leaving() && before != null && !before.leaving()) {
                judge(entry.getKey(), MemberState.LEAVING, nowMs, out);
            }
        }
        listed.clear();
        listed.putAll(hosts);
    }

    /** Takes a statement about a member, and returns whether it told something new. */
    boolean apply(Member statement, long nowMs, Effects out) {
        if (statement.host().equals(self.host())) {
            return refuteIfWrong(statement, nowMs, out);
        }
        Entry entry = entries.get(statement.host());
        if (entry == null) {
            return statement.state() != MemberState.DEAD && replace(null, statement, nowMs, out);
        }
        if (!MemberVersion.of(statement).supersedes(MemberVersion.of(entry.member))) {
            return false;
        }
        return replace(entry.member, statement, nowMs, out);
    }

    /** Sets another state of a member in its present incarnation, if that supersedes what is known. */
    boolean judge(HostId host, MemberState state, long nowMs, Effects out) {
        Optional<Member> known = known(host);
        return known.isPresent() && apply(withState(known.get(), state), nowMs, out);
    }

    /** Announces that this daemon stops by plan. */
    void leave(long nowMs, Effects out) {
        changeSelf(self.incarnation(), MemberState.LEAVING, nowMs, out);
    }

    /** Hides or shows the members of a data centre, and tells the listeners of each. */
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

    /** Forgets dead members after their retention, and the oldest ones beyond the bound. */
    void forgetDead(long nowMs, long retentionMs, int most) {
        List<Entry> dead = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.member.state() == MemberState.DEAD) {
                dead.add(entry);
            }
        }
        dead.sort((left, right) -> Long.compare(right.changedAtMs, left.changedAtMs));
        for (int i = 0; i < dead.size(); i++) {
            if (i >= most || nowMs - dead.get(i).changedAtMs > retentionMs) {
                entries.remove(dead.get(i).member.host());
            }
        }
    }

    /** Returns a hash for each data centre, equal where two daemons know the same members that are not dead. */
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

    /** Returns the versions of all entries, dead ones included, of the given data centres. */
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

    private boolean refuteIfWrong(Member statement, long nowMs, Effects out) {
        boolean wrong = statement.incarnation() > self.incarnation()
                || MemberVersion.of(statement).supersedes(MemberVersion.of(self));
        if (!wrong) {
            return false;
        }
        metrics.counter("membership.refutations").inc();
        out.explain(
                Subject.Kind.HOST,
                self.host(),
                nowMs,
                "refute",
                "others held it for " + statement.state() + " in incarnation " + statement.incarnation());
        changeSelf(statement.incarnation() + 1, self.state(), nowMs, out);
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
        Member visibleBefore = before == null ? null : visible(before);
        notifyListeners(visibleBefore, visible(after), nowMs, out);
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

    private Member visible(Member member) {
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
