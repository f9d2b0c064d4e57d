package org.cornelcrank.batch;

import java.util.Map;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;

/**
 * Describes the progress of a job.
 *
 * <p>{@code completed} and {@code failed} count ended items; when a job ends without being cancelled, they add up to
 * {@code total}. {@code finishedAtMs} is zero while the job runs. {@code deadlineAtRisk} states that at its current
 * pace the job will miss its deadline; the job continues nevertheless. Immutable, thus thread-safe.
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
