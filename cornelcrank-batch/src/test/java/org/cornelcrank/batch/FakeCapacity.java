package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.BatchCapacity;
import org.cornelcrank.routing.BatchDemand;
import org.cornelcrank.routing.BatchPermit;
import org.cornelcrank.routing.BatchWork;

/** Capacity whose permits the test grants and whose work the test ends. Not thread-safe. */
final class FakeCapacity implements BatchCapacity {

    static final TargetId TARGET = new TargetId("r1");
    private static final ServiceName SERVICE = new ServiceName("llm");

    final SortedMap<JobId, BatchDemand> demands = new TreeMap<>();
    final Map<BatchPermit, BatchWork> running = new LinkedHashMap<>();
    final List<BatchPermit> released = new ArrayList<>();
    final List<BatchPermit> cancelled = new ArrayList<>();
    final List<BatchWork> started = new ArrayList<>();
    private BatchCapacityListener listener;
    private long nextPermit;

    @Override
    public void setDemand(BatchDemand demand, long nowMs, Effects out) {
        demands.put(demand.job(), demand);
    }

    @Override
    public void run(BatchPermit permit, BatchWork work, long nowMs, Effects out) {
        running.put(permit, work);
        started.add(work);
    }

    @Override
    public void releaseUnused(BatchPermit permit, long nowMs, Effects out) {
        released.add(permit);
    }

    @Override
    public void cancel(BatchPermit permit, long nowMs, Effects out) {
        running.remove(permit);
        cancelled.add(permit);
    }

    @Override
    public void subscribe(BatchCapacityListener subscriber) {
        listener = subscriber;
    }

    int runnable() {
        return demands.values().stream().mapToInt(BatchDemand::runnable).sum();
    }

    BatchPermit grant(JobId job, long nowMs, Effects out) {
        BatchPermit permit = new BatchPermit(++nextPermit, job, TARGET, SERVICE, SoftwareVersion.UNSTATED);
        listener.permitGranted(permit, nowMs, out);
        return permit;
    }

    /** Grants permits to meet the demand, up to the given number of slots. */
    void grantDemand(int slots, long nowMs, Effects out) {
        for (BatchDemand demand : List.copyOf(demands.values())) {
            int remaining = demand.runnable();
            while (remaining-- > 0 && running.size() < slots) {
                grant(demand.job(), nowMs, out);
            }
        }
    }

    void end(BatchPermit permit, AttemptOutcome outcome, long nowMs, Effects out) {
        end(permit, outcome, false, Optional.empty(), nowMs, out);
    }

    void preempt(BatchPermit permit, Optional<ResumePoint> resume, long nowMs, Effects out) {
        end(permit, failure(FailureKind.CANCELLED, Verdict.MAY_HAVE_RUN), true, resume, nowMs, out);
    }

    /** Ends all running work with the outcomes that the function returns. */
    void endAll(Function<BatchWork, AttemptOutcome> outcomes, long nowMs, Effects out) {
        for (Map.Entry<BatchPermit, BatchWork> run : List.copyOf(running.entrySet())) {
            end(run.getKey(), outcomes.apply(run.getValue()), nowMs, out);
        }
    }

    static AttemptOutcome echo(BatchWork work) {
        return new AttemptOutcome.Succeeded(200, "application/json", ((DispatchSource.Inline) work.source()).body(), 1);
    }

    static AttemptOutcome failure(FailureKind kind, Verdict verdict) {
        return new AttemptOutcome.Failed(verdict, kind, 0, 0, false, 0, ByteString.EMPTY, "made to fail");
    }

    private void end(
            BatchPermit permit,
            AttemptOutcome outcome,
            boolean preempted,
            Optional<ResumePoint> resume,
            long nowMs,
            Effects out) {
        BatchWork work = running.remove(permit);
        listener.workEnded(permit, work, outcome, preempted, resume, nowMs, out);
    }
}
