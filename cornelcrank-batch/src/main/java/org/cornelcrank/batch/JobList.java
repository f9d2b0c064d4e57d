package org.cornelcrank.batch;

import java.util.List;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.PartitionId;

/**
 * Reply to {@link ListJobs}.
 *
 * <p>{@code more} states that older jobs follow. {@code unresponsivePartitions} lists the partitions whose owners did
 * not reply in time, so that jobs may be missing from the list. Immutable, thus thread-safe.
 */
public record JobList(List<JobInfo> jobs, boolean more, List<PartitionId> unresponsivePartitions)
        implements CallerReply {

    public JobList {
        jobs = List.copyOf(jobs);
        unresponsivePartitions = List.copyOf(unresponsivePartitions);
    }
}
