package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.job.wire.WireJobPart;
import org.cornelcrank.routing.BatchDemand;
import org.cornelcrank.routing.BatchPermit;
import org.cornelcrank.routing.BatchWork;
import org.cornelcrank.store.KeyedTopicFollower;

/**
 * The owner's state of one partition: its jobs, the runs of their items, and the results that are being written.
 *
 * <p>Invariants: a result is listed only after the store has acknowledged it; no item of an ended job starts a run;
 * nothing is written after another daemon has raised the epoch; no timer outlives the ownership. Items count as sound
 * whatever happens to their targets: they run without a fingerprint, so that none waits as a suspect or is quarantined.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class OwnedPartition implements ResultLog.Listener, KeyedTopicFollower.Listener {

    private static final int UNPROCESSABLE_STATUS = 422;
    private static final int TARGET_FAILED_STATUS = 500;

    /** The pause before an item runs again after its target failed or refused it, in ms. */
    private static final long FAILURE_PAUSE_MS = 200;

    /** The pause before an item runs again after its second lost target, in ms; it doubles with each further one. */
    private static final long LOSS_PAUSE_MS = 100;

    /** Limits that pause to 1.6 s, a small part of the time that jobs have after traffic has ended. */
    private static final int MAX_LOSS_DOUBLINGS = 4;

    /** The time limit of one run of an item, in ms: many times the duration of the longest responses. */
    private static final long RUN_TIMEOUT_MS = 60_000;

    /**
     * The interval at which the progress of waiting items is saved, in ms. Bounds the progress that is lost with an
     * owner, at the cost of one append per second and partition.
     */
    private static final long PROGRESS_INTERVAL_MS = 1_000;

    /** The interval of the attempts to drop an expired job from the store, in ms; above the time limit of one. */
    private static final long DROP_INTERVAL_MS = 2_000;

    private final int number;
    private final TimerKey logTimer;
    private final TimerKey followTimer;
    private final JobContext context;
    private final ResultLog log;
    private final KeyedTopicFollower jobsFollower;
    private final Map<JobId, JobRun> jobs = new TreeMap<>();
    private final StoredRecords stored = new StoredRecords();
    private final Set<JobId> ended = new HashSet<>();
    private final Set<JobId> unreadable = new HashSet<>();
    private final Map<JobId, Long> dropsDueAtMs = new HashMap<>();
    private final Map<Long, RunningItem> running = new HashMap<>();
    private final WaitingReads reads = new WaitingReads();
    private boolean ready;
    private boolean closed;
    private boolean suspended;
    private boolean handoverWritten;
    private boolean openingDelayed;
    private long assignedAtMs;
    private long progressSavedAtMs;
    private long ownershipPublishedAtMs;
    private int publications;

    /** Creates the state of an ownership; {@code ownership} differs from that of any other ownership of this daemon. */
    OwnedPartition(int number, long ownership, JobContext context, PartitionLogFactory logFactory) {
        this.number = number;
        this.logTimer = new TimerKey(JobStateMachine.NAME, "log/" + number + "/" + ownership);
        this.followTimer = new TimerKey(JobStateMachine.NAME, "follow/" + number + "/" + ownership);
        this.context = context;
        this.log = logFactory.resultLog(number, logTimer, this);
        this.jobsFollower = logFactory.follower(number, followTimer, this);
    }

    void open(long lastEpoch, long nowMs, Effects out) {
        assignedAtMs = nowMs;
        stateChanged("opens partition " + number + ", last known epoch " + lastEpoch, out);
        log.open(lastEpoch, nowMs + context.settings().renewIntervalMs(), out);
    }

    int number() {
        return number;
    }

    ResultLog log() {
        return log;
    }

    /** Retries the call whose timer is due; returns whether the timer belongs to this ownership. */
    boolean timerDue(TimerKey key, long nowMs, Effects out) {
        if (key.equals(logTimer)) {
            log.timerDue(out);
            return true;
        }
        if (key.equals(followTimer)) {
            jobsFollower.timerDue(nowMs, out);
            return true;
        }
        return false;
    }

    boolean ready() {
        return ready;
    }

    /** Returns the time in ms at which the ownership of this daemon was last published. */
    long ownershipPublishedAtMs() {
        return ownershipPublishedAtMs;
    }

    /** Records that the ownership of this daemon is published. */
    void ownershipPublishedAtMs(long atMs) {
        ownershipPublishedAtMs = atMs;
        publications++;
    }

    /** Returns the version of the published ownership, which is above that of any owner with a lower epoch. */
    long version() {
        return log.epoch() + publications;
    }

    /** Returns whether a peer that has published its ownership under the version has taken over the partition. */
    boolean isSupersededBy(long version) {
        return log.isOlderThan(version - publications);
    }

    Map<JobId, JobRun> jobs() {
        return jobs;
    }

    int runningItems() {
        return running.size();
    }

    /** Returns whether there is nothing that {@link #tick} will have to do. */
    boolean idle() {
        return jobs.isEmpty() && stored.incompleteJobs().isEmpty();
    }

    /** Returns the jobs that are complete in the store and cannot be decoded. */
    Set<JobId> unreadable() {
        return unreadable;
    }

    @Override
    public void loaded(StoreResponse.StoredRecord record) {
        stored.loaded(record);
    }

    @Override
    public void opened(long nowMs, Effects out) {
        jobsFollower.start(nowMs, out);
    }

    @Override
    public void openingDelayed(StoreResponse response, long nowMs, Effects out) {
        if (!openingDelayed) {
            openingDelayed = true;
            stateChanged(
                    "partition " + number + " is not open " + (nowMs - assignedAtMs) + " ms after its assignment: "
                            + response,
                    out);
        }
    }

    private static void stateChanged(String text, Effects out) {
        out.add(new Effect.StateChanged(JobStateMachine.NAME, text));
    }

    @Override
    public void lost(long higherEpoch, long nowMs, Effects out) {
        context.listener().partitionLost(number, higherEpoch, nowMs, out);
    }

    @Override
    public void put(StoreResponse.StoredRecord record, long nowMs, Effects out) {
        Optional<JobRecords.Key> key = JobRecords.key(record.key());
        if (key.isEmpty()) {
            out.add(new Effect.StateChanged(
                    JobStateMachine.NAME, "record " + record.key() + " does not belong to a job and is ignored"));
            return;
        }
        JobId job = key.get().job();
        if (key.get().kind() == JobRecords.Kind.END) {
            endJob(job, nowMs, out);
        } else if (key.get().kind() == JobRecords.Kind.NUMBERED && jobs.containsKey(job)) {
            jobs.get(job).receivedAgain(record.key(), nowMs);
        } else if (key.get().kind() == JobRecords.Kind.NUMBERED) {
            JobRecords.part(record.value())
                    .ifPresentOrElse(
                            part -> partReceived(job, record.key(), part, nowMs, out),
                            () -> out.add(new Effect.StateChanged(
                                    JobStateMachine.NAME,
                                    "record " + record.key() + " cannot be decoded and is ignored")));
        }
    }

    private void partReceived(JobId job, String key, WireJobPart part, long nowMs, Effects out) {
        JobParts parts = stored.partReceived(job, key, part, nowMs);
        if (!parts.complete()) {
            return;
        }
        Optional<JobContent> content = parts.content();
        if (content.isPresent()) {
            begin(new JobRun(job, content.get(), parts.keys(), nowMs), nowMs, out);
        } else if (unreadable.add(job)) {
            context.listener().jobUnreadable(job, parts.keys(), nowMs, out);
        }
    }

    private void begin(JobRun run, long nowMs, Effects out) {
        stored.restore(run);
        unreadable.remove(run.id());
        jobs.put(run.id(), run);
        if (ended.contains(run.id())) {
            run.end();
        }
        out.explain(
                Subject.Kind.JOB,
                run.id(),
                nowMs,
                "runs at this daemon",
                run.remaining() + " of " + run.content().items().size() + " items remain, partition " + number
                        + ", epoch " + log.epoch());
        context.listener().jobStarted(nowMs, out);
        updateDemand(run, nowMs, out);
    }

    @Override
    public void dropped(String key, long nowMs, Effects out) {
        JobRecords.key(key)
                .filter(parsed -> parsed.kind() == JobRecords.Kind.NUMBERED)
                .ifPresent(parsed -> {
                    stored.partDropped(parsed.job(), key);
                    unreadable.remove(parsed.job());
                    JobRun run = jobs.get(parsed.job());
                    if (run == null) {
                        dropsDueAtMs.remove(parsed.job());
                    } else if (dropsDueAtMs.containsKey(run.id())) {
                        partsDropped(run, nowMs, out);
                    } else if (run.done()) {
                        jobs.remove(parsed.job());
                    }
                });
    }

    @Override
    public void caughtUp(long nowMs, Effects out) {
        if (!ready && !closed) {
            ready = true;
            stateChanged(
                    "owns partition " + number + " under epoch " + log.epoch() + ", " + jobs.size() + " jobs, "
                            + (nowMs - assignedAtMs) + " ms after its assignment",
                    out);
            context.listener().partitionReady(number, nowMs, out);
            jobs.values().forEach(run -> updateDemand(run, nowMs, out));
        }
    }

    /** Sets the batch demand of a job; called whenever the number of its runnable items may have changed. */
    void updateDemand(JobRun run, long nowMs, Effects out) {
        if (!ready || closed || suspended) {
            return;
        }
        Optional<GatewayRoute> route = route(run);
        if (route.isEmpty()) {
            updateWithoutRoute(run, nowMs, out);
            return;
        }
        run.setAwaitsRoute(false);
        GatewayRoute target = route.get();
        BatchDemand demand = new BatchDemand(
                run.id(),
                target.team(),
                target.serviceFor(StableHash.of(run.id().value())),
                run.loadedAtMs() + target.runObjectiveMs(),
                1,
                run.waitingCount(nowMs),
                run.remaining());
        run.setDemand(Optional.of(demand));
        context.capacity().setDemand(demand, nowMs, out);
    }

    /**
     * Withdraws the demand of a job that no route matches. Its items are given up only once the routes have been read
     * since the job was received: until then another daemon may have accepted it under a newer table than this one's.
     */
    private void updateWithoutRoute(JobRun run, long nowMs, Effects out) {
        withdrawDemand(run, nowMs, out);
        if (run.ended()) {
            return;
        }
        String state = context.routesState() + ", job received at " + run.receivedAtMs();
        if (!context.routesReadSince(run.receivedAtMs())) {
            if (run.setAwaitsRoute(true)) {
                out.explain(Subject.Kind.JOB, run.id(), nowMs, "waits for its route", state);
            }
            return;
        }
        run.unfinished().stream()
                .filter(item -> !isRunning(run, item))
                .forEach(item ->
                        giveUp(run, item, "no route matches the job's requests any more: " + state, nowMs, out));
    }

    private boolean isRunning(JobRun run, int item) {
        return running.values().stream()
                .anyMatch(runningItem -> runningItem.run() == run && runningItem.item() == item);
    }

    private Optional<GatewayRoute> route(JobRun run) {
        return run.content().items().isEmpty()
                ? Optional.empty()
                : context.route(
                        run.content().host(), run.content().items().get(0).path());
    }

    /** Runs the next item of the permit's job, or releases the permit if no item can run. */
    void permitGranted(BatchPermit permit, long nowMs, Effects out) {
        JobRun run = jobs.get(permit.job());
        Generator generator = new Generator(permit.service(), permit.softwareVersion());
        Optional<Integer> item =
                run == null || closed || suspended || route(run).isEmpty()
                        ? Optional.empty()
                        : run.takeWaiting(generator, nowMs);
        if (item.isEmpty()) {
            context.capacity().releaseUnused(permit, nowMs, out);
            return;
        }
        JobItem content = run.content().items().get(item.get());
        running.put(permit.number(), new RunningItem(permit, run, item.get()));
        updateDemand(run, nowMs, out);
        out.explain(
                Subject.Kind.ITEM,
                content.id(),
                nowMs,
                "runs on " + permit.target(),
                "job " + run.id() + ", " + generator + ", after event "
                        + run.progress(item.get()).events() + ", "
                        + run.waitingCount(nowMs) + " of " + run.remaining() + " wait");
        DispatchSource request = new DispatchSource.Prepared(
                content.id(),
                run.content().host(),
                "POST",
                content.path(),
                content.headers(),
                content.body(),
                run.progress(item.get()).events());
        context.capacity()
                .run(
                        permit,
                        new BatchWork(content.id(), OptionalLong.empty(), request, Optional.empty(), RUN_TIMEOUT_MS),
                        nowMs,
                        out);
    }

    /** Handles the end of a permit's run; returns whether the run belonged to this partition. */
    boolean workEnded(BatchPermit permit, AttemptOutcome outcome, long nowMs, Effects out) {
        RunningItem ran = running.remove(permit.number());
        if (ran == null) {
            return false;
        }
        JobRun run = ran.run();
        out.explain(
                Subject.Kind.ITEM,
                run.content().items().get(ran.item()).id(),
                nowMs,
                "run ended on " + permit.target(),
                summary(outcome));
        if (closed || run.ended() || run.isFinished(ran.item())) {
            return true;
        }
        if (outcome instanceof AttemptOutcome.Succeeded succeeded) {
            ByteString text = run.progress(ran.item()).add(succeeded.tokens(), succeeded.body());
            finish(run, ran.item(), true, text, nowMs, out);
        } else if (outcome instanceof AttemptOutcome.Failed failed) {
            runFailed(run, ran.item(), failed, nowMs, out);
        }
        updateDemand(run, nowMs, out);
        return true;
    }

    private static String summary(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.Failed failed) {
            return failed.kind() + ", status " + failed.status() + ", after " + failed.tokens() + " events, "
                    + failed.detail();
        }
        return "complete, " + ((AttemptOutcome.Succeeded) outcome).tokens() + " events";
    }

    private void runFailed(JobRun run, int item, AttemptOutcome.Failed failed, long nowMs, Effects out) {
        JobRun.ItemProgress progress = run.progress(item);
        progress.add(failed.tokens(), failed.body());
        boolean mayHaveRun = !(failed.verdict() instanceof Verdict.NotRun);
        if (mayHaveRun && failed.status() == UNPROCESSABLE_STATUS) {
            giveUp(run, item, "the target responded that the request can never be processed", nowMs, out);
            return;
        }
        int maxAttempts = route(run).map(GatewayRoute::maxAttempts).orElse(Integer.MAX_VALUE);
        if (mayHaveRun && failed.status() == TARGET_FAILED_STATUS && progress.countFailure() >= maxAttempts) {
            giveUp(run, item, "failed " + maxAttempts + " times", nowMs, out);
            return;
        }
        run.requeue(item, nowMs + pauseMs(failed, progress));
    }

    private static long pauseMs(AttemptOutcome.Failed failed, JobRun.ItemProgress progress) {
        return switch (failed.kind()) {
            case CANCELLED -> 0;
            case CONNECTION_LOST, TARGET_GONE, PATH_LOST, RELAY_FAILED -> lossPauseMs(progress.countLoss());
            default -> FAILURE_PAUSE_MS;
        };
    }

    private static long lossPauseMs(int losses) {
        return losses == 1 ? 0 : LOSS_PAUSE_MS << Math.min(losses - 2, MAX_LOSS_DOUBLINGS);
    }

    private void giveUp(JobRun run, int item, String reason, long nowMs, Effects out) {
        out.explain(Subject.Kind.ITEM, run.content().items().get(item).id(), nowMs, "given up", reason);
        finish(run, item, false, ByteString.EMPTY, nowMs, out);
    }

    private void finish(JobRun run, int item, boolean completed, ByteString text, long nowMs, Effects out) {
        ListedResult result = new ListedResult(run.content().items().get(item).id(), completed, text);
        List<KeyedRecord> records = new ArrayList<>();
        records.add(JobRecords.result(run.id(), run.finish(item), item, result));
        stored.dropProgress(run.id(), item).ifPresent(records::add);
        log.write(
                records,
                (acknowledgedAtMs, effects) -> {
                    run.list(result);
                    reads.replyIfDue(run, acknowledgedAtMs, effects);
                },
                nowMs,
                out);
    }

    /**
     * Takes the next step towards releasing the partition: ends all runs, then saves the progress of its items for the
     * next owner.
     *
     * @return whether everything is stored, so that the partition can be released
     */
    boolean prepareHandover(long nowMs, Effects out) {
        if (!suspended) {
            suspended = true;
            for (RunningItem runningItem : List.copyOf(running.values())) {
                context.capacity().cancel(runningItem.permit(), nowMs, out);
            }
        }
        if (running.isEmpty() && !handoverWritten) {
            handoverWritten = true;
            saveProgress(nowMs, out);
        }
        return handoverWritten && (log.idle() || !log.isOpen());
    }

    /** Resumes a partition that was assigned to this daemon again before its handover was complete. */
    void resume(long nowMs, Effects out) {
        if (suspended) {
            suspended = false;
            handoverWritten = false;
            out.add(new Effect.StateChanged(
                    JobStateMachine.NAME, "keeps partition " + number + " under epoch " + log.epoch()));
            jobs.values().forEach(run -> updateDemand(run, nowMs, out));
        }
    }

    /** Saves the progress of preempted items, so that the next owner resumes them from there. */
    private void saveProgress(long nowMs, Effects out) {
        if (!log.isOpen()) {
            return;
        }
        List<KeyedRecord> records = new ArrayList<>();
        jobs.values().stream().filter(run -> !run.ended()).forEach(run -> run.takeUnsaved()
                .forEach(item -> records.add(stored.saveProgress(run.id(), item, run.progress(item)))));
        for (List<KeyedRecord> batch :
                JobRecords.batches(records, context.settings().maxRequestBytes())) {
            log.write(batch, (acknowledgedAtMs, effects) -> {}, nowMs, out);
        }
    }

    private void endJob(JobId job, long nowMs, Effects out) {
        ended.add(job);
        JobRun run = jobs.get(job);
        if (run == null || run.ended()) {
            return;
        }
        run.end();
        out.explain(Subject.Kind.JOB, job, nowMs, "ended", run.listed().size() + " results stay listed");
        for (RunningItem runningItem : List.copyOf(running.values())) {
            if (runningItem.run() == run) {
                context.capacity().cancel(runningItem.permit(), nowMs, out);
            }
        }
        updateDemand(run, nowMs, out);
        reads.replyIfDue(run, nowMs, out);
    }

    /** Replies to a read at once if there are results, or holds it until there are some or its wait is over. */
    void read(JobMessage.ReadRequest readRequest, WaitingReads.ReadCallback callback, long nowMs, Effects out) {
        JobRun run = jobs.get(readRequest.job());
        if (!ready) {
            callback.replied(JobMessage.ReadReply.notOwner(readRequest.id()), nowMs, out);
        } else if (run == null || readRequest.fromPosition() > run.listed().size()) {
            callback.replied(JobMessage.ReadReply.unknownJob(readRequest.id()), nowMs, out);
        } else if (readRequest.bodyOfItem().isPresent()) {
            Optional<ByteString> body = run.ended()
                    ? Optional.empty()
                    : run.body(readRequest.bodyOfItem().get());
            int total = run.content().items().size();
            callback.replied(
                    new JobMessage.ReadReply(readRequest.id(), true, true, total, List.of(), body), nowMs, out);
        } else {
            reads.read(run, readRequest, callback, nowMs, out);
        }
    }

    /** Replies to all waiting reads with the results that there are. */
    void endReads(long nowMs, Effects out) {
        reads.replyAll(jobs, nowMs, out);
    }

    /** Handles the work that is due: reads whose wait is over, items to retry, jobs past their retention. */
    void tick(long nowMs, Effects out) {
        if (ready && log.idle() && nowMs - progressSavedAtMs >= PROGRESS_INTERVAL_MS) {
            progressSavedAtMs = nowMs;
            saveProgress(nowMs, out);
        }
        for (JobRun run : List.copyOf(jobs.values())) {
            reads.replyIfDue(run, nowMs, out);
            if (run.done()) {
                dropExpiredJob(run, nowMs, out);
            } else {
                giveUpExpiredItems(run, nowMs, out);
                updateDemand(run, nowMs, out);
            }
        }
        stored.incompleteJobs().forEach((job, parts) -> dropAbandonedParts(job, parts, nowMs, out));
    }

    private void giveUpExpiredItems(JobRun run, long nowMs, Effects out) {
        long retentionMs = route(run).map(GatewayRoute::itemRetentionMs).orElse(0L);
        if (!ready || retentionMs <= 0 || nowMs - run.loadedAtMs() < retentionMs) {
            return;
        }
        for (int item : run.unfinished()) {
            giveUp(run, item, "not done within " + retentionMs + " ms", nowMs, out);
        }
    }

    /**
     * Drops a job and its records once its results are past their retention: its parts first, as an owner that finds
     * them without the results runs the job again.
     */
    private void dropExpiredJob(JobRun run, long nowMs, Effects out) {
        boolean expired = nowMs - run.loadedAtMs() >= context.settings().resultRetentionMs();
        if (!log.isOpen() || !expired || nowMs < dropsDueAtMs.getOrDefault(run.id(), nowMs)) {
            return;
        }
        dropsDueAtMs.put(run.id(), nowMs + DROP_INTERVAL_MS);
        context.writes().drop(run.id(), run.partKeys(), (atMs, effects) -> partsDropped(run, atMs, effects), out);
    }

    /** Drops the parts of a job that was never stored in full, and thus never accepted, once no caller sends it again. */
    private void dropAbandonedParts(JobId job, JobParts parts, long nowMs, Effects out) {
        boolean abandoned = nowMs - parts.receivedAtMs() >= context.settings().resultRetentionMs();
        if (!ready || !log.isOpen() || !abandoned || nowMs < dropsDueAtMs.getOrDefault(job, nowMs)) {
            return;
        }
        dropsDueAtMs.put(job, nowMs + DROP_INTERVAL_MS);
        out.explain(
                Subject.Kind.JOB,
                job,
                nowMs,
                "incomplete parts dropped",
                "records " + parts.keys() + ", the last received " + (nowMs - parts.receivedAtMs()) + " ms ago");
        context.writes().drop(job, parts.keys(), (atMs, effects) -> {}, out);
    }

    private void partsDropped(JobRun run, long nowMs, Effects out) {
        if (closed || !jobs.remove(run.id(), run)) {
            return;
        }
        List<KeyedRecord> results = new ArrayList<>();
        for (int position = 0; position < run.listed().size(); position++) {
            results.add(KeyedRecord.tombstone(JobRecords.resultKey(run.id(), position)));
        }
        results.addAll(stored.dropProgress(run.id()));
        dropsDueAtMs.remove(run.id());
        ended.remove(run.id());
        if (!results.isEmpty()) {
            log.write(results, (droppedAtMs, effects) -> {}, nowMs, out);
        }
    }

    /** Stops all runs; later notifications are ignored. */
    void close(long nowMs, Effects out) {
        closed = true;
        ready = false;
        log.close();
        jobsFollower.stop();
        out.add(new Effect.Unschedule(logTimer));
        out.add(new Effect.Unschedule(followTimer));
        for (RunningItem runningItem : List.copyOf(running.values())) {
            context.capacity().cancel(runningItem.permit(), nowMs, out);
        }
        for (JobRun run : jobs.values()) {
            withdrawDemand(run, nowMs, out);
        }
        reads.abandonAll(nowMs, out);
    }

    private void withdrawDemand(JobRun run, long nowMs, Effects out) {
        run.demand().ifPresent(demand -> {
            run.setDemand(Optional.empty());
            context.capacity()
                    .setDemand(
                            new BatchDemand(demand.job(), demand.team(), demand.service(), nowMs, 1, 0, 0), nowMs, out);
        });
    }

    /** Creates the result log and the job follower of a partition. */
    interface PartitionLogFactory {

        ResultLog resultLog(int partition, TimerKey timer, ResultLog.Listener listener);

        KeyedTopicFollower follower(int partition, TimerKey timer, KeyedTopicFollower.Listener listener);
    }

    private record RunningItem(BatchPermit permit, JobRun run, int item) {}
}
