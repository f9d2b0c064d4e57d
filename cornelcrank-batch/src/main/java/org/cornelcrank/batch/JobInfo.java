package org.cornelcrank.batch;

import java.util.Map;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;

/**
 * States how far a job has come.
 *
 * <p>{@code completed} and {@code failed} count ended items, and add up to {@code total} at the end of a job that is not
 * cancelled. {@code finishedAtMs} is zero while the job runs. {@code deadlineAtRisk} says that at its present pace the
 * job ends after its deadline; it runs on all the same. Immutable, thus thread-safe.
 */
public record JobInfo(
        JobId job,
        TeamPath team,
        FileId input,
        String endpoint,
        ServiceName service,
        JobState state,
        int total,
        int completed,
        int failed,
        long createdAtMs,
        long deadlineAtMs,
        long finishedAtMs,
        Map<String, String> metadata,
        boolean deadlineAtRisk)
        implements CallerReply {

    public JobInfo {
        metadata = Map.copyOf(metadata);
    }
}
