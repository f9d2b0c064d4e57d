package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.TimerKey;

/**
 * Exchanges settings with peers, more often while the log is not available (anti-entropy).
 *
 * <p>Invariant: a daemon replies only if its own settings are complete. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class PeerExchange {

    static final TimerKey TIMER = new TimerKey(ConfigStateMachine.NAME, "peers");

    private static final int MAX_REPLY_BYTES = 64 * 1024;
    private static final int ENTRY_OVERHEAD_BYTES = 16;

    private final MembershipView membership;
    private final ConfigSettings settings;
    private final SettingTable table;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final TreeSet<HostId> repliedPeers = new TreeSet<>();
    private long completeUpTo;
    private long firstReplyAtMs = -1;

    PeerExchange(
            MembershipView membership,
            ConfigSettings settings,
            SettingTable table,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.membership = membership;
        this.settings = settings;
        this.table = table;
        this.random = random;
        this.metrics = metrics;
    }

    /** Sends a request to a peer in this data centre, and without the log also to one in another data centre. */
    void requestChanges(boolean logAvailable, long localVersion, long nowMs, Effects out) {
        sendRequest(peers(true), localVersion, out);
        if (!logAvailable) {
            sendRequest(peers(false), localVersion, out);
        }
        long intervalMs = logAvailable ? settings.peerIntervalMs() : settings.peerIntervalWithoutLogMs();
        out.schedule(TIMER, nowMs + intervalMs / 2 + random.nextLong(intervalMs));
    }

    /** Replies to a request, and sends a request in return if the peer has newer entries. */
    void reply(HostId from, long afterVersion, long localVersion, Effects out) {
        List<SettingEntry> entries = new ArrayList<>();
        boolean complete = true;
        int bytes = 0;
        long upToVersion = localVersion;
        for (SettingEntry entry :
                afterVersion < localVersion ? table.entriesAfter(afterVersion) : List.<SettingEntry>of()) {
            int size = entry.path().length() + entry.value().map(String::length).orElse(0) + ENTRY_OVERHEAD_BYTES;
            if (bytes > 0 && bytes + size > MAX_REPLY_BYTES) {
                complete = false;
                upToVersion = entries.get(entries.size() - 1).version();
                break;
            }
            entries.add(entry);
            bytes += size;
        }
        out.send(from, new ConfigMessage.Changes(afterVersion, upToVersion, complete, entries));
        if (afterVersion > localVersion) {
            out.send(from, new ConfigMessage.ChangesRequest(localVersion));
        }
    }

    /** Applies the entries of a peer, and returns the paths whose newest entry changed. */
    List<String> apply(HostId from, ConfigMessage.Changes changes, long localVersion, long nowMs, Effects out) {
        List<String> changed = new ArrayList<>();
        for (SettingEntry entry : changes.entries()) {
            if (table.applyIfNewer(entry)) {
                changed.add(entry.path());
            }
        }
        metrics.counter("config.peer-entries-taken").inc(changed.size());
        boolean contiguous = changes.afterVersion() <= Math.max(localVersion, completeUpTo);
        if (contiguous) {
            completeUpTo = Math.max(completeUpTo, changes.upToVersion());
        }
        if (!changes.complete()) {
            out.send(from, new ConfigMessage.ChangesRequest(changes.upToVersion()));
        } else if (contiguous) {
            repliedPeers.add(from);
            firstReplyAtMs = firstReplyAtMs < 0 ? nowMs : firstReplyAtMs;
        }
        return changed;
    }

    /** Returns the version up to which all entries have been received from peers. */
    long completeUpTo() {
        return completeUpTo;
    }

    /** Returns whether enough peers have sent all their entries, or some have and no more are expected. */
    boolean hasCompleteState(long nowMs) {
        if (firstReplyAtMs < 0) {
            return false;
        }
        return repliedPeers.size() >= settings.peersBeforeReady()
                || nowMs - firstReplyAtMs >= settings.peerPatienceMs();
    }

    int repliedPeers() {
        return repliedPeers.size();
    }

    private void sendRequest(List<Member> candidates, long localVersion, Effects out) {
        if (!candidates.isEmpty()) {
            Member peer = candidates.get(random.nextInt(candidates.size()));
            out.send(peer.host(), new ConfigMessage.ChangesRequest(Math.max(localVersion, completeUpTo)));
        }
    }

    private List<Member> peers(boolean local) {
        Member self = membership.self();
        return membership.members().stream()
                .filter(member -> !member.host().equals(self.host()))
                .filter(member -> isLocal(member, self) == local)
                .toList();
    }

    private static boolean isLocal(Member member, Member self) {
        return member.location().distanceTo(self.location()) == Location.Distance.SAME_DATA_CENTRE;
    }
}
