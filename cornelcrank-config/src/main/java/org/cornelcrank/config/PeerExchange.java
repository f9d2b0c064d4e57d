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
 * Asks other daemons for settings that the log did not bring, more often while the log does not answer.
 *
 * <p>Invariant: only a daemon that knows the settings whole answers. Not thread-safe: confined to the daemon's event loop.
 */
final class PeerExchange {

    static final TimerKey TIMER = new TimerKey(ConfigStateMachine.NAME, "peers");

    private static final int MAX_ANSWER_BYTES = 64 * 1024;
    private static final int ENTRY_OVERHEAD_BYTES = 16;

    private final MembershipView membership;
    private final ConfigSettings settings;
    private final SettingTable table;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final TreeSet<HostId> answered = new TreeSet<>();
    private long completeUpTo;
    private long firstAnswerAtMs = -1;

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

    /** Asks a daemon nearby, and without the log one of another data centre as well. */
    void askNext(boolean logAnswers, long knownVersion, long nowMs, Effects out) {
        ask(peers(true), knownVersion, out);
        if (!logAnswers) {
            ask(peers(false), knownVersion, out);
        }
        long intervalMs = logAnswers ? settings.peerIntervalMs() : settings.peerIntervalWithoutLogMs();
        out.schedule(TIMER, nowMs + intervalMs / 2 + random.nextLong(intervalMs));
    }

    /** Answers a request, and asks in return if the other daemon knows more. */
    void answer(HostId from, long afterVersion, long knownVersion, Effects out) {
        List<SettingEntry> entries = new ArrayList<>();
        boolean complete = true;
        int bytes = 0;
        long upToVersion = knownVersion;
        for (SettingEntry entry : afterVersion < knownVersion ? table.above(afterVersion) : List.<SettingEntry>of()) {
            int size = entry.path().length() + entry.value().map(String::length).orElse(0) + ENTRY_OVERHEAD_BYTES;
            if (bytes > 0 && bytes + size > MAX_ANSWER_BYTES) {
                complete = false;
                upToVersion = entries.get(entries.size() - 1).version();
                break;
            }
            entries.add(entry);
            bytes += size;
        }
        out.send(from, new ConfigMessage.Changes(afterVersion, upToVersion, complete, entries));
        if (afterVersion > knownVersion) {
            out.send(from, new ConfigMessage.ChangesRequest(knownVersion));
        }
    }

    /** Takes what another daemon told, and returns the paths whose newest entry changed. */
    List<String> take(HostId from, ConfigMessage.Changes changes, long knownVersion, long nowMs, Effects out) {
        List<String> changed = new ArrayList<>();
        for (SettingEntry entry : changes.entries()) {
            if (table.take(entry)) {
                changed.add(entry.path());
            }
        }
        metrics.counter("config.peer-entries-taken").inc(changed.size());
        boolean contiguous = changes.afterVersion() <= Math.max(knownVersion, completeUpTo);
        if (contiguous) {
            completeUpTo = Math.max(completeUpTo, changes.upToVersion());
        }
        if (!changes.complete()) {
            out.send(from, new ConfigMessage.ChangesRequest(changes.upToVersion()));
        } else if (contiguous) {
            answered.add(from);
            firstAnswerAtMs = firstAnswerAtMs < 0 ? nowMs : firstAnswerAtMs;
        }
        return changed;
    }

    /** Returns the version up to which peers have told all. */
    long completeUpTo() {
        return completeUpTo;
    }

    /** Returns whether enough daemons have told all that they know, or some and no more come. */
    boolean hasState(long nowMs) {
        if (firstAnswerAtMs < 0) {
            return false;
        }
        return answered.size() >= settings.peersBeforeReady() || nowMs - firstAnswerAtMs >= settings.peerPatienceMs();
    }

    int answered() {
        return answered.size();
    }

    private void ask(List<Member> candidates, long knownVersion, Effects out) {
        if (!candidates.isEmpty()) {
            Member peer = candidates.get(random.nextInt(candidates.size()));
            out.send(peer.host(), new ConfigMessage.ChangesRequest(Math.max(knownVersion, completeUpTo)));
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
