package org.cornelcrank.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TimerKey;

/**
 * Holds operators' requests for changes until there are some or their time is over.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class Watchers {

    static final TimerKey TIMER = new TimerKey(ConfigStateMachine.NAME, "watch");

    private final SettingTable table;
    private final Map<RequestId, Watch> open = new LinkedHashMap<>();

    Watchers(SettingTable table) {
        this.table = table;
    }

    int size() {
        return open.size();
    }

    void add(RequestId request, WatchSettings command, long knownVersion, long dueAtMs, Effects out) {
        Watch watch = new Watch(command, dueAtMs);
        if (!answerIfChanged(request, watch, knownVersion, out)) {
            open.put(request, watch);
            schedule(out);
        }
    }

    void remove(RequestId request) {
        open.remove(request);
    }

    /** Answers those whose settings changed. */
    void changed(long knownVersion, Effects out) {
        open.entrySet().removeIf(entry -> answerIfChanged(entry.getKey(), entry.getValue(), knownVersion, out));
    }

    /** Answers those who have waited long enough. */
    void expire(long knownVersion, long nowMs, Effects out) {
        open.entrySet().removeIf(entry -> {
            boolean due = entry.getValue().dueAtMs <= nowMs;
            if (due) {
                out.reply(entry.getKey(), new SettingList(List.of(), knownVersion));
            }
            return due;
        });
        schedule(out);
    }

    private boolean answerIfChanged(RequestId request, Watch watch, long knownVersion, Effects out) {
        List<SettingEntry> changed = table.below(watch.command.prefix()).stream()
                .filter(entry -> entry.version() > watch.command.fromVersion())
                .toList();
        if (changed.isEmpty()) {
            return false;
        }
        long newest = changed.stream().mapToLong(SettingEntry::version).max().getAsLong();
        out.reply(request, new SettingList(changed, Math.max(newest, knownVersion)));
        return true;
    }

    private void schedule(Effects out) {
        open.values().stream().mapToLong(Watch::dueAtMs).min().ifPresent(dueAtMs -> out.schedule(TIMER, dueAtMs));
    }

    private record Watch(WatchSettings command, long dueAtMs) {}
}
