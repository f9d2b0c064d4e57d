package org.cornelcrank.batch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TeamPath;

/**
 * Handles the commands on jobs of one owned partition.
 *
 * <p>Invariant: a command that changes the state gets its reply after read-back, and is idempotent. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class JobCommands {

    /** Orders jobs by descending creation time, then by id, as in job lists. */
    static final Comparator<JobInfo> NEWEST_FIRST =
            Comparator.comparingLong(JobInfo::createdAtMs).reversed().thenComparing(JobInfo::job);

    private static final int ESTIMATED_RECORD_BYTES = 4 * 1024;

    private final BatchContext context;
    private final PartitionId partition;
    private final BatchPartitionState state;
    private final PendingWrites writes;
    private final OwnerReplies replies;
    private final PageReader pages;
    private final JobListener listener;
    private final OwnerChecks checks;

    JobCommands(
            BatchContext context,
            PartitionId partition,
            BatchPartitionState state,
            PendingWrites writes,
            OwnerReplies replies,
            PageReader pages,
            JobListener listener) {
        this.context = context;
        this.partition = partition;
        this.state = state;
        this.writes = writes;
        this.replies = replies;
        this.pages = pages;
        this.listener = listener;
        this.checks = new OwnerChecks(context, partition);
    }

    /** Handles a command on jobs; returns false if it is another kind of command. */
    boolean handle(HostId origin, ForwardedCommand command, CallerCommand callerCommand, long nowMs, Effects out) {
        if (callerCommand instanceof BindJobKey bind) {
            bind(origin, command, bind, nowMs, out);
        } else if (callerCommand instanceof CreateJob create) {
            create(origin, command, create, nowMs, out);
        } else if (callerCommand instanceof CancelJob cancel) {
            cancel(origin, command, cancel, nowMs, out);
        } else if (callerCommand instanceof GetJob get) {
            replies.reply(origin, command, jobInfo(command.caller(), get.job(), nowMs), nowMs, out);
        } else if (callerCommand instanceof ListPartitionJobs list) {
            replies.reply(origin, command, list(command.caller(), list, nowMs), nowMs, out);
        } else if (callerCommand instanceof ReadResults read) {
            read(origin, command, read, nowMs, out);
        } else {
            return false;
        }
        return true;
    }

    private void bind(HostId origin, ForwardedCommand command, BindJobKey bind, long nowMs, Effects out) {
        JobKey key = new JobKey(command.caller().team().team(), bind.key());
        Optional<CallerReply> immediateReply = bound(key)
                .or(() -> checks.checkWritable(ESTIMATED_RECORD_BYTES, nowMs).map(refusal -> refusal));
        if (immediateReply.isPresent()) {
            replies.reply(origin, command, immediateReply.get(), nowMs, out);
            return;
        }
        writes.propose(
                origin,
                command,
                BatchRecords.jobKeyBound(key, bind),
                true,
                (atMs, effects) -> bound(key).orElseThrow(),
                nowMs,
                out);
    }

    private Optional<CallerReply> bound(JobKey key) {
        return state.key(key).map(found -> new JobKeyBound(found.file(), found.endpoint()));
    }

    private void create(HostId origin, ForwardedCommand command, CreateJob create, long nowMs, Effects out) {
        TeamPath team = command.caller().team();
        JobId id = BatchIds.jobOf(partition, team, BatchIds.jobKey(create));
        Optional<CallerReply> immediateReply =
                existing(id, team, create, nowMs).or(() -> checkNewJob(team, create, nowMs));
        if (immediateReply.isPresent()) {
            replies.reply(origin, command, immediateReply.get(), nowMs, out);
            return;
        }
        writes.propose(
                origin,
                command,
                BatchRecords.jobOpened(id, team, create),
                true,
                (atMs, effects) -> opened(id, team, create, atMs, effects),
                nowMs,
                out);
    }

    private CallerReply opened(JobId id, TeamPath team, CreateJob create, long nowMs, Effects out) {
        Optional<StoredJob> job = state.job(id);
        if (job.isEmpty()) {
            return OwnerChecks.notFound(create.input());
        }
        context.count("jobs-accepted");
        listener.jobChanged(job.get(), nowMs, out);
        return existing(id, team, create, nowMs).orElseThrow();
    }

    /** Returns the reply if a job with this id exists: the job, or a conflict if its team, file or endpoint differs. */
    private Optional<CallerReply> existing(JobId id, TeamPath team, CreateJob create, long nowMs) {
        return state.job(id).map(job -> {
            StoredJob.Terms terms = job.terms();
            boolean same = terms.team().team().equals(team.team())
                    && terms.file().equals(create.input())
                    && terms.endpoint().equals(create.endpoint());
            return same
                    ? job.info(nowMs)
                    : OwnerChecks.conflict("the job's key was already used with another file or endpoint");
        });
    }

    private Optional<CallerReply> checkNewJob(TeamPath team, CreateJob create, long nowMs) {
        FileId input = create.input();
        Optional<StoredFile> file = state.file(input)
                .filter(StoredFile::sealed)
                .filter(found -> found.team().team().equals(team.team()));
        if (file.isEmpty()) {
            return Optional.of(OwnerChecks.notFound("sealed file " + input));
        }
        int allowed = context.settings()
                .team(team)
                .map(policy -> policy.maxOpenJobs())
                .orElse(Integer.MAX_VALUE);
        if (openJobs(team) >= allowed) {
            String message = "the team may have at most " + allowed + " jobs in progress in partition " + partition;
            return Optional.of(Refusal.notRun(RefusalCode.LIMIT_EXCEEDED, message));
        }
        return checks.checkWritable(ESTIMATED_RECORD_BYTES, nowMs).map(refusal -> refusal);
    }

    private long openJobs(TeamPath team) {
        return state.jobs().stream()
                .filter(job -> !job.ended())
                .filter(job -> job.terms().team().team().equals(team.team()))
                .count();
    }

    private void cancel(HostId origin, ForwardedCommand command, CancelJob cancel, long nowMs, Effects out) {
        Optional<StoredJob> job = visible(command.caller(), cancel.job());
        if (job.isEmpty() || job.get().ended()) {
            replies.reply(origin, command, jobInfo(command.caller(), cancel.job(), nowMs), nowMs, out);
            return;
        }
        Optional<Refusal> refusal = checks.checkWritable(ESTIMATED_RECORD_BYTES, nowMs);
        if (refusal.isPresent()) {
            replies.reply(origin, command, refusal.get(), nowMs, out);
            return;
        }
        writes.propose(
                origin,
                command,
                BatchRecords.jobCancelled(cancel.job()),
                true,
                (atMs, effects) -> cancelled(command.caller(), job.get(), atMs, effects),
                nowMs,
                out);
    }

    private CallerReply cancelled(Caller caller, StoredJob job, long nowMs, Effects out) {
        listener.jobChanged(job, nowMs, out);
        return jobInfo(caller, job.terms().job(), nowMs);
    }

    private CallerReply jobInfo(Caller caller, JobId id, long nowMs) {
        return visible(caller, id).<CallerReply>map(job -> job.info(nowMs)).orElse(OwnerChecks.notFound(id));
    }

    private JobList list(Caller caller, ListPartitionJobs list, long nowMs) {
        List<JobInfo> following = state.jobs().stream()
                .filter(job -> OwnerChecks.mayAccess(caller, job.terms().team()))
                .map(job -> job.info(nowMs))
                .filter(job -> follows(job, list))
                .sorted(NEWEST_FIRST)
                .limit(list.limit() + 1L)
                .toList();
        boolean more = following.size() > list.limit();
        return new JobList(following.subList(0, Math.min(list.limit(), following.size())), more, List.of());
    }

    private static boolean follows(JobInfo job, ListPartitionJobs list) {
        return job.createdAtMs() < list.createdUntilMs()
                || job.createdAtMs() == list.createdUntilMs()
                        && job.job().value().compareTo(list.after()) > 0;
    }

    private void read(HostId origin, ForwardedCommand command, ReadResults read, long nowMs, Effects out) {
        Optional<StoredJob> job = visible(command.caller(), read.job());
        if (job.isEmpty()) {
            replies.reply(origin, command, OwnerChecks.notFound(read.job()), nowMs, out);
            return;
        }
        pages.readResults(origin, command, job.get(), read, nowMs, out);
    }

    private Optional<StoredJob> visible(Caller caller, JobId id) {
        return state.job(id)
                .filter(job -> OwnerChecks.mayAccess(caller, job.terms().team()));
    }

    /** Notified when a job was opened or ended. */
    interface JobListener {
        void jobChanged(StoredJob job, long nowMs, Effects out);
    }
}
