package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.cornelcrank.core.Verdict;
import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.job.wire.WireJobPart;
import org.cornelcrank.routing.BatchDemand;
import org.cornelcrank.routing.BatchPermit;
import org.cornelcrank.routing.BatchWork;
import org.cornelcrank.store.KeyedTopicFollower;

/**
 * One partition at its owner: its jobs, the runs of their items and the results on their way to the store.
 *
 * <p>Invariants: a result is listed only once the store has it; an item of an ended job begins no run; nothing is written
 * after the epoch is lost. Not thread-safe: confined to the daemon's event loop.
 */
final class OwnedPartition implements ResultLog.Listener, KeyedTopicFollower.Listener {

    private static final int UNPROCESSABLE = 422;
    private static final int TARGET_FAILED = 500;

    /** The pause before an item runs again after its target failed or refused, in ms. */
    private static final long FAILURE_PAUSE_MS = 200;

    /** The pause before an item runs again that is suspected of bringing targets down, in ms. */
    private static final long QUARANTINE_PAUSE_MS = 3_000;

    /** The longest that one run of an item may take, in ms: many times what the longest answers take. */
    private static final long RUN_TIMEOUT_MS = 60_000;

    /**
     * How often the progress of items is saved, in ms: what a lost owner costs at most of items that wait, against one append
     * per second and partition.
     */
    private static final long PROGRESS_INTERVAL_MS = 1_000;

    private final int number;
    private final JobContext context;
    private final ResultLog log;
    private final KeyedTopicFollower jobsFollower;
    private final Map<JobId, JobRun> jobs = new TreeMap<>();
    private final StoredRecords stored = new StoredRecords();
    private final Set<JobId> ended = new HashSet<>();
    private final Map<Long, RunningItem> running = new HashMap<>();
    private final WaitingReads reads = new WaitingReads();
    private boolean ready;
    private boolean closed;
    private boolean suspended;
    private boolean handoverWritten;
    private long progressSavedAtMs;
    private long toldOwnerAtMs;
    private int tellings;

    OwnedPartition(int number, JobContext context, PartFactory parts) {
        this.number = number;
        this.context = context;
        this.log = parts.resultLog(number, this);
        this.jobsFollower = parts.follower(number, this);
    }

    void open(long aboveEpoch, Effects out) {
        log.open(aboveEpoch, out);
    }

    int number() {
        return number;
    }

    ResultLog log() {
        return log;
    }

    KeyedTopicFollower follower() {
        return jobsFollower;
    }

    boolean ready() {
        return ready;
    }

    /** Returns when the other daemons were told last that this one owns the partition, in ms. */
    long toldOwnerAtMs() {
        return toldOwnerAtMs;
    }

    /** Notes that the other daemons are told. */
    void toldOwnerAtMs(long atMs) {
        toldOwnerAtMs = atMs;
        tellings++;
    }

    /** Returns the version of what the other daemons are told: above that of any owner under a lower epoch. */
    long version() {
        return log.epoch() + tellings;
    }

    Map<JobId, JobRun> jobs() {
        return jobs;
    }

