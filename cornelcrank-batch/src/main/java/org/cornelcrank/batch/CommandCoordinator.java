package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

import org.cornelcrank.config.Settings;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.ForwardedCommands;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.partition.PartitionWriter;

/**
 * Forwards the commands of this daemon's callers to the owners of the partitions concerned, in one or several legs.
 *
 * <p>A leg is one forwarded command; creating a job, for instance, takes up to three. Invariant: each caller's command
 * gets exactly one reply. Not thread-safe: confined to the daemon's event loop.
 */
final class CommandCoordinator {

    private final PartitionWriter writer;
    private final Settings settings;
    private final BatchSettings limits;
    private final ForwardedCommands forwarded;

    CommandCoordinator(PartitionWriter writer, Settings settings, BatchSettings limits, ForwardedCommands forwarded) {
        this.writer = writer;
        this.settings = settings;
        this.limits = limits;
        this.forwarded = forwarded;
    }

    /** Starts handling a command; returns false if it is not a batch command. */
    boolean begin(RequestId request, Caller caller, CallerCommand command, long nowMs, Effects out) {
        Task task = new Task(request, caller, nowMs + limits.commandTimeoutMs());
        if (command instanceof OpenFile open) {
            openFile(task, open, nowMs, out);
        } else if (command instanceof CreateJob create) {
            createJob(task, create, nowMs, out);
        } else if (command instanceof ListJobs list) {
            listJobs(task, list, nowMs, out);
        } else {
            Optional<Object> id = idOf(command);
            if (id.isEmpty()) {
                return false;
            }
            forwardById(task, command, id.get(), nowMs, out);
        }
        return true;
    }

    private static Optional<Object> idOf(CallerCommand command) {
        if (command instanceof AddItems add) {
            return Optional.of(add.file());
        } else if (command instanceof SealFile seal) {
            return Optional.of(seal.file());
        } else if (command instanceof AbandonFile abandon) {
            return Optional.of(abandon.file());
        } else if (command instanceof GetFile get) {
            return Optional.of(get.file());
        } else if (command instanceof ReadFile read) {
            return Optional.of(read.file());
        } else if (command instanceof GetJob get) {
            return Optional.of(get.job());
        } else if (command instanceof CancelJob cancel) {
            return Optional.of(cancel.job());
        } else if (command instanceof ReadResults read) {
            return Optional.of(read.job());
        }
        return Optional.empty();
    }

    private void forwardById(Task task, CallerCommand command, Object id, long nowMs, Effects out) {
        Optional<PartitionId> partition = id instanceof FileId file ? partitionOf(file) : partitionOf((JobId) id);
        if (partition.isEmpty()) {
            task.reply(OwnerChecks.notFound(id), out);
            return;
        }
        task.forward(0, partition.get(), command, (reply, atMs, effects) -> task.reply(reply, effects), nowMs, out);
    }

    private void openFile(Task task, OpenFile open, long nowMs, Effects out) {
        Optional<RegionId> home = homeRegion(task, out);
        if (home.isEmpty()) {
            return;
        }
        PartitionId partition = BatchIds.partitionOf(home.get(), task.caller.team(), open, writer.partitionCount());
        task.forward(0, partition, open, (reply, atMs, effects) -> task.reply(reply, effects), nowMs, out);
    }

    private void createJob(Task task, CreateJob create, long nowMs, Effects out) {
        Optional<RegionId> home = homeRegion(task, out);
        if (home.isEmpty()) {
            return;
        }
        Optional<PartitionId> filePartition = partitionOf(create.input());
        if (filePartition.isEmpty()) {
            task.reply(OwnerChecks.notFound(create.input()), out);
            return;
        }
        if (create.idempotencyKey().isEmpty()) {
            openJob(task, filePartition.get(), create, nowMs, out);
            return;
        }
        task.forward(
                0,
                filePartition.get(),
                new GetFile(create.input()),
                (reply, atMs, effects) -> fileFound(task, home.get(), create, reply, atMs, effects),
                nowMs,
                out);
    }

    /** Binds the key only to an existing file, so that a mistyped file id does not use up the key. */
    private void fileFound(Task task, RegionId home, CreateJob create, CallerReply reply, long nowMs, Effects out) {
        if (!(reply instanceof FileInfo file)) {
            task.reply(reply, out);
            return;
        }
        if (!file.sealed()) {
            task.reply(OwnerChecks.notFound("sealed file " + create.input()), out);
            return;
        }
        String key = BatchIds.jobKey(create);
        PartitionId keyPartition = BatchIds.partitionOfJobKey(home, task.caller.team(), key, writer.partitionCount());
        task.forward(
                1,
                keyPartition,
                new BindJobKey(key, create.input(), create.endpoint()),
                (bound, atMs, effects) -> keyBound(task, create, bound, atMs, effects),
                nowMs,
                out);
    }

