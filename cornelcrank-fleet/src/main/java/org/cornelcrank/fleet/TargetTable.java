package org.cornelcrank.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.LoadedModel;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;

/**
 * Holds the listed targets with their latest reports and the attempts that daemons counted on them.
 *
 * <p>Invariant: an older report never replaces a newer one. Not thread-safe: confined to the daemon's event loop.
 */
final class TargetTable {

    private final TreeMap<TargetId, ListedTarget> targets = new TreeMap<>();

    void listed(List<HostEntry> hosts) {
        TreeMap<TargetId, HostEntry> present = new TreeMap<>();
        for (HostEntry host : hosts) {
            if (host.role() == HostRole.TARGET) {
                present.put(new TargetId(host.name()), host);
            }
        }
        targets.keySet().retainAll(present.keySet());
        present.forEach(
                (id, entry) -> targets.computeIfAbsent(id, ignored -> new ListedTarget(id, entry)).entry = entry);
    }

    /**
     * Updates the report of a target and the sender's attempt counts; returns false if the target is not listed or the
     * report is outdated.
     */
    boolean reported(TargetReport report, HostId by, AttemptStatistics.Counts counts, long nowMs) {
        ListedTarget listed = targets.get(report.target());
        if (listed == null) {
            return false;
        }
        listed.countsByHost.put(by, counts);
        if (listed.report != null && listed.report.measuredAtMs() > report.measuredAtMs()) {
            return false;
        }
        listed.report = report;
        listed.receivedAtMs = nowMs;
        return true;
    }

    void lost(TargetId target, long nowMs) {
        ListedTarget listed = targets.get(target);
        if (listed != null) {
            listed.lostAtMs = nowMs;
            listed.report = null;
        }
    }

    Optional<ListedTarget> find(TargetId target) {
        return Optional.ofNullable(targets.get(target));
    }

    List<ListedTarget> inRegion(RegionId region) {
        return targets.values().stream()
                .filter(listed -> listed.entry.location().region().equals(region))
                .toList();
    }

    Map<TargetId, ListedTarget> all() {
        return targets;
    }

    /** A target of the host list, with its latest report and attempt counts. */
    static final class ListedTarget {
        private final TargetId id;
        private final Map<HostId, AttemptStatistics.Counts> countsByHost = new TreeMap<>();
        private HostEntry entry;
        private TargetReport report;
        private long receivedAtMs;
        private long lostAtMs = -1;

        ListedTarget(TargetId id, HostEntry entry) {
            this.id = id;
            this.entry = entry;
        }

        TargetId id() {
            return id;
        }

        HostEntry entry() {
            return entry;
        }

        /** Returns the latest report, empty if there is none or it is too old. */
        Optional<TargetReport> report(long staleMs, long nowMs) {
            return report == null || nowMs - receivedAtMs > staleMs ? Optional.empty() : Optional.of(report);
        }

        boolean isLeaving() {
            return entry.leaving() || report != null && report.leaving();
        }

        /** Returns whether the target is listed for the service or has it loaded. */
        boolean offers(ServiceName service) {
            return entry.services().contains(service)
                    || report != null && LoadedModel.isAmong(report.loaded(), service);
        }

        boolean wasLostSince(long atMs) {
            return lostAtMs >= atMs;
        }

        AttemptStatistics.Counts counts() {
            return countsByHost.values().stream().reduce(AttemptStatistics.Counts.NONE, AttemptStatistics.Counts::plus);
        }
    }
}
