package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.RendezvousHash;
import org.cornelcrank.core.TimerKey;

/**
 * Appends snapshots of all settings to the log before the records that set them expire.
 *
 * <p>One daemon, chosen by rendezvous hashing, writes a snapshot when it is due; any other does so when it is overdue
 * by a full interval. Concurrent snapshots are harmless: each entry has the version of its path, and a reader can use
 * either. Not thread-safe: confined to the daemon's event loop.
 */
final class SnapshotWriter {

    static final TimerKey TIMER = new TimerKey(ConfigStateMachine.NAME, "snapshot");

    private static final int PART_BYTES = 512 * 1024;
    private static final int ENTRY_OVERHEAD_BYTES = 16;
    private static final int CHECKS_PER_INTERVAL = 8;

    private final MembershipView membership;
    private final ConfigSettings settings;
    private final SettingTable table;
    private final ConfigurationLog log;
    private final ChangeQueue queue;
    private final RandomGenerator random;
    private final MetricRegistry metrics;

    SnapshotWriter(
            MembershipView membership,
            ConfigSettings settings,
            SettingTable table,
            ConfigurationLog log,
            ChangeQueue queue,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.membership = membership;
        this.settings = settings;
        this.table = table;
        this.log = log;
        this.queue = queue;
        this.random = random;
        this.metrics = metrics;
    }

    void start(long nowMs, Effects out) {
        schedule(nowMs, out);
    }

    /** Writes a snapshot if one is due at this daemon. */
    void writeIfDue(boolean logAvailable, long nowMs, Effects out) {
        long ageMs = log.lastSnapshotAtMs() < 0 ? 0 : nowMs - log.lastSnapshotAtMs();
        boolean due =
                ageMs >= settings.snapshotIntervalMs() && isChosen() || ageMs >= 2 * settings.snapshotIntervalMs();
        if (due && logAvailable && log.caughtUp()) {
            write(nowMs, out);
        }
        schedule(nowMs, out);
    }

    private void write(long nowMs, Effects out) {
        Optional<List<SettingEntry>> entries = table.foldedEntries();
        if (entries.isEmpty()) {
            return;
        }
        List<List<SettingEntry>> parts = split(entries.get());
        for (int i = 0; i < parts.size(); i++) {
            Map<String, Long> writers = i == 0 ? log.lastSequences() : Map.of();
            queue.submit(
                    new ConfigurationRecord.SnapshotPart(log.nextOffset(), i, parts.size(), parts.get(i), writers),
                    nowMs,
                    out);
        }
        metrics.counter("config.snapshots-written").inc();
        out.add(new Effect.StateChanged(
                ConfigStateMachine.NAME, "writes a snapshot of " + entries.get().size() + " settings"));
    }

    private boolean isChosen() {
        List<Member> candidates =
                membership.members().stream().filter(Member::acceptsWork).toList();
        return RendezvousHash.choose("configuration-snapshot", candidates, member -> member.host()
                        .value())
                .filter(member -> member.host().equals(membership.self().host()))
                .isPresent();
    }

    private void schedule(long nowMs, Effects out) {
        long checkMs = Math.max(2, settings.snapshotIntervalMs() / CHECKS_PER_INTERVAL);
        out.schedule(TIMER, nowMs + checkMs / 2 + random.nextLong(checkMs));
    }

    private static List<List<SettingEntry>> split(List<SettingEntry> entries) {
        List<List<SettingEntry>> parts = new ArrayList<>();
        List<SettingEntry> part = new ArrayList<>();
        int bytes = 0;
        for (SettingEntry entry : entries) {
            bytes += entry.path().length() + entry.value().map(String::length).orElse(0) + ENTRY_OVERHEAD_BYTES;
            part.add(entry);
            if (bytes >= PART_BYTES) {
                parts.add(part);
                part = new ArrayList<>();
                bytes = 0;
            }
        }
        if (!part.isEmpty()) {
            parts.add(part);
        }
        return parts;
    }
}
