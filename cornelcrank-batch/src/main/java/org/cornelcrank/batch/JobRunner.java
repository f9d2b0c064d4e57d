package org.cornelcrank.batch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.Subject;
import org.cornelcrank.routing.BatchDemand;
import org.cornelcrank.routing.BatchPermit;
import org.cornelcrank.routing.BatchWork;

/**
 * Runs the items of one job while this daemon owns its partition.
 *
 * <p>Invariants: an item runs under one permit at a time; a preempted run, or one that no target started, does not
 * count as an attempt; an item ends with a result, or with a failure once its attempts are used up. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class JobRunner implements ItemWindow.WindowListener {

    private static final String JSON = "application/json";
    private static final int MAX_DELAY_DOUBLINGS = 10;

    private final BatchContext context;
    private final StoredJob job;
    private final ResultBuffer results;
    private final ItemWindow window;
    private final Map<BatchPermit, WaitingItem> running = new LinkedHashMap<>();
    private int lastDemand;
    private boolean stopped;

    JobRunner(BatchContext context, PartitionId partition, StoredJob job, StoredFile file, ResultBuffer results) {
        this.context = context;
        this.job = job;
        this.results = results;
        this.window = new ItemWindow(context, partition, job, file, this);
    }

    void start(long nowMs, Effects out) {
        context.windows().jobStarted();
        window.fill(nowMs, out);
    }

    /** Cancels running items and withdraws the demand. */
    void stop(long nowMs, Effects out) {
        if (stopped) {
            return;
        }
        stopped = true;
        context.windows().jobStopped();
        window.close();
        List<BatchPermit> cancelled = List.copyOf(running.keySet());
        running.clear();
        cancelled.forEach(permit -> context.capacity().cancel(permit, nowMs, out));
        setDemand(0, nowMs, out);
    }

    void permitGranted(BatchPermit permit, long nowMs, Effects out) {
        Optional<WaitingItem> item = stopped || context.budget().exhausted() ? Optional.empty() : window.take();
        if (item.isEmpty()) {
            context.capacity().releaseUnused(permit, nowMs, out);
        } else {
            running.put(permit, item.get());
            context.capacity().run(permit, work(item.get()), nowMs, out);
            window.fill(nowMs, out);
        }
        updateDemand(nowMs, out);
    }

    void workEnded(BatchPermit permit, AttemptOutcome outcome, boolean preempted, long nowMs, Effects out) {
        WaitingItem item = running.remove(permit);
        if (item == null) {
            return;
        }
        if (outcome instanceof AttemptOutcome.Succeeded succeeded) {
            succeeded(item, succeeded, nowMs, out);
        } else if (preempted) {
            context.count("items-preempted");
            window.putFirst(item);
        } else if (outcome instanceof AttemptOutcome.Failed failed) {
            failed(item, failed, nowMs, out);
        }
        flushIfIdle(nowMs, out);
        updateDemand(nowMs, out);
    }

    /** Resumes after a retry delay, a failed read or an exhausted result budget. */
    void resume(long nowMs, Effects out) {
        window.requeueDue(nowMs, out);
        updateDemand(nowMs, out);
    }

    @Override
    public void windowFilled(long nowMs, Effects out) {
        if (stopped) {
            return;
        }
        flushIfIdle(nowMs, out);
        updateDemand(nowMs, out);
        if (window.ready() == 0) {
            window.fill(nowMs, out);
        }
    }

    @Override
    public void itemInvalid(int item, String customId, String reason, long nowMs, Effects out) {
        if (!stopped) {
            fail(item, customId, new ItemFailure(0, ByteString.EMPTY, "invalid_request", reason), nowMs, out);
        }
    }

    StoredJob job() {
        return job;
    }

    int running() {
        return running.size();
    }

    int ready() {
        return window.ready();
    }

    private BatchWork work(WaitingItem item) {
        ItemLine line = item.line();
        DispatchSource.Inline source = new DispatchSource.Inline(line.method(), line.url(), JSON, line.body());
        OptionalLong fingerprint = OptionalLong.of(StableHash.of(line.body().toByteArray()));
        String itemId = job.terms().job() + ":" + item.number();
        long timeoutMs = context.attemptTimeoutMs(job.terms().service());
        Optional<ResumePoint> generation =
                Optional.of(item.generation(job.terms().job()));
        return new BatchWork(itemId, fingerprint, source, generation, timeoutMs);
    }

    private void succeeded(WaitingItem item, AttemptOutcome.Succeeded success, long nowMs, Effects out) {
        if (success.body().size() > context.limits().maxResultBytes()) {
            String reason = "the response has more than " + context.limits().maxResultBytes() + " bytes";
            fail(item, new ItemFailure(success.status(), ByteString.EMPTY, "answer_too_large", reason), nowMs, out);
            return;
        }
        context.count("items-answered");
        window.release(item);
        ResultLine line = new ResultLine(
                item.number(), item.line().customId(), success.status(), success.body(), Optional.empty(), "");
        results.add(job.terms().job(), line, nowMs, out);
    }

    private void failed(WaitingItem item, AttemptOutcome.Failed failure, long nowMs, Effects out) {
        switch (failure.kind()) {
            case CANCELLED -> window.putFirst(item);
            case CONNECTION_REFUSED, RELAY_FAILED, OVERLOADED -> delay(
                    item.afterRefusal(), item.refusals(), nowMs, out);
            case REJECTED, ANSWER_TOO_LARGE -> fail(item, ItemFailure.of(failure, context.limits()), nowMs, out);
            default -> retryOrFail(item.afterFailure(), failure, nowMs, out);
        }
    }

    private void retryOrFail(WaitingItem item, AttemptOutcome.Failed failure, long nowMs, Effects out) {
        if (item.attempts() >= context.maxItemAttempts(job.terms().team())) {
            fail(item, ItemFailure.of(failure, context.limits()), nowMs, out);
            return;
        }
        context.count("items-retried");
        results.countAttempts(job.terms().job(), item.number(), item.attempts(), nowMs, out);
        delay(item, item.attempts() - 1, nowMs, out);
    }

    private void delay(WaitingItem item, int earlierDelays, long nowMs, Effects out) {
        long delayMs = context.limits().retryDelayMs() << Math.min(earlierDelays, MAX_DELAY_DOUBLINGS);
        window.putDelayed(item, nowMs + Math.min(delayMs, context.limits().maxRetryDelayMs()), out);
    }

    private void fail(WaitingItem item, ItemFailure failure, long nowMs, Effects out) {
        window.release(item);
        fail(item.number(), item.line().customId(), failure, nowMs, out);
    }

    private void fail(int item, String customId, ItemFailure failure, long nowMs, Effects out) {
        context.count("items-failed");
        String itemId = job.terms().job() + ":" + item;
        out.explain(Subject.Kind.ITEM, itemId, nowMs, "failed permanently", failure.code() + ": " + failure.message());
        results.add(job.terms().job(), failure.toResultLine(item, customId), nowMs, out);
    }

    private void flushIfIdle(long nowMs, Effects out) {
        if (running.isEmpty() && window.exhausted()) {
            results.flush(job.terms().job(), true, nowMs, out);
        }
    }

    private void updateDemand(long nowMs, Effects out) {
        if (stopped) {
            return;
        }
        int runnable = context.budget().exhausted() ? 0 : window.ready();
        boolean changesToOrFromZero = (runnable == 0) != (lastDemand == 0);
        if (changesToOrFromZero || Math.abs(runnable - lastDemand) > lastDemand / 4) {
            setDemand(runnable, nowMs, out);
        }
    }

    private void setDemand(int runnable, long nowMs, Effects out) {
        lastDemand = runnable;
        StoredJob.Terms terms = job.terms();
        context.capacity()
                .setDemand(
                        new BatchDemand(
                                terms.job(),
                                terms.team(),
                                terms.service(),
                                terms.deadlineAtMs(),
                                context.share(terms.team()),
                                runnable,
                                job.ended() ? 0 : job.remaining()),
                        nowMs,
                        out);
    }
}
