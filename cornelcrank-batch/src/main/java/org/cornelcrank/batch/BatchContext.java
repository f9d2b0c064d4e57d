package org.cornelcrank.batch;

import java.util.Objects;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.routing.BatchCapacity;

/**
 * Collaborators and settings that the components of the batch state machine share.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
record BatchContext(
        PartitionWriter writer,
        BatchCapacity capacity,
        Settings settings,
        BatchSettings limits,
        BodyReads reads,
        ResultBudget budget,
        WindowBudget windows,
        DueTimer resultTimer,
        DueTimer retryTimer,
        MetricRegistry metrics) {

    private static final long DEFAULT_RETENTION_MS = 7L * 24 * 3_600_000;
    private static final long DEFAULT_ATTEMPT_TIMEOUT_MS = 120_000;
    private static final int DEFAULT_ITEM_ATTEMPTS = 3;

    BatchContext {
        Objects.requireNonNull(writer, "writer must not be null");
        Objects.requireNonNull(capacity, "capacity must not be null");
        Objects.requireNonNull(settings, "settings must not be null");
        Objects.requireNonNull(limits, "limits must not be null");
        Objects.requireNonNull(metrics, "metrics must not be null");
    }

    long resultRetentionMs(TeamPath team) {
        return settings.team(team).map(policy -> policy.resultRetentionMs()).orElse(DEFAULT_RETENTION_MS);
    }

    int maxItemAttempts(TeamPath team) {
        return settings.team(team).map(policy -> policy.maxItemAttempts()).orElse(DEFAULT_ITEM_ATTEMPTS);
    }

    int share(TeamPath team) {
        return settings.team(team).map(policy -> policy.share()).orElse(1);
    }

    long attemptTimeoutMs(ServiceName service) {
        return settings.service(service)
                .map(policy -> policy.attemptTimeoutMs())
                .orElse(DEFAULT_ATTEMPT_TIMEOUT_MS);
    }

    void count(String name) {
        metrics.counter("batch." + name).inc();
    }
}
