package org.cornelcrank.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;

/** Models the owner of one batch job: assigns its items to permits, and counts finished items and lost tokens. */
final class BatchOwnerModel implements BatchCapacity.BatchCapacityListener {

    private static final long ITEM_TIMEOUT_MS = 60_000;

    /** The pause after a failure or a refusal in ms, as in the state machine of jobs. */
    private static final long FAILURE_PAUSE_MS = 200;

    private final VirtualFleet.Node node;
    private final JobId job;
    private final TeamPath team;
    private final long deadlineAtMs;
    private final OptionalLong fingerprint;
    private final Deque<Item> waiting = new ArrayDeque<>();
    int finished;
    int failed;
    int running;
    long finishedTokens;
    long lostTokens;
    long keptTokens;

    BatchOwnerModel(VirtualFleet.Node node, String job, String team, int items, int tokens, long deadlineAtMs) {
        this(node, job, team, items, tokens, deadlineAtMs, OptionalLong.of(0));
    }

    BatchOwnerModel(
            VirtualFleet.Node node,
            String job,
            String team,
            int items,
            int tokens,
            long deadlineAtMs,
            OptionalLong fingerprint) {
        this.node = node;
        this.job = new JobId(job);
        this.team = new TeamPath(team);
        this.deadlineAtMs = deadlineAtMs;
        this.fingerprint = fingerprint;
        for (int i = 0; i < items; i++) {
            waiting.add(new Item(job + ":" + i, tokens, Optional.empty(), null));
        }
        node.stateMachine.subscribe(this);
    }

    void start(long nowMs) {
        Effects out = new Effects();
        updateDemand(nowMs, out);
        node.execute(out);
    }

    private void updateDemand(long nowMs, Effects out) {
        BatchDemand demand = new BatchDemand(
                job, team, VirtualFleet.SERVICE, deadlineAtMs, 1, waiting.size(), waiting.size() + running);
        node.stateMachine.setDemand(demand, nowMs, out);
    }

    @Override
    public void permitGranted(BatchPermit permit, long nowMs, Effects out) {
        Item item = takeFor(permit.target());
        if (item == null) {
            node.stateMachine.releaseUnused(permit, nowMs, out);
            return;
        }
        running++;
        if (item.keptBy != null && !item.keptBy.equals(permit.target())) {
            lostTokens += item.resume.map(ResumePoint::fromToken).orElse(0);
        }
        Optional<ResumePoint> resume = item.resume
                .filter(point -> permit.target().equals(item.keptBy))
                .or(() -> Optional.of(new ResumePoint(item.id.replace(':', '-'), 0)));
        DispatchSource.Inline source = new DispatchSource.Inline(
                "POST", "/v1/completions", "application/json", ByteString.copyFromUtf8(Integer.toString(item.tokens)));
        node.stateMachine.run(permit, new BatchWork(item.id, fingerprint, source, resume, ITEM_TIMEOUT_MS), nowMs, out);
        updateDemand(nowMs, out);
    }

    /** Takes an item that the target has started before, if there is one. */
    private Item takeFor(TargetId target) {
        int examined = 0;
        for (Iterator<Item> iterator = waiting.iterator(); iterator.hasNext() && examined < 64; examined++) {
            Item item = iterator.next();
            if (target.equals(item.keptBy)) {
                iterator.remove();
                return item;
            }
        }
        for (Iterator<Item> iterator = waiting.iterator(); iterator.hasNext(); ) {
            Item item = iterator.next();
            if (item.keptBy == null) {
                iterator.remove();
                return item;
            }
        }
        return waiting.poll();
    }

    @Override
    public void workEnded(
            BatchPermit permit,
            BatchWork work,
            AttemptOutcome outcome,
            boolean preempted,
            Optional<ResumePoint> resume,
            long nowMs,
            Effects out) {
        running--;
        int tokens =
                Integer.parseInt(((DispatchSource.Inline) work.source()).body().toStringUtf8());
        int resumedFrom = work.resume().map(ResumePoint::fromToken).orElse(0);
        if (outcome instanceof AttemptOutcome.Succeeded) {
            finished++;
            finishedTokens += tokens;
        } else if (preempted) {
            int generated = ((AttemptOutcome.Failed) outcome).tokens();
            if (resume.isPresent()) {
                keptTokens += generated;
            } else {
                lostTokens += generated + resumedFrom;
            }
            waiting.addFirst(new Item(work.itemId(), tokens, resume, resume.isPresent() ? permit.target() : null));
        } else {
            failed++;
            node.afterPause(FAILURE_PAUSE_MS, () -> requeue(new Item(work.itemId(), tokens, resume, null)));
        }
        updateDemand(nowMs, out);
    }

    private void requeue(Item item) {
        waiting.add(item);
        start(node.nowMs());
    }

    private record Item(String id, int tokens, Optional<ResumePoint> resume, TargetId keptBy) {}
}
