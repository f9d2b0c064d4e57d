package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.cornelcrank.config.ApiKeyEntry;
import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.Settings;
import org.cornelcrank.config.TargetPolicy;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/** Settings that a test controls. */
final class FakeSettings implements Settings {

    private final Map<TeamPath, TeamPolicy> teams = new TreeMap<>();
    private final Map<TargetId, TargetPolicy> targets = new TreeMap<>();
    private final List<SettingsListener> listeners = new ArrayList<>();

    /** Whether reading a team fails. */
    boolean failing;

    FakeSettings() {
        putTeam("/nilavu", List.of(), 0, 0);
        putTeam("/tatranske", List.of(), 0, 0);
    }

    void putTeam(String path, List<String> targetPatterns, double maxRequestsPerSecond, long maxTokensPerSecond) {
        TeamPath team = new TeamPath(path);
        teams.put(
                team,
                new TeamPolicy(
                        team,
                        new RegionId("north"),
                        Urgency.IMMEDIATE,
                        10_000,
                        Set.of(),
                        targetPatterns,
                        1,
                        maxRequestsPerSecond,
                        maxTokensPerSecond,
                        10,
                        1_000_000,
                        3_600_000,
                        3_600_000,
                        3));
    }

    void dropTeam(String path, long nowMs, Effects out) {
        teams.remove(new TeamPath(path));
        listeners.forEach(listener -> listener.settingsChanged(nowMs, out));
    }

    void setSlots(TargetId id, int slots) {
        targets.put(id, new TargetPolicy(id, slots, false, false, "mixed"));
    }

    void drain(String target, long nowMs, Effects out) {
        TargetId id = new TargetId(target);
        targets.put(id, new TargetPolicy(id, 0, false, true, "mixed"));
        listeners.forEach(listener -> listener.settingsChanged(nowMs, out));
    }

    @Override
    public long version() {
        return 1;
    }

    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public Optional<TeamPolicy> team(TeamPath team) {
        if (failing) {
            throw new IllegalStateException("made to fail");
        }
        return Optional.ofNullable(teams.get(new TeamPath("/" + team.team())));
    }

    @Override
    public Collection<TeamPath> teams() {
        return teams.keySet();
    }

    @Override
    public Optional<ServicePolicy> service(ServiceName service) {
        return Optional.empty();
    }

    @Override
    public Collection<ServiceName> services() {
        return List.of();
    }

    @Override
    public TargetPolicy target(TargetId target) {
        return targets.getOrDefault(target, new TargetPolicy(target, 0, false, false, "mixed"));
    }

    @Override
    public Optional<ApiKeyEntry> apiKey(String keyId) {
        return Optional.empty();
    }

    @Override
    public void subscribe(SettingsListener listener) {
        listeners.add(listener);
    }
}
