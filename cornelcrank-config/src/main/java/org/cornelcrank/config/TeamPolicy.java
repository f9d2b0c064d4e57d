package org.cornelcrank.config;

import java.util.List;
import java.util.Set;

import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * The settings of one team or workload, including those inherited from its ancestors.
 *
 * <p>{@code targetPatterns} is empty if all targets may serve; a pattern is a target id in which {@code *} matches any
 * characters. Immutable, thus thread-safe.
 */
public record TeamPolicy(
        TeamPath team,
        RegionId homeRegion,
        Urgency urgency,
        long deadlineMs,
        Set<ServiceName> services,
        List<String> targetPatterns,
        int share,
        double maxRequestsPerSecond,
        long maxTokensPerSecond,
        int maxOpenJobs,
        long maxStoredBytes,
        long batchDeadlineMs,
        long resultRetentionMs,
        int maxItemAttempts) {

    public TeamPolicy {
        services = Set.copyOf(services);
        targetPatterns = List.copyOf(targetPatterns);
    }

    /** Returns the same policy for a workload that has no settings itself. */
    TeamPolicy forTeam(TeamPath workload) {
        return new TeamPolicy(
                workload,
                homeRegion,
                urgency,
                deadlineMs,
                services,
                targetPatterns,
                share,
                maxRequestsPerSecond,
                maxTokensPerSecond,
                maxOpenJobs,
                maxStoredBytes,
                batchDeadlineMs,
                resultRetentionMs,
                maxItemAttempts);
    }
}