    int runningItems() {
        return running.size();
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
    public void lost(long higherEpoch, long nowMs, Effects out) {
        context.listener().partitionLost(number, higherEpoch, nowMs, out);
    }

    @Override
    public void put(StoreResponse.StoredRecord record, long nowMs, Effects out) {
        Optional<JobRecords.Key> key = JobRecords.key(record.key());
        if (key.isEmpty()) {
            out.add(new Effect.StateChanged(JobStateMachine.NAME, "record " + record.key() + " is none of a job"));
            return;
        }
        JobId job = key.get().job();
        if (key.get().kind() == JobRecords.Kind.END) {
            endJob(job, nowMs, out);
        } else if (!jobs.containsKey(job)) {
            JobRecords.part(record.value())
                    .ifPresentOrElse(
                            part -> partCame(job, part, nowMs, out),
                            () -> out.add(new Effect.StateChanged(
                                    JobStateMachine.NAME,
                                    "record " + record.key() + " cannot be read and is passed over")));
        }
    }

    private void partCame(JobId job, WireJobPart part, long nowMs, Effects out) {
        Optional<List<WireJobPart>> parts = stored.partCame(job, part);
        if (parts.isEmpty()) {
            return;
        }
        Optional<JobContent> content = StoredRecords.join(parts.get());
        if (content.isEmpty()) {
            out.add(new Effect.StateChanged(JobStateMachine.NAME, "job " + job + " cannot be read and is passed over"));
            return;
        }
        begin(new JobRun(job, content.get(), parts.get().size(), nowMs), nowMs, out);
    }

    private void begin(JobRun run, long nowMs, Effects out) {
        stored.restore(run);
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
        context.listener().jobBegan(nowMs, out);
        demand(run, nowMs, out);
    }

    @Override
    public void dropped(String key, long nowMs, Effects out) {
        JobRecords.key(key)
                .filter(parsed -> parsed.kind() == JobRecords.Kind.NUMBERED)
                .ifPresent(parsed -> {
                    JobRun run = jobs.get(parsed.job());
                    if (run != null && run.done()) {
                        jobs.remove(parsed.job());
                    }
                });
    }

    @Override
    public void current(long nowMs, Effects out) {
        if (!ready && !closed) {
            ready = true;
            out.add(new Effect.StateChanged(
                    JobStateMachine.NAME,
                    "owns partition " + number + " under epoch " + log.epoch() + ", " + jobs.size() + " jobs"));
            context.listener().partitionReady(number, nowMs, out);
            jobs.values().forEach(run -> demand(run, nowMs, out));
        }
    }

    /** States what a job could run now; called whenever that changes. */
    void demand(JobRun run, long nowMs, Effects out) {
        if (!ready || closed || suspended) {
            return;
        }
        Optional<GatewayRoute> route = route(run);
        if (route.isEmpty() && !run.ended() && context.routesKnown()) {
            run.unfinished().stream()
                    .filter(item -> !isRunning(run, item))
                    .forEach(item -> giveUp(run, item, "no route leads to a service any more", nowMs, out));
        }
        if (route.isEmpty()) {
            return;
        }
        GatewayRoute target = route.get();
        context.capacity()
                .setDemand(
                        new BatchDemand(
                                run.id(),
                                target.team(),
                                target.serviceFor(StableHash.of(run.id().value())),
                                run.knownAtMs() + target.runObjectiveMs(),
                                1,
                                run.waitingCount(nowMs),
                                run.remaining()),
                        nowMs,
                        out);
    }

    private boolean isRunning(JobRun run, int item) {
        return running.values().stream().anyMatch(each -> each.run() == run && each.item() == item);
    }

    private Optional<GatewayRoute> route(JobRun run) {
        return run.content().items().isEmpty()
                ? Optional.empty()
                : context.route(
                        run.content().host(), run.content().items().get(0).path());
    }

    /** Runs the next item of the permit's job, or gives the permit back. */
    void permitGranted(BatchPermit permit, long nowMs, Effects out) {
        JobRun run = jobs.get(permit.job());
        Optional<Integer> item = run == null || closed || suspended ? Optional.empty() : run.takeWaiting(nowMs);
        if (item.isEmpty()) {
            context.capacity().releaseUnused(permit, nowMs, out);
            return;
        }
        JobItem content = run.content().items().get(item.get());
        running.put(permit.number(), new RunningItem(permit, run, item.get()));
        demand(run, nowMs, out);
        out.explain(
                Subject.Kind.ITEM,
                content.id(),
                nowMs,
                "runs on " + permit.target(),
                "job " + run.id() + ", after event " + run.progress(item.get()).events() + ", "
                        + run.waitingCount(nowMs) + " of " + run.remaining() + " wait");
        DispatchSource source = new DispatchSource.Prepared(
                content.id(),
                run.content().host(),
                "POST",
                content.path(),
                content.headers(),
                content.body(),
                run.progress(item.get()).events());
        long fingerprint = StableHash.of(
                content.path(), Long.toHexString(StableHash.of(content.body().toByteArray())));
        context.capacity()
                .run(
                        permit,
                        new BatchWork(content.id(), fingerprint, source, Optional.empty(), RUN_TIMEOUT_MS),
                        nowMs,
                        out);
    }

    /** Takes the end of a permit's run; returns whether it was one of this partition's. */
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
        demand(run, nowMs, out);
        return true;
    }

