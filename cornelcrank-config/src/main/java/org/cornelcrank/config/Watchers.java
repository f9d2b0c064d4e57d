package org.cornelcrank.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TimerKey;

/**
 * Holds operators' watch requests until a watched setting changes or they time out (long polling).
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class Watchers {

    static final TimerKey TIMER = new TimerKey(ConfigStateMachine.NAME, "watch");

    private final SettingTable table;
    private final Map<RequestId, Watch> watches = new LinkedHashMap<>();

    Watchers(SettingTable table) {
        this.table = table;
    }

    int size() {
        return watches.size();
    }

    void add(RequestId request, WatchSettings command, long currentVersion, long dueAtMs, Effects out) {
        Watch watch = new Watch(command, dueAtMs);
        if (!replyIfChanged(request, watch, currentVersion, out)) {
            watches.put(request, watch);
            schedule(out);
        }
    }

    void remove(RequestId request) {
        watches.remove(request);
    }

    /** Replies to the requests whose settings have changed. */
    void settingsChanged(long currentVersion, Effects out) {
        watches.entrySet().removeIf(entry -> replyIfChanged(entry.getKey(), entry.getValue(), currentVersion, out));
    }

    /** Replies with an empty list to the requests that have timed out. */
    void expire(long currentVersion, long nowMs, Effects out) {
        watches.entrySet().removeIf(entry -> {
            boolean due = entry.getValue().dueAtMs <= nowMs;
            if (due) {
                out.reply(entry.getKey(), new SettingList(List.of(), currentVersion));
            }
            return due;
        });
        schedule(out);
    }

    private boolean replyIfChanged(RequestId request, Watch watch, long currentVersion, Effects out) {
        List<SettingEntry> changed = table.entriesBelow(watch.command.prefix()).stream()
                .filter(entry -> entry.version() > watch.command.fromVersion())
                .toList();
        if (changed.isEmpty()) {
            return false;
        }
        long newest = changed.stream().mapToLong(SettingEntry::version).max().getAsLong();
        out.reply(request, new SettingList(changed, Math.max(newest, currentVersion)));
        return true;
    }

    private void schedule(Effects out) {
        watches.values().stream().mapToLong(Watch::dueAtMs).min().ifPresent(dueAtMs -> out.schedule(TIMER, dueAtMs));
    }

    private record Watch(WatchSettings command, long dueAtMs) {}
}
