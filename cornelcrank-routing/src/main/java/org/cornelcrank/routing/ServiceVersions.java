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
 * <p>What has been listed is evidence about a moment only if a read of the directory was sent at that moment or later;
 * each query about a moment therefore names it. A service without any listed target keeps the versions that it had last.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class ServiceVersions {

    /**
     * How long the directory counts as within reach after a read, in ms: the longest time for which the store holds a
     * read open, and its response time.
     */
    private static final long WITHIN_REACH_MS = 4_000;

    private final Map<ServiceName, Versions> services = new HashMap<>();
    private Optional<Map<ServiceName, Set<SoftwareVersion>>> recorded = Optional.empty();
    private long recordedAsOfMs = Long.MIN_VALUE / 2;
    private long confirmedAtMs = Long.MIN_VALUE / 2;
    private long confirmedAsOfMs = Long.MIN_VALUE / 2;
    private long unconfirmedAsOfMs = Long.MIN_VALUE / 2;

    private boolean readFailed;

    /** Since when all changes of the directory have been read. */
    private long completeSinceMs = Long.MIN_VALUE / 2;

    /**
     * Records the versions of the targets that are listed now; returns the services that had a single one until now.
     */
    Set<ServiceName> listed(Collection<TargetState> targets, long nowMs) {
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

    /** Records that all changes of the directory before {@code asOfMs} have been listed. */
    void confirmed(long asOfMs, long nowMs) {
        readFailed = false;
        confirmedAtMs = nowMs;
        confirmedAsOfMs = Math.max(confirmedAsOfMs, asOfMs);
    }

    /** Records that a read which was sent at {@code asOfMs} has failed. */
    void unconfirmed(long asOfMs) {
        readFailed = true;
        unconfirmedAsOfMs = Math.max(unconfirmedAsOfMs, asOfMs);
    }

    /** Records that targets may have been listed and removed unseen until now. */
    void gap(long nowMs) {
        completeSinceMs = nowMs;
    }

    /** Returns whether the directory has been read since the given time in ms, so that nothing before it is unknown. */
    boolean confirmedSince(long sinceMs) {
        return confirmedAsOfMs >= sinceMs;
    }

    /** Returns whether a read that was sent at the given time in ms or later has ended. */
    boolean confirmationEnded(long sinceMs) {
        return confirmedSince(sinceMs) || unconfirmedAsOfMs >= sinceMs;
    }

    /** Returns whether the directory has been within reach of late, and no read has failed since. */
    boolean withinReach(long nowMs) {
        return !readFailed && nowMs - confirmedAtMs <= WITHIN_REACH_MS;
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
        return listed + ", recorded " + recordedHere + ", confirmed by a read sent " + (nowMs - confirmedAsOfMs)
                + " ms ago";
    }

    /**
     * Records the versions that open streams may have begun with, as all daemons have recorded them at {@code asOfMs};
     * returns the services that had a single one until now.
     */
    Set<ServiceName> recorded(Map<ServiceName, Set<SoftwareVersion>> versions, long asOfMs, long nowMs) {
        Set<ServiceName> noLongerSole = new HashSet<>(soleServices(nowMs));
        recorded = Optional.of(versions);
        recordedAsOfMs = asOfMs;
        noLongerSole.removeAll(soleServices(nowMs));
        return noLongerSole;
    }

    /** Returns the services of which {@link #sole} is known. */
    Set<ServiceName> soleServices(long nowMs) {
        Set<ServiceName> sole = new HashSet<>(services.keySet());
        sole.removeIf(service -> sole(service, nowMs).isEmpty());
        return sole;
    }

    /**
     * Returns the only version that streams of the service can have begun with, empty if there may be several.
     *
     * <p>This daemon has listed it alone for the lifetime of a stream, or since its start or the last gap if no other is
     * recorded.
     */
    Optional<SoftwareVersion> sole(ServiceName service, long nowMs) {
        Versions versions = services.get(service);
        if (versions == null || versions.listed.size() != 1) {
            return Optional.empty();
        }
        boolean noOtherRecorded = !versions.changedOfLate(nowMs)
                && recorded.isPresent()
                && recordedAsOfMs >= completeSinceMs
                && recordedOthers(service).isEmpty();
        return listedForLifetime(versions, nowMs) || noOtherRecorded
                ? Optional.of(versions.listed.iterator().next())
                : Optional.empty();
    }

    private boolean listedForLifetime(Versions versions, long nowMs) {
        return nowMs - Math.max(versions.changedAtMs, completeSinceMs) >= SoftwareVersion.STREAM_LIFETIME_MS;
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
                || versions.changedOfLate(nowMs)
                || recent && !recordedOthers(service).isEmpty();
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

        boolean changedOfLate(long nowMs) {
            return changed && nowMs - changedAtMs < SoftwareVersion.STREAM_LIFETIME_MS;
        }
    }
}
