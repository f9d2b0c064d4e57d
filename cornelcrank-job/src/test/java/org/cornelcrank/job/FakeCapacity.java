package org.cornelcrank.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.BatchCapacity;
import org.cornelcrank.routing.BatchDemand;
import org.cornelcrank.routing.BatchPermit;
import org.cornelcrank.routing.BatchWork;
import org.cornelcrank.store.fake.VirtualNodes;

/**
 * Grants permits to jobs in turn while slots are free, and runs each item for a fixed time.
 *
 * <p>Not thread-safe.
 */
final class FakeCapacity implements BatchCapacity {

    static final long RUN_MS = 400;
    private static final int SLOTS = 4;

    private final HostId host;
    private final VirtualNodes nodes;
    private final Map<String, Integer> runsByItem;
    private final Map<JobId, BatchDemand> demands = new LinkedHashMap<>();
    private final Map<Long, BatchWork> running = new HashMap<>();
    private BiFunction<String, Integer, AttemptOutcome> outcomes;
    private BatchCapacityListener listener;
    private boolean granting;
    private boolean stopped;
    private int eventsOnCancel;
    private String textOnCancel = "";
    private long lastPermit;
    private SoftwareVersion version = SoftwareVersion.UNSTATED;
    private int eventsPerRun;
    private int eventsPerItem;

    FakeCapacity(
            HostId host,
            VirtualNodes nodes,
            Map<String, Integer> runsByItem,
            BiFunction<String, Integer, AttemptOutcome> outcomes) {
        this.host = host;
        this.nodes = nodes;
        this.runsByItem = runsByItem;
        this.outcomes = outcomes;
    }

    static AttemptOutcome succeeded(String item) {
        return new AttemptOutcome.Succeeded(200, "", ByteString.copyFromUtf8("text of " + item), 3);
    }

    static AttemptOutcome failed(FailureKind kind, int status) {
        return new AttemptOutcome.Failed(
                Verdict.MAY_HAVE_RUN, kind, status, 0, false, 0, ByteString.EMPTY, "made to fail");
    }

    @Override
    public void setDemand(BatchDemand demand, long nowMs, Effects out) {
        if (demand.runnable() == 0) {
            demands.remove(demand.job());
        } else {
            demands.put(demand.job(), demand);
        }
        grantSoon();
    }

    private void grantSoon() {
        if (!granting) {
            granting = true;
            nodes.later(1, () -> act(this::grant));
        }
    }

    private void act(VirtualNodes.NodeAction action) {
        if (!stopped) {
            nodes.act(host, (nowMs, out) -> {
                if (!stopped) {
                    action.act(nowMs, out);
                }
            });
        }
    }

    /** Ends all runs without notice, as the daemon has been killed. */
    void stop() {
        stopped = true;
    }

    private void grant(long nowMs, Effects out) {
        granting = false;
        while (running.size() < SLOTS && !demands.isEmpty()) {
            BatchDemand demand = demands.values().iterator().next();
            demands.remove(demand.job());
            demands.put(demand.job(), demand);
            BatchPermit permit =
                    new BatchPermit(++lastPermit, demand.job(), new TargetId("t-1"), demand.service(), version);
            int before = running.size();
            listener.permitGranted(permit, nowMs, out);
            if (running.size() == before) {
                return;
            }
        }
    }

    @Override
    public void run(BatchPermit permit, BatchWork work, long nowMs, Effects out) {
        running.put(permit.number(), work);
        int run = runsByItem.merge(work.itemId(), 1, Integer::sum);
        nodes.later(
                RUN_MS,
                () -> act((atMs, effects) -> {
                    if (running.containsKey(permit.number())) {
                        AttemptOutcome outcome =
                                eventsPerRun > 0 ? interrupted(work) : outcomes.apply(work.itemId(), run);
                        end(permit, outcome, atMs, effects);
                    }
                }));
    }

    /** Lets each run break off after some events, which are numbered from the one after which it was asked to go on. */
    void setEvents(int perRun, int perItem) {
        eventsPerRun = perRun;
        eventsPerItem = perItem;
    }

    private AttemptOutcome interrupted(BatchWork work) {
        int from = (int) ((DispatchSource.Prepared) work.source()).resumeAfterEvent();
        int to = Math.min(eventsPerItem, from + eventsPerRun);
        ByteString text = ByteString.copyFromUtf8(text(from + 1, to));
        return to == eventsPerItem
                ? new AttemptOutcome.Succeeded(200, "", text, to - from)
                : new AttemptOutcome.Failed(
                        Verdict.MAY_HAVE_RUN,
                        FailureKind.CONNECTION_LOST,
                        0,
                        to - from,
                        false,
                        0,
                        text,
                        "made to break off");
    }

    /** Returns the text of consecutive events. */
    static String text(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(event -> "event " + event)
                .collect(Collectors.joining("\n"));
    }

    private void end(BatchPermit permit, AttemptOutcome outcome, long nowMs, Effects out) {
        BatchWork work = running.remove(permit.number());
        listener.workEnded(permit, work, outcome, false, Optional.empty(), nowMs, out);
        grantSoon();
    }

    /** Sets the version of the software of the target that grants from now on. */
    void setVersion(String newVersion) {
        version = new SoftwareVersion(newVersion);
    }

    /** Revokes all permits; each run ends with the given events and text. */
    void revokeAll(int events, String text) {
        nodes.act(host, (nowMs, out) -> {
            for (Map.Entry<Long, BatchWork> run : Map.copyOf(running).entrySet()) {
                BatchPermit permit = new BatchPermit(
                        run.getKey(), new JobId("any"), new TargetId("t-1"), new ServiceName("any"), version);
                end(permit, cancelled(events, text), nowMs, out);
            }
        });
    }

    /** Returns the event after which each running item has resumed, by item id. */
    Map<String, Long> resumePoints() {
        Map<String, Long> points = new HashMap<>();
        running.values()
                .forEach(work ->
                        points.put(work.itemId(), ((DispatchSource.Prepared) work.source()).resumeAfterEvent()));
        return points;
    }

    @Override
    public void releaseUnused(BatchPermit permit, long nowMs, Effects out) {
        demands.remove(permit.job());
    }

    @Override
    public void cancel(BatchPermit permit, long nowMs, Effects out) {
        if (running.containsKey(permit.number())) {
            AttemptOutcome outcome = eventsPerRun > 0
                    ? interrupted(running.get(permit.number()))
                    : cancelled(eventsOnCancel, textOnCancel);
            end(permit, outcome, nowMs, out);
        }
    }

    /** Sets the events and text with which runs end when they are cancelled. */
    void setProgressOnCancel(int events, String text) {
        eventsOnCancel = events;
        textOnCancel = text;
    }

    private static AttemptOutcome cancelled(int events, String text) {
        return new AttemptOutcome.Failed(
                Verdict.MAY_HAVE_RUN,
                FailureKind.CANCELLED,
                0,
                events,
                false,
                0,
                ByteString.copyFromUtf8(text),
                "cancelled");
    }

    @Override
    public void subscribe(BatchCapacityListener newListener) {
        listener = newListener;
    }

    Collection<BatchWork> runningWork() {
        return running.values();
    }

    int runningItems() {
        return running.size();
    }
}
