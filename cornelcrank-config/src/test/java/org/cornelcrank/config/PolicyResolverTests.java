package org.cornelcrank.config;

import java.util.Optional;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PolicyResolverTests {

    private static final TeamPath KIOSK = new TeamPath("/nilavu/kiosk");
    private static final String HASHED = "0011223344556677:8899aabbccddeeff:";

    private final SettingTable table = new SettingTable();
    private final PolicyResolver resolver = new PolicyResolver(table);
    private long version;

    @Test
    void workloadInheritsFromTeamAndDefaults() {
        set("/fleet/defaults/share", "3");
        set("/nilavu/home-region", "kerala-south");
        set("/nilavu/deadline-ms", "900");
        set("/nilavu/kiosk/urgency", "immediate");

        TeamPolicy policy = resolver.team(KIOSK).orElseThrow();

        assertThat(policy.homeRegion()).isEqualTo(new RegionId("kerala-south"));
        assertThat(policy.deadlineMs()).isEqualTo(900);
        assertThat(policy.urgency()).isEqualTo(Urgency.IMMEDIATE);
        assertThat(policy.share()).isEqualTo(3);
        assertThat(resolver.team(new TeamPath("/nilavu")).orElseThrow().urgency())
                .isEqualTo(Urgency.INTERACTIVE);
    }

    @Test
    void changeOfAncestorUpdatesResolvedPolicy() {
        set("/nilavu/home-region", "kerala-south");
        set("/nilavu/kiosk/urgency", "immediate");
        assertThat(resolver.team(KIOSK).orElseThrow().deadlineMs()).isEqualTo(30_000);

        set("/nilavu/deadline-ms", "700");
        assertThat(resolver.team(KIOSK).orElseThrow().deadlineMs()).isEqualTo(700);
        set("/fleet/defaults/max-open-jobs", "7");
        assertThat(resolver.team(KIOSK).orElseThrow().maxOpenJobs()).isEqualTo(7);
        delete("/nilavu/deadline-ms");
        assertThat(resolver.team(KIOSK).orElseThrow().deadlineMs()).isEqualTo(30_000);
    }

    @Test
    void workloadWithoutSettingsUsesNearestAncestor() {
        set("/nilavu/home-region", "kerala-south");
        set("/nilavu/kiosk/urgency", "immediate");

        TeamPath deeper = new TeamPath("/nilavu/kiosk/branch-7/door");

        assertThat(resolver.team(deeper).orElseThrow().urgency()).isEqualTo(Urgency.IMMEDIATE);
        assertThat(resolver.team(deeper).orElseThrow().team()).isEqualTo(deeper);
    }

    @Test
    void teamWithoutSettingsOrHomeRegionHasNoPolicy() {
        set("/nilavu/share", "2");

        assertThat(resolver.team(KIOSK)).isEmpty();
        assertThat(resolver.team(new TeamPath("/nila"))).isEmpty();
        set("/nilavu/home-region", "kerala-south");
        assertThat(resolver.team(KIOSK)).isPresent();
        delete("/nilavu/home-region");
        assertThat(resolver.team(KIOSK)).isEmpty();
    }

    @Test
    void serviceHasPolicyOnlyWhileItHasSettings() {
        ServiceName service = new ServiceName("tokens");
        assertThat(resolver.service(service)).isEmpty();

        set("/fleet/services/tokens/kind", "plain");
        set("/fleet/services/tokens/repeatable", "GET /t/*");

        ServicePolicy policy = resolver.service(service).orElseThrow();
        assertThat(policy.kind()).isEqualTo(ServiceKind.PLAIN);
        assertThat(policy.repeatableRoutes().get(0).matches("GET", "/t/1")).isTrue();
        assertThat(policy.repeatableRoutes().get(0).matches("POST", "/t/1")).isFalse();
        delete("/fleet/services/tokens/kind");
        delete("/fleet/services/tokens/repeatable");
        assertThat(resolver.service(service)).isEmpty();
        assertThat(resolver.services()).isEmpty();
    }

    @Test
    void targetWithoutSettingsIsAssumedNotToCheckFencing() {
        assertThat(resolver.target(new TargetId("r1")).checksFencing()).isFalse();

        set("/fleet/targets/r1/checks-fencing", "true");
        assertThat(resolver.target(new TargetId("r1")).checksFencing()).isTrue();
    }

    @Test
    void secondApiKeyWithSameIdDoesNotReplaceFirst() {
        set("/nilavu/api-keys/k1", HASHED + "caller");
        set("/another/api-keys/k1", HASHED + "operator");

        ApiKeyEntry key = resolver.apiKey("k1").orElseThrow();

        assertThat(key.team()).isEqualTo(new TeamPath("/nilavu"));
        assertThat(key.scope()).isEqualTo(Caller.Scope.CALLER);
        delete("/nilavu/api-keys/k1");
        delete("/another/api-keys/k1");
        assertThat(resolver.apiKey("k1")).isEmpty();
    }

    private void set(String path, String value) {
        assertThat(SettingSchema.problem(path, value)).isEmpty();
        apply(path, Optional.of(value));
    }

    private void delete(String path) {
        apply(path, Optional.empty());
    }

    private void apply(String path, Optional<String> value) {
        table.applyIfNewer(new SettingEntry(path, value, ++version));
        resolver.settingChanged(path);
    }
}