    private void keyBound(Task task, CreateJob create, CallerReply reply, long nowMs, Effects out) {
        if (!(reply instanceof JobKeyBound bound)) {
            task.reply(reply, out);
            return;
        }
        if (!bound.file().equals(create.input()) || !bound.endpoint().equals(create.endpoint())) {
            task.reply(OwnerChecks.conflict("the idempotency key was already used with another file or endpoint"), out);
            return;
        }
        openJob(task, partitionOf(create.input()).orElseThrow(), create, nowMs, out);
    }

    private void openJob(Task task, PartitionId partition, CreateJob create, long nowMs, Effects out) {
        task.forward(2, partition, create, (reply, atMs, effects) -> task.reply(reply, effects), nowMs, out);
    }

    private void listJobs(Task task, ListJobs list, long nowMs, Effects out) {
        if (list.limit() <= 0) {
            task.reply(OwnerChecks.invalid("limit must be above zero but was " + list.limit()), out);
            return;
        }
        if (list.after().isEmpty()) {
            listPartitions(task, new ListPartitionJobs(Long.MAX_VALUE, "", list.limit()), nowMs, out);
            return;
        }
        JobId after = list.after().get();
        Optional<PartitionId> partition = partitionOf(after);
        if (partition.isEmpty()) {
            task.reply(OwnerChecks.notFound(after), out);
            return;
        }
        task.forward(
                0,
                partition.get(),
                new GetJob(after),
                (reply, atMs, effects) -> listAfter(task, list, reply, atMs, effects),
                nowMs,
                out);
    }

    private void listAfter(Task task, ListJobs list, CallerReply reply, long nowMs, Effects out) {
        if (!(reply instanceof JobInfo after)) {
            task.reply(reply, out);
            return;
        }
        ListPartitionJobs remaining =
                new ListPartitionJobs(after.createdAtMs(), after.job().value(), list.limit());
        listPartitions(task, remaining, nowMs, out);
    }

    private void listPartitions(Task task, ListPartitionJobs list, long nowMs, Effects out) {
        List<PartitionId> partitions = new ArrayList<>();
        for (RegionId region : regionsOf(task.caller)) {
            for (int index = 0; index < writer.partitionCount(); index++) {
                partitions.add(new PartitionId(region, index));
            }
        }
        if (partitions.isEmpty()) {
            task.reply(new JobList(List.of(), false, List.of()), out);
            return;
        }
        JobListing listing = new JobListing(partitions.size(), list.limit());
        for (int leg = 0; leg < partitions.size(); leg++) {
            PartitionId partition = partitions.get(leg);
            task.forward(
                    1 + leg,
                    partition,
                    list,
                    (reply, atMs, effects) ->
                            listing.add(partition, reply).ifPresent(merged -> task.reply(merged, effects)),
                    nowMs,
                    out);
        }
    }

    private SortedSet<RegionId> regionsOf(Caller caller) {
        SortedSet<RegionId> regions = new TreeSet<>();
        if (caller.scope() == Caller.Scope.OPERATOR) {
            settings.teams().forEach(team -> settings.team(team).ifPresent(policy -> regions.add(policy.homeRegion())));
        } else {
            settings.team(caller.team()).ifPresent(policy -> regions.add(policy.homeRegion()));
        }
        return regions;
    }

    private Optional<RegionId> homeRegion(Task task, Effects out) {
        Optional<RegionId> home = settings.team(task.caller.team()).map(TeamPolicy::homeRegion);
        if (home.isEmpty()) {
            String message = "the settings contain no team " + task.caller.team();
            task.reply(Refusal.notRun(RefusalCode.FORBIDDEN, message), out);
        }
        return home;
    }

    private Optional<PartitionId> partitionOf(FileId file) {
        return BatchIds.partitionOf(file).filter(this::exists);
    }

    private Optional<PartitionId> partitionOf(JobId job) {
        return BatchIds.partitionOf(job).filter(this::exists);
    }

    private boolean exists(PartitionId partition) {
        return partition.index() < writer.partitionCount()
                && settings.teams().stream()
                        .flatMap(team -> settings.team(team).stream())
                        .anyMatch(policy -> policy.homeRegion().equals(partition.region()));
    }

    /** Command of a caller that is being handled. Not thread-safe: confined to the daemon's event loop. */
    private final class Task {

        private final RequestId request;
        private final Caller caller;
        private final long deadlineAtMs;

        Task(RequestId request, Caller caller, long deadlineAtMs) {
            this.request = request;
            this.caller = caller;
            this.deadlineAtMs = deadlineAtMs;
        }

        void forward(
                int leg,
                PartitionId partition,
                CallerCommand command,
                ForwardedCommands.ReplyListener listener,
                long nowMs,
                Effects out) {
            ForwardedCommand legCommand =
                    new ForwardedCommand(request, leg, 0, caller, partition, command, deadlineAtMs);
            forwarded.begin(legCommand, listener, nowMs, out);
        }

        void reply(CallerReply reply, Effects out) {
            out.reply(request, reply);
        }
    }
}
