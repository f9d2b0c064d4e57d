package org.cornelcrank.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;

/**
 * Tracks which versions of the software the targets of each service have had of late.
 *
 * <p>A service without any listed target keeps the versions that it had last. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class ServiceVersions {

    /**
     * How long a listing counts as up to date, in ms: the longest time for which the store holds a read open, and its
     * response time.
     */
    private static final long UP_TO_DATE_MS = 4_000;

    private final Map<ServiceName, Versions> services = new HashMap<>();
    private Optional<Map<ServiceName, Set<SoftwareVersion>>> recorded = Optional.empty();
    private long confirmedAtMs = Long.MIN_VALUE / 2;
    private long confirmedAsOfMs = Long.MIN_VALUE / 2;

    /**
     * Records the versions of the targets that are listed now; returns the services that had a single one until now.
     */
    Set<ServiceName> listed(Collection<TargetState> targets, long nowMs) {
        confirmedAtMs = nowMs;
        Map<ServiceName, Set<SoftwareVersion>> current = new HashMap<>();
        for (TargetState target : targets) {
            for (ServiceName service : target.services()) {
                current.computeIfAbsent(service, name -> new HashSet<>()).add(target.softwareVersion());
            }
        }
        Set<ServiceName> noLongerSole = new HashSet<>();
        current.forEach((service, versions) -> {
            boolean wasSole = sole(service, nowMs).isPresent();
            services.computeIfAbsent(service, name -> new Versions(versions, nowMs))
                    .update(versions, nowMs);
            if (wasSole && sole(service, nowMs).isEmpty()) {
                noLongerSole.add(service);
            }
        });
        return noLongerSole;
    }

    /** Records that the targets that were listed last were still all there were at {@code asOfMs}. */
    void confirmed(long asOfMs, long nowMs) {
        confirmedAtMs = nowMs;
        confirmedAsOfMs = asOfMs;
    }

    /** Describes what is known of the service's versions, and its age, for the log. */
    String describe(ServiceName service, long nowMs) {
        Versions versions = services.get(service);
        String listed = versions == null
                ? "none listed"
                : "listed " + versions.listed + " for " + (nowMs - versions.changedAtMs) + " ms";
        String recordedHere = recorded.map(
                        all -> all.getOrDefault(service, Set.of()).toString())
                .orElse("not read");
        return listed + ", recorded " + recordedHere + ", counted as up to date " + (nowMs - confirmedAtMs)
                + " ms ago, confirmed by a read sent " + (nowMs - confirmedAsOfMs) + " ms ago";
    }

    /** Returns whether this daemon has listed all targets of late, so that it is not out of step with the others. */
    boolean upToDate(long nowMs) {
        return nowMs - confirmedAtMs <= UP_TO_DATE_MS;
    }

    /**
     * Records the versions that open streams may have begun with, as all daemons have recorded them; returns the
     * services that had a single one until now.
     */
    Set<ServiceName> recorded(Map<ServiceName, Set<SoftwareVersion>> versions, long nowMs) {
        Set<ServiceName> noLongerSole = new HashSet<>(services.keySet());
        noLongerSole.removeIf(service -> sole(service, nowMs).isEmpty());
        recorded = Optional.of(versions);
        noLongerSole.removeIf(service -> sole(service, nowMs).isPresent());
        return noLongerSole;
    }

    /**
     * Returns the only version that streams of the service can have begun with, empty if there may be several.
     *
     * <p>This daemon has listed it alone for the lifetime of a stream, or since its start if no other is recorded.
     */
    Optional<SoftwareVersion> sole(ServiceName service, long nowMs) {
        Versions versions = services.get(service);
        if (versions == null || versions.listed.size() != 1) {
            return Optional.empty();
        }
        SoftwareVersion version = versions.listed.iterator().next();
        boolean forLong = nowMs - versions.changedAtMs >= SoftwareVersion.STREAM_LIFETIME_MS;
        boolean noOtherRecorded = !versions.changed
                && recorded.isPresent()
                && recordedOthers(service).isEmpty();
        return forLong || noOtherRecorded ? Optional.of(version) : Optional.empty();
    }

    private Set<SoftwareVersion> recordedOthers(ServiceName service) {
        Set<SoftwareVersion> others = new HashSet<>(
                recorded.map(all -> all.getOrDefault(service, Set.of())).orElse(Set.of()));
        others.removeAll(services.get(service).listed);
        return others;
    }

    /** Returns whether streams of the service may have begun with several versions, as far as this daemon knows. */
    boolean mixed(ServiceName service, long nowMs) {
        Versions versions = services.get(service);
        if (versions == null) {
            return false;
        }
        boolean recent = nowMs - versions.changedAtMs < SoftwareVersion.STREAM_LIFETIME_MS;
        return versions.listed.size() > 1
                || recent && (versions.changed || !recordedOthers(service).isEmpty());
    }

    private static final class Versions {

        private Set<SoftwareVersion> listed;
        private long changedAtMs;
        private boolean changed;

        Versions(Set<SoftwareVersion> listed, long nowMs) {
            this.listed = listed;
            this.changedAtMs = nowMs;
        }

        void update(Set<SoftwareVersion> now, long nowMs) {
            if (now.equals(listed)) {
                return;
            }
            listed = now;
            changedAtMs = nowMs;
            changed = true;
        }
    }
}
