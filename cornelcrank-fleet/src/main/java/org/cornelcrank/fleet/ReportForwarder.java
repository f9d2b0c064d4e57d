package org.cornelcrank.fleet;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;

/**
 * Forwards the reports of targets that this daemon watches to the holder of the region's claim, when a relevant field
 * has changed or the last forwarded report is too old.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class ReportForwarder {

    private final long refreshMs;
    private final Map<TargetId, Sent> sent = new TreeMap<>();

    ReportForwarder(long refreshMs) {
        this.refreshMs = refreshMs;
    }

    void reported(TargetReport report, AttemptStatistics.Counts counts, HostId holder, long nowMs, Effects out) {
        Sent now = new Sent(holder, report.loaded(), report.leaving(), report.fencingNumber(), nowMs);
        Sent before = sent.get(report.target());
        if (before != null && before.isSame(now) && nowMs - before.atMs < refreshMs) {
            return;
        }
        sent.put(report.target(), now);
        out.send(holder, new FleetMessage.TargetSeen(report, counts.attempts(), counts.failures()));
    }

    void lost(TargetId target, HostId holder, Effects out) {
        if (sent.remove(target) != null) {
            out.send(holder, new FleetMessage.TargetLost(target));
        }
    }

    void retain(Set<TargetId> targets) {
        sent.keySet().retainAll(targets);
    }

    private record Sent(HostId to, Set<String> loaded, boolean leaving, long fencingNumber, long atMs) {

        boolean isSame(Sent other) {
            return to.equals(other.to)
                    && loaded.equals(other.loaded)
                    && leaving == other.leaving
                    && fencingNumber == other.fencingNumber;
        }
    }
}
