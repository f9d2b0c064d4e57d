package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.Subject;

/**
 * Handles commands and runs jobs of one partition while this daemon owns it.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class OwnedPartition {

    private static final int MAX_EXPIRED_AT_ONCE = 200;

    private final BatchContext context;
    private final PartitionId partition;
    private final BatchPartitionState state;
    private final OwnerReplies replies;
    private final PendingWrites writes;
    private final ResultBuffer results;
    private final FileCommands fileCommands;
    private final JobCommands jobCommands;
    private final SortedMap<JobId, JobRunner> runners = new TreeMap<>();
    private boolean expiring;

    OwnedPartition(BatchContext context, PartitionId partition, BatchPartitionState state, OwnerReplies replies) {
        this.context = context;
        this.partition = partition;
        this.state = state;
        this.replies = replies;
        this.writes = new PendingWrites(partition, context.writer(), replies);
        this.results = new ResultBuffer(context, writes, this::resultsRecorded);
        PageReader pages = new PageReader(context, partition, replies);
        this.fileCommands = new FileCommands(context, partition, state, writes, replies, pages);
        this.jobCommands = new JobCommands(context, partition, state, writes, replies, pages, this::jobChanged);
    }

    /** Resumes every job that has not ended. */
    void start(long nowMs, Effects out) {
        for (StoredJob job : List.copyOf(state.jobs())) {
            startRunner(job, nowMs, out);
        }
    }

    /** Stops all work and declines the pending commands, so that they are sent to the new owner. */
    void stop(long nowMs, Effects out) {
        List<JobRunner> stopped = List.copyOf(runners.values());
        runners.clear();
        stopped.forEach(runner -> runner.stop(nowMs, out));
        results.clear();
        writes.ownershipLost(nowMs, out);
    }

    void handle(HostId origin, ForwardedCommand command, long nowMs, Effects out) {
        if (writes.join(origin, command)) {
            return;
        }
        CallerCommand callerCommand = command.command();
        if (fileCommands.handle(origin, command, callerCommand, nowMs, out)
                || jobCommands.handle(origin, command, callerCommand, nowMs, out)) {
            return;
        }
        String message = "the owner of a partition does not handle this command";
        replies.reply(origin, command, Refusal.notRun(RefusalCode.INVALID_REQUEST, message), nowMs, out);
    }

    void proposalApplied(long proposal, long nowMs, Effects out) {
        writes.applied(proposal, nowMs, out);
    }

    Optional<JobRunner> runner(JobId job) {
        return Optional.ofNullable(runners.get(job));
    }

    Collection<JobRunner> runners() {
        return Collections.unmodifiableCollection(runners.values());
    }

    BatchPartitionState state() {
        return state;
    }

    int pendingWrites() {
        return writes.size();
    }

    void flushDueResults(long nowMs, Effects out) {
        results.flushDue(nowMs, out);
    }

    void resumeRunners(long nowMs, Effects out) {
        List.copyOf(runners.values()).forEach(runner -> runner.resume(nowMs, out));
    }

    /** Proposes to remove jobs, files and keys that are past their retention. */
    void expire(long nowMs, Effects out) {
        if (expiring || !context.writer().logAvailable(nowMs)) {
            return;
        }
        List<JobId> jobs = expiredJobs(nowMs);
        List<FileId> files = expiredFiles(nowMs);
        long keysBoundBeforeMs = nowMs - context.limits().keyRetentionMs();
        if (jobs.isEmpty() && files.isEmpty() && !state.hasKeyBoundBefore(keysBoundBeforeMs)) {
            return;
        }
        expiring = true;
        writes.propose(
                BatchRecords.expired(files, jobs, keysBoundBeforeMs),
                false,
                (atMs, effects) -> expiring = false,
                nowMs,
                out);
    }

    private List<JobId> expiredJobs(long nowMs) {
        return state.jobs().stream()
                .filter(StoredJob::ended)
                .filter(job -> job.finishedAtMs()
                                + context.resultRetentionMs(job.terms().team())
                        < nowMs)
                .map(job -> job.terms().job())
                .limit(MAX_EXPIRED_AT_ONCE)
                .toList();
    }

    private List<FileId> expiredFiles(long nowMs) {
        List<FileId> expired = new ArrayList<>();
        for (StoredFile file : state.files()) {
            boolean due = fileCommands.expiresAtMs(file) < nowMs;
            if (due && !state.inUse(file.id()) && expired.size() < MAX_EXPIRED_AT_ONCE) {
                expired.add(file.id());
            }
        }
        return expired;
    }

    private void resultsRecorded(JobId job, boolean resumed, long nowMs, Effects out) {
        if (resumed) {
            context.retryTimer().arm(nowMs, out);
        }
        state.job(job).ifPresent(changed -> jobChanged(changed, nowMs, out));
    }

    private void jobChanged(StoredJob job, long nowMs, Effects out) {
        if (!job.ended()) {
            startRunner(job, nowMs, out);
            return;
        }
        JobRunner runner = runners.remove(job.terms().job());
        if (runner != null) {
            runner.stop(nowMs, out);
            context.count("jobs-" + job.state().name().toLowerCase(Locale.ROOT));
            JobInfo info = job.info(nowMs);
            String counts = info.completed() + " completed, " + info.failed() + " failed of " + info.total();
            out.explain(Subject.Kind.JOB, info.job(), nowMs, "ended as " + info.state(), counts);
        }
    }

    private void startRunner(StoredJob job, long nowMs, Effects out) {
        JobId id = job.terms().job();
        Optional<StoredFile> file = state.file(job.terms().file());
        if (job.ended() || runners.containsKey(id) || file.isEmpty()) {
            return;
        }
        JobRunner runner = new JobRunner(context, partition, job, file.get(), results);
        runners.put(id, runner);
        String reason = job.remaining() + " items remain, in partition " + partition;
        out.explain(Subject.Kind.JOB, id, nowMs, "runs at this daemon", reason);
        runner.start(nowMs, out);
    }
}
