package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.PartitionId;

/**
 * Merges the job lists of several partitions into one page.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class JobListing {

    private final int limit;
    private final List<JobInfo> jobs = new ArrayList<>();
    private final List<PartitionId> unavailable = new ArrayList<>();
    private int outstanding;
    private boolean more;

    JobListing(int partitions, int limit) {
        this.outstanding = partitions;
        this.limit = limit;
    }

    /** Adds a partition's reply; returns the merged list once the last reply was added. */
    Optional<JobList> add(PartitionId partition, CallerReply reply) {
        outstanding--;
        if (reply instanceof JobList part) {
            jobs.addAll(part.jobs());
            more |= part.more();
        } else {
            unavailable.add(partition);
        }
        return outstanding == 0 ? Optional.of(merged()) : Optional.empty();
    }

    private JobList merged() {
        jobs.sort(JobCommands.NEWEST_FIRST);
        boolean truncated = jobs.size() > limit;
        return new JobList(jobs.subList(0, Math.min(limit, jobs.size())), more || truncated, unavailable);
    }
}
