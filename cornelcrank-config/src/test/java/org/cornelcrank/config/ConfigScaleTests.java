package org.cornelcrank.config;

import java.util.Optional;

import org.cornelcrank.core.TeamPath;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Measures the memory of a daemon for the number of workspaces expected in two years. */
class ConfigScaleTests {

    private static final int WORKSPACES = 4_600;
    private static final long BUDGET_BYTES_PER_WORKSPACE = 3_072;

    @Test
    void memoryPerWorkspaceStaysWithinBudget() {
        long before = usedBytes();
        SettingTable table = new SettingTable();
        PolicyResolver resolver = new PolicyResolver(table);
        long version = 0;
        for (int i = 0; i < WORKSPACES; i++) {
            String workspace = "/team-" + i / 10 + "/workspace-" + i;
            version = set(table, resolver, workspace + "/home-region", "kerala-south", version);
            version = set(table, resolver, workspace + "/urgency", "immediate", version);
            version = set(table, resolver, workspace + "/deadline-ms", "" + (500 + i), version);
            version = set(table, resolver, workspace + "/services", "saarthi-lm,tokens", version);
        }
        long withSettings = usedBytes();
        long startedNs = System.nanoTime();
        for (TeamPath team : resolver.teams()) {
            assertThat(resolver.team(team)).isPresent();
        }
        long resolvedNs = System.nanoTime() - startedNs;
        long withPolicies = usedBytes();

        long settingsBytes = (withSettings - before) / WORKSPACES;
        long policyBytes = (withPolicies - withSettings) / WORKSPACES;
        System.out.println("4600 workspaces of 4 settings: " + settingsBytes + " B of settings and " + policyBytes
                + " B of resolved policies for each workspace, resolved in " + resolvedNs / WORKSPACES / 1_000
                + " us each when cold");
        assertThat(table.size()).isEqualTo(4 * WORKSPACES);
        assertThat(settingsBytes + policyBytes).isLessThan(BUDGET_BYTES_PER_WORKSPACE);
    }

    private static long set(SettingTable table, PolicyResolver resolver, String path, String value, long version) {
        table.applyIfNewer(new SettingEntry(path, Optional.of(value), version + 1));
        resolver.settingChanged(path);
        return version + 1;
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
