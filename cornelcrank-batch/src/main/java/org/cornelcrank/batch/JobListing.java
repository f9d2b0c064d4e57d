package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.PartitionId;

/**
 * Merges the lists of several partitions into one page.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class JobListing {

    private final int limit;
    private final List<JobInfo> jobs = new ArrayList<>();
    private final List<PartitionId> silent = new ArrayList<>();
    private int outstanding;
    private boolean more;

    JobListing(int partitions, int limit) {
        this.outstanding = partitions;
        this.limit = limit;
    }

    /** Adds a partition's answer; returns the whole list with the last one. */
    Optional<JobList> add(PartitionId partition, CallerReply reply) {
        outstanding--;
        if (reply instanceof JobList part) {
            jobs.addAll(part.jobs());
            more |= part.more();
        } else {
            silent.add(partition);
        }
        return outstanding == 0 ? Optional.of(whole()) : Optional.empty();
    }

    private JobList whole() {
        jobs.sort(JobCommands.NEWEST_FIRST);
        boolean cut = jobs.size() > limit;
        return new JobList(jobs.subList(0, Math.min(limit, jobs.size())), more || cut, silent);
    }
}
