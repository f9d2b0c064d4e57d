package org.cornelcrank.fake;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.config.ApiKeyEntry;
import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.Settings;
import org.cornelcrank.config.TargetPolicy;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/** Settings of a few teams with one home region. Immutable. */
public final class FakeSettings implements Settings {

    public static final long RETENTION_MS = 24L * 3_600_000;
    public static final int MAX_ITEM_ATTEMPTS = 3;

    private final List<TeamPath> teams;

    public FakeSettings(String... teams) {
        this.teams = List.of(teams).stream().map(TeamPath::new).toList();
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
        return teams.stream()
                .filter(configured -> configured.contains(team))
                .findFirst()
                .map(configured -> new TeamPolicy(
                        team,
                        FakeCluster.REGION,
                        Urgency.BATCH,
                        10_000,
                        Set.of(),
                        List.of(),
                        1,
                        100,
                        100_000,
                        50,
                        1L << 40,
                        3_600_000,
                        RETENTION_MS,
                        MAX_ITEM_ATTEMPTS));
    }

    @Override
    public Collection<TeamPath> teams() {
        return teams;
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
        return new TargetPolicy(target, 0, false, false, "mixed");
    }

    @Override
    public Optional<ApiKeyEntry> apiKey(String keyId) {
        return Optional.empty();
    }

    @Override
    public void subscribe(SettingsListener listener) {
        // These settings never change.
    }
}