    private static String summary(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.Failed failed) {
            return failed.kind() + ", status " + failed.status() + ", after " + failed.tokens() + " events, "
                    + failed.detail();
        }
        return "whole, " + ((AttemptOutcome.Succeeded) outcome).tokens() + " events";
    }

    private void runFailed(JobRun run, int item, AttemptOutcome.Failed failed, long nowMs, Effects out) {
        JobRun.ItemProgress progress = run.progress(item);
        progress.add(failed.tokens(), failed.body());
        boolean ran = !(failed.verdict() instanceof Verdict.NotRun);
        if (ran && failed.status() == UNPROCESSABLE) {
            giveUp(run, item, "the target says that it can never be done", nowMs, out);
            return;
        }
        int maxAttempts = route(run).map(GatewayRoute::maxAttempts).orElse(1);
        if (ran && failed.status() == TARGET_FAILED && progress.failed() >= maxAttempts) {
            giveUp(run, item, "failed " + maxAttempts + " times", nowMs, out);
            return;
        }
        run.giveBack(item, nowMs + pauseMs(failed));
    }

    private static long pauseMs(AttemptOutcome.Failed failed) {
        return switch (failed.kind()) {
            case CANCELLED, CONNECTION_LOST -> 0;
            case REJECTED -> QUARANTINE_PAUSE_MS;
            default -> FAILURE_PAUSE_MS;
        };
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
                    reads.answer(run, acknowledgedAtMs, effects);
                },
                nowMs,
                out);
    }

    /**
     * Does the next step towards giving the partition up: ends all runs, then writes how far its items have come for the
     * next owner.
     *
     * @return whether all of it lies in the store, so that the partition may go
     */
    boolean prepareHandover(long nowMs, Effects out) {
        if (!suspended) {
            suspended = true;
            for (RunningItem each : List.copyOf(running.values())) {
                context.capacity().cancel(each.permit(), nowMs, out);
            }
        }
        if (running.isEmpty() && !handoverWritten) {
            handoverWritten = true;
            saveProgress(nowMs, out);
        }
        return handoverWritten && (log.idle() || !log.isOpen());
    }

    /** Goes on with a partition that was to be given up and has come back before it was. */
    void keep(long nowMs, Effects out) {
        if (suspended) {
            suspended = false;
            handoverWritten = false;
            out.add(new Effect.StateChanged(
                    JobStateMachine.NAME, "keeps partition " + number + " under epoch " + log.epoch()));
            jobs.values().forEach(run -> demand(run, nowMs, out));
        }
    }

    /** Writes how far the items have come that had to yield, so that a next owner goes on from there. */
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
        for (RunningItem each : List.copyOf(running.values())) {
            if (each.run() == run) {
                context.capacity().cancel(each.permit(), nowMs, out);
            }
        }
        demand(run, nowMs, out);
        reads.answer(run, nowMs, out);
    }

    /** Answers a read now if there is something to tell, or keeps it until its time is over. */
    void read(JobMessage.ReadRequest ask, WaitingReads.ReadReply reply, long nowMs, Effects out) {
        JobRun run = ready ? jobs.get(ask.job()) : null;
        if (run == null || ask.fromPosition() > run.listed().size()) {
            reply.answer(JobMessage.ReadReply.unknown(ask.number()), nowMs, out);
        } else if (ask.bodyOf().isPresent()) {
            Optional<ByteString> body =
                    run.ended() ? Optional.empty() : run.body(ask.bodyOf().get());
            int total = run.content().items().size();
            reply.answer(new JobMessage.ReadReply(ask.number(), true, total, List.of(), body), nowMs, out);
        } else {
            reads.read(run, ask, reply, nowMs, out);
        }
    }

    /** Does what time brings about: reads that have waited enough, items to try again, jobs past their retention. */
    void tick(long nowMs, Effects out) {
        if (ready && log.idle() && nowMs - progressSavedAtMs >= PROGRESS_INTERVAL_MS) {
            progressSavedAtMs = nowMs;
            saveProgress(nowMs, out);
        }
        for (JobRun run : List.copyOf(jobs.values())) {
            reads.answer(run, nowMs, out);
            if (run.done()) {
                forgetOld(run, nowMs, out);
            } else {
                giveUpOld(run, nowMs, out);
                demand(run, nowMs, out);
            }
        }
    }

    private void giveUpOld(JobRun run, long nowMs, Effects out) {
        long retentionMs = route(run).map(GatewayRoute::itemRetentionMs).orElse(0L);
        if (!ready || retentionMs <= 0 || nowMs - run.knownAtMs() < retentionMs) {
            return;
        }
        for (int item : run.unfinished()) {
            giveUp(run, item, "not done within " + retentionMs + " ms", nowMs, out);
        }
    }

    /** Drops the records of a job whose results have been readable long enough. */
    private void forgetOld(JobRun run, long nowMs, Effects out) {
        if (!log.isOpen() || nowMs - run.knownAtMs() < context.settings().resultRetentionMs()) {
            return;
        }
        List<KeyedRecord> results = new ArrayList<>();
        for (int position = 0; position < run.listed().size(); position++) {
            results.add(KeyedRecord.dropping(JobRecords.resultKey(run.id(), position)));
        }
        results.addAll(stored.dropProgress(run.id()));
        jobs.remove(run.id());
        ended.remove(run.id());
        if (!results.isEmpty()) {
            log.write(results, (droppedAtMs, effects) -> {}, nowMs, out);
        }
        context.writes().drop(run.id(), run.parts(), out);
    }

    /** Stops all runs and passes over whatever still comes. */
    void close(long nowMs, Effects out) {
        closed = true;
        ready = false;
        log.close();
        jobsFollower.stop();
        for (RunningItem each : List.copyOf(running.values())) {
            context.capacity().cancel(each.permit(), nowMs, out);
        }
        for (JobRun run : jobs.values()) {
            withdraw(run, nowMs, out);
        }
        reads.giveUpAll(nowMs, out);
    }

    private void withdraw(JobRun run, long nowMs, Effects out) {
        route(run).ifPresent(route -> context.capacity()
                .setDemand(
                        new BatchDemand(
                                run.id(),
                                route.team(),
                                route.serviceFor(StableHash.of(run.id().value())),
                                nowMs,
                                1,
                                0,
                                0),
                        nowMs,
                        out));
    }

    /** Makes the parts of a partition that talk to the store. */
    interface PartFactory {

        ResultLog resultLog(int partition, ResultLog.Listener listener);

        KeyedTopicFollower follower(int partition, KeyedTopicFollower.Listener listener);
    }

    private record RunningItem(BatchPermit permit, JobRun run, int item) {}
}
