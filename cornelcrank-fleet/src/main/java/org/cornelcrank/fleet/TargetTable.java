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
 * Keeps the listed targets with their newest reports and the attempts that daemons counted on them.
 *
 * <p>Invariant: an older report never replaces a newer one. Not thread-safe: confined to the daemon's event loop.
 */
final class TargetTable {

    private final TreeMap<TargetId, Known> targets = new TreeMap<>();

    void listed(List<HostEntry> hosts) {
        TreeMap<TargetId, HostEntry> present = new TreeMap<>();
        for (HostEntry host : hosts) {
            if (host.role() == HostRole.TARGET) {
                present.put(new TargetId(host.name()), host);
            }
        }
        targets.keySet().retainAll(present.keySet());
        present.forEach((id, entry) -> targets.computeIfAbsent(id, ignored -> new Known(id, entry)).entry = entry);
    }

    /** Takes a report and the sender's counts; returns false if the target is not listed or the report is outdated. */
    boolean seen(TargetReport report, HostId by, AttemptStatistics.Counts counts, long nowMs) {
        Known known = targets.get(report.target());
        if (known == null) {
            return false;
        }
        known.countsByHost.put(by, counts);
        if (known.report != null && known.report.measuredAtMs() > report.measuredAtMs()) {
            return false;
        }
        known.report = report;
        known.seenAtMs = nowMs;
        return true;
    }

    void lost(TargetId target, long nowMs) {
        Known known = targets.get(target);
        if (known != null) {
            known.lostAtMs = nowMs;
            known.report = null;
        }
    }

    Optional<Known> find(TargetId target) {
        return Optional.ofNullable(targets.get(target));
    }

    List<Known> inRegion(RegionId region) {
        return targets.values().stream()
                .filter(known -> known.entry.location().region().equals(region))
                .toList();
    }

    Map<TargetId, Known> all() {
        return targets;
    }

    /** A listed target and what is known of it. */
    static final class Known {
        private final TargetId id;
        private final Map<HostId, AttemptStatistics.Counts> countsByHost = new TreeMap<>();
        private HostEntry entry;
        private TargetReport report;
        private long seenAtMs;
        private long lostAtMs = -1;

        Known(TargetId id, HostEntry entry) {
            this.id = id;
            this.entry = entry;
        }

        TargetId id() {
            return id;
        }

        HostEntry entry() {
            return entry;
        }

        /** Returns the newest report, empty if there is none or it is too old. */
        Optional<TargetReport> report(long staleMs, long nowMs) {
            return report == null || nowMs - seenAtMs > staleMs ? Optional.empty() : Optional.of(report);
        }

        boolean isLeaving() {
            return entry.leaving() || report != null && report.leaving();
        }

        /** Returns whether the target is meant for the service or has it loaded. */
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
