package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.cornelcrank.config.Settings;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;

/**
 * The targets known to this daemon from the platform's host list, from their reports and from other daemons' facts.
 *
 * <p>Invariant: a target that is marked as leaving by any of these, or as draining by the settings, gets no new work.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class TargetDirectory {

    private final Settings settings;
    private final RoutingSettings routing;
    private final Map<TargetId, TargetState> targets = new TreeMap<>();
    private long version;

    TargetDirectory(Settings settings, RoutingSettings routing) {
        this.settings = settings;
        this.routing = routing;
    }

    /** Returns a version number that increases whenever an incarnation of a target appears or disappears. */
    long version() {
        return version;
    }

    /** Applies the platform's host list; returns the targets that it marks as leaving. */
    List<TargetState> listRead(List<HostEntry> hosts) {
        Map<TargetId, TargetState> listed = new TreeMap<>();
        List<TargetState> leaving = new ArrayList<>();
        for (HostEntry host : hosts) {
            if (host.role() != HostRole.TARGET) {
                continue;
            }
            TargetState target = targets.get(new TargetId(host.name()));
            if (target == null || startedAgain(target, host)) {
                target = new TargetState(host, new TargetHealth(routing.ejection()));
            }
            target.listed(host);
            listed.put(target.id(), target);
            if (host.leaving()) {
                leaving.add(target);
            }
        }
        if (!listed.equals(targets)) {
            version++;
        }
        targets.clear();
        targets.putAll(listed);
        return leaving;
    }

    /**
     * Returns whether an entry is of another process than the target that was listed before. Its version changes only
     * with the process, and the state of the former one keeps the version for the attempts that run there.
     */
    private static boolean startedAgain(TargetState target, HostEntry host) {
        return target.incarnation() != host.incarnation()
                || !target.softwareVersion().equals(host.softwareVersion());
    }

    Optional<TargetState> find(TargetId target) {
        return Optional.ofNullable(targets.get(target));
    }

    /** Returns whether the target is listed, with the same incarnation. */
    boolean lists(TargetState target) {
        return find(target.id())
                .filter(listed -> listed.incarnation() == target.incarnation())
                .isPresent();
    }

    /** Returns whether the target is listed with another version, thus another process than the given state describes. */
    boolean listsOtherVersion(TargetState target) {
        return find(target.id())
                .filter(listed -> !listed.softwareVersion().equals(target.softwareVersion()))
                .isPresent();
    }

    Set<TargetId> ids() {
        return targets.keySet();
    }

    Collection<TargetState> all() {
        return targets.values();
    }

    /** Returns whether any target of the service has the version, whatever its state. */
    boolean lists(ServiceName service, SoftwareVersion version) {
        return targets.values().stream()
                .anyMatch(target ->
                        target.offers(service) && target.softwareVersion().equals(version));
    }

    boolean leaving(TargetState target, long nowMs) {
        return target.leaving(nowMs) || settings.target(target.id()).draining();
    }

    /**
     * Returns the targets that may run the request now, ordered by id; only those with the model loaded if there are
     * any.
     */
    List<TargetState> eligible(RoutedRequest request, TeamPolicy team, TargetFilter filter, long nowMs) {
        List<TargetState> offering = new ArrayList<>();
        List<TargetState> loaded = new ArrayList<>();
        for (TargetState target : targets.values()) {
            if (!target.offers(request.service())
                    || !filter.admits(target)
                    || target.health().ejected(nowMs)
                    || leaving(target, nowMs)
                    || !allowed(team, target.id())) {
                continue;
            }
            offering.add(target);
            if (target.hasLoaded(request.service())) {
                loaded.add(target);
            }
        }
        return loaded.isEmpty() ? offering : loaded;
    }

    private static boolean allowed(TeamPolicy team, TargetId target) {
        return team.targetPatterns().isEmpty()
                || team.targetPatterns().stream().anyMatch(pattern -> matches(pattern, target.value()));
    }

    private static boolean matches(String pattern, String text) {
        int star = pattern.indexOf('*');
        if (star < 0) {
            return pattern.equals(text);
        }
        if (!text.startsWith(pattern.substring(0, star))) {
            return false;
        }
        String rest = pattern.substring(star + 1);
        for (int from = star; from <= text.length(); from++) {
            if (matches(rest, text.substring(from))) {
                return true;
            }
        }
        return false;
    }
}
