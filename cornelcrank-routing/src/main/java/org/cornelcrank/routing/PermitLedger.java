package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.TreeSet;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetReport;
import org.cornelcrank.core.Urgency;

/**
 * Grants permits to run requests on one target, urgent requests first and no faster than the target accepts them, and
 * revokes batch permits for them.
 *
 * <p>Invariant: the granted permits exceed the target's slots only by batch permits that were revoked recently, whose
 * slots go to the online requests granted in their place, and by attempts that their holders dispatched without a
 * permit. Not thread-safe: confined to the daemon's event loop.
 */
final class PermitLedger {

    private final RoutingSettings settings;
    private final SlotCapacity capacity;
    private final OnlineReserve reserve;
    private final long learningUntilMs;
    private final Map<AttemptId, HeldPermit> permits = new LinkedHashMap<>();
    private final TreeSet<PermitWaiter> waiters = new TreeSet<>();
    private final Map<AttemptId, PermitWaiter> waitersByAttempt = new LinkedHashMap<>();
    private final HoldingTimes holdingTimes = new HoldingTimes();
    private final RequestPacer pacer = new RequestPacer();
    private boolean closed;
    private int unaccountedRunning;
    private long lastRevokedAtMs = Long.MIN_VALUE / 2;

    PermitLedger(RoutingSettings settings, long nowMs) {
        this.settings = settings;
        this.capacity = new SlotCapacity(settings.permits().unreportedSlots());
        this.reserve = new OnlineReserve(
                settings.queues().reserveMissShare(), settings.queues().toleratedWaitMs());
        this.learningUntilMs = nowMs + settings.permits().handoverMs();
    }

    /** Applies the configured number of slots, and whether the target accepts new work. */
    void configure(int configuredSlots, boolean open) {
        capacity.configured(configuredSlots);
        closed = !open;
    }

    /** Applies the rate of requests that the target accepts from all daemons together, empty for no limit. */
    void limitRate(OptionalDouble maxRequestsPerSecond, long nowMs) {
        pacer.limit(maxRequestsPerSecond, nowMs);
    }

    void reported(TargetReport report, long nowMs) {
        boolean settled =
                report.measuredAtMs() > lastRevokedAtMs + settings.permits().revokePatienceMs();
        capacity.reported(report, settled && report.running() + report.queued() <= permits.size() + 1, nowMs);
        unaccountedRunning = learning(nowMs) ? Math.max(0, report.running() - permits.size()) : 0;
    }

    /**
     * Accepts a permit request. Returns a decision only if it is immediate; otherwise the request is queued, and
     * {@link #admit} decides on it and on the requests it displaces.
     */
    Optional<LedgerDecision> request(PermitWaiter waiter, long nowMs) {
        HeldPermit held = permits.get(waiter.attempt());
        if (held != null) {
            return Optional.of(repeatRequest(held, waiter));
        }
        if (waitersByAttempt.containsKey(waiter.attempt())) {
            return Optional.of(new LedgerDecision.Queue(waiter.attempt(), waiter.holder()));
        }
        if (closed) {
            return Optional.of(refuse(waiter, RoutingMessage.Reason.UNAVAILABLE, 0));
        }
        if (waiter.urgency() != Urgency.BATCH) {
            reserve.onlineArrived(nowMs);
        }
        long waitMs = expectedWaitMs(waiter, nowMs);
        if (waitMs > 0 && nowMs + waitMs + holdingTimes.upperBoundMs(waiter.service()) > waiter.deadlineAtMs()) {
            return Optional.of(refuse(waiter, RoutingMessage.Reason.OVERLOADED, waitMs));
        }
        if (nowMs + waitMs > waiter.startByMs() && starves(waiter, waiters.size() + 1, nowMs)) {
            return Optional.of(refuse(waiter, RoutingMessage.Reason.OVERLOADED, waitMs));
        }
        add(waiter);
        return Optional.empty();
    }

    private LedgerDecision repeatRequest(HeldPermit held, PermitWaiter waiter) {
        if (waiter.suspect() && !held.suspect()) {
            if (suspectRunning()) {
                return refuse(
                        waiter, RoutingMessage.Reason.SUSPECT_RUNNING, holdingTimes.upperBoundMs(waiter.service()));
            }
            held.markSuspect();
        }
        return new LedgerDecision.Grant(held.attempt(), held.holder());
    }

    /** Grants, revokes and refuses permits as the current state allows; returns the decisions in order. */
    List<LedgerDecision> admit(long nowMs) {
        List<LedgerDecision> decisions = new ArrayList<>();
        if (closed) {
            dropWaiters().forEach(waiter -> decisions.add(refuse(waiter, RoutingMessage.Reason.UNAVAILABLE, 0)));
        }
        demoteLate(nowMs, decisions);
        refuseExcess(nowMs, decisions);
        for (PermitWaiter first = firstEligible(); first != null; first = firstEligible()) {
            if (wouldMissDeadline(first, nowMs)) {
                remove(first);
                decisions.add(refuse(first, RoutingMessage.Reason.OVERLOADED, expectedWaitMs(nowMs)));
            } else if (pacer.allows(nowMs) && (hasCapacity(nowMs) || revokeOne(first, nowMs, decisions))) {
                remove(first);
                grant(first, nowMs);
                decisions.add(new LedgerDecision.Grant(first.attempt(), first.holder()));
            } else {
                break;
            }
        }
        return decisions;
    }

    /**
     * Moves requests that can no longer meet their latency objective behind those that can; refuses those that would
     * starve behind these.
     */
    private void demoteLate(long nowMs, List<LedgerDecision> decisions) {
        int position = 0;
        for (PermitWaiter waiter : List.copyOf(waiters)) {
            position++;
            boolean becameLate = waiter.becameLate(nowMs);
            if (!waiter.late() && !becameLate) {
                continue;
            }
            if (starves(waiter, position, nowMs)) {
                remove(waiter);
                decisions.add(refuse(waiter, RoutingMessage.Reason.OVERLOADED, expectedWaitMs(nowMs)));
            } else if (becameLate) {
                remove(waiter);
                add(waiter.asLate());
            }
        }
    }

    /** Returns whether timely requests use so much of the target's rate that a late one would miss its deadline. */
    private boolean starves(PermitWaiter waiter, int position, long nowMs) {
        long waitMs = pacer.lateWaitMs(position, nowMs);
        return waitMs > 0 && waitMs > waiter.deadlineAtMs() - nowMs - holdingTimes.upperBoundMs(waiter.service());
    }

    /**
     * Returns whether the request would probably miss its deadline; for one that has waited, the holding time that it
     * needs counts as well.
     */
    private boolean wouldMissDeadline(PermitWaiter waiter, long nowMs) {
        long neededMs = nowMs > waiter.requestedAtMs() ? holdingTimes.upperBoundMs(waiter.service()) : 1;
        return nowMs + neededMs > waiter.deadlineAtMs();
    }

    /** Returns the first waiter that may run; a suspect is skipped while another suspect runs. */
    private PermitWaiter firstEligible() {
        boolean suspectRunning = suspectRunning();
        for (PermitWaiter waiter : waiters) {
            if (!waiter.suspect() || !suspectRunning) {
                return waiter;
            }
        }
        return null;
    }

    private void refuseExcess(long nowMs, List<LedgerDecision> decisions) {
        int maxWaiters = Math.max(1, capacity.slots(nowMs) * settings.queues().maxWaitersPerSlot());
        while (waiters.size() > maxWaiters) {
            PermitWaiter last = waiters.last();
            remove(last);
            decisions.add(refuse(last, RoutingMessage.Reason.OVERLOADED, queueWaitMs(waiters.size(), last, nowMs)));
        }
    }

    private boolean hasCapacity(long nowMs) {
        return usedSlots() - recentlyRevoked(nowMs) < capacity.slots(nowMs);
    }

    private boolean revokeOne(PermitWaiter waiter, long nowMs, List<LedgerDecision> decisions) {
        if (waiter.urgency() == Urgency.BATCH) {
            return false;
        }
        HeldPermit latest = null;
        for (HeldPermit permit : permits.values()) {
            if (permit.batch()
                    && !permit.revoked()
                    && (latest == null || permit.grantedAtMs() > latest.grantedAtMs())) {
                latest = permit;
            }
        }
        if (latest == null) {
            return false;
        }
        latest.revoke(nowMs);
        lastRevokedAtMs = nowMs;
        decisions.add(new LedgerDecision.Revoke(latest.attempt(), latest.holder()));
        return hasCapacity(nowMs);
    }

    private void grant(PermitWaiter waiter, long nowMs) {
        RoutingMessage.RunningPermit permit = new RoutingMessage.RunningPermit(
                waiter.attempt(), waiter.service(), waiter.urgency(), 0, waiter.suspect(), Optional.empty());
        permits.put(waiter.attempt(), new HeldPermit(permit, waiter.holder(), nowMs));
        pacer.acquire(!waiter.late() && nowMs <= waiter.startByMs(), nowMs);
    }

    /**
     * Returns how many batch permits may be granted now; none while a request waits or while permits granted by the
     * previous controller may be unknown.
     */
    int capacityForBatch(long nowMs) {
        boolean recentlyRevoked = nowMs - lastRevokedAtMs < settings.permits().revokePatienceMs();
        if (closed || learning(nowMs) || !waiters.isEmpty() || recentlyRevoked) {
            return 0;
        }
        int slots = capacity.slots(nowMs);
        int spare = Math.max(0, slots - usedSlots() - reserve.slots(slots, nowMs));
        if (pacer.limited()) {
            return pacer.allowsBatch(nowMs) ? Math.min(1, spare) : 0;
        }
        return spare;
    }

    /** Grants a permit to a job. */
    void grantBatch(RoutingMessage.RunningPermit permit, HostId holder, long nowMs) {
        add(permit, holder, nowMs);
        pacer.acquire(false, nowMs);
    }

    /** Records a permit that a holder reports as running. */
    HeldPermit add(RoutingMessage.RunningPermit permit, HostId holder, long nowMs) {
        PermitWaiter waiter = waitersByAttempt.get(permit.attempt());
        if (waiter != null) {
            remove(waiter);
        }
        if (!permits.containsKey(permit.attempt()) && unaccountedRunning > 0) {
            unaccountedRunning--;
        }
        return permits.computeIfAbsent(permit.attempt(), id -> new HeldPermit(permit, holder, nowMs));
    }

    /** Releases a permit, or removes a waiter; returns the permit if there was one. */
    Optional<HeldPermit> release(AttemptId attempt, RoutingMessage.Use use, long nowMs) {
        PermitWaiter waiter = waitersByAttempt.get(attempt);
        if (waiter != null) {
            remove(waiter);
        }
        HeldPermit permit = permits.remove(attempt);
        if (permit == null) {
            return Optional.empty();
        }
        if (use == RoutingMessage.Use.UNUSED) {
            pacer.release();
        }
        if (permit.revoked()) {
            reserve.revocationTook(
                    Math.min(nowMs - permit.revokedAtMs(), settings.permits().revokePatienceMs()));
        }
        if (!permit.batch()) {
            recordHoldingTime(permit, use, nowMs);
        }
        if (use == RoutingMessage.Use.OVERLOADED) {
            capacity.overloaded(permits.size() + 1, nowMs);
        }
        return Optional.of(permit);
    }

    private void recordHoldingTime(HeldPermit permit, RoutingMessage.Use use, long nowMs) {
        long heldMs = nowMs - permit.grantedAtMs();
        if (use == RoutingMessage.Use.COMPLETED) {
            holdingTimes.completed(permit.service(), heldMs);
        } else if (use == RoutingMessage.Use.FAILED) {
            holdingTimes.failed(permit.service(), heldMs);
        }
    }

    /**
     * Frees the holder's permits that it no longer reports, except those granted so recently that its report may have
     * been sent before.
     */
    void reconcile(HostId holder, Collection<AttemptId> reported, long nowMs) {
        long grantedBeforeMs = nowMs - settings.permits().handoverMs();
        permits.values()
                .removeIf(permit -> permit.holder().equals(holder)
                        && permit.grantedAtMs() < grantedBeforeMs
                        && !reported.contains(permit.attempt()));
    }

    /** Frees the permits and waiters of a lost holder; returns whether there were any. */
    boolean holderLost(HostId holder) {
        boolean freed = permits.values().removeIf(permit -> permit.holder().equals(holder));
        for (Iterator<PermitWaiter> iterator = waiters.iterator(); iterator.hasNext(); ) {
            PermitWaiter waiter = iterator.next();
            if (waiter.holder().equals(holder)) {
                iterator.remove();
                waitersByAttempt.remove(waiter.attempt());
                freed = true;
            }
        }
        return freed;
    }

    /** Empties the queue, for example when another daemon takes ownership of the target; returns the waiters. */
    List<PermitWaiter> dropWaiters() {
        List<PermitWaiter> dropped = List.copyOf(waiters);
        waiters.clear();
        waitersByAttempt.clear();
        return dropped;
    }

    Collection<HeldPermit> permits() {
        return permits.values();
    }

    int waiting() {
        return waiters.size();
    }

    int slots(long nowMs) {
        return capacity.slots(nowMs);
    }

    /** Returns the slots that are in use or cannot be used now because of the target's rate limit. */
    int unavailableSlots(long nowMs) {
        return pacer.allows(nowMs) ? onlineRunning() : Math.max(onlineRunning(), capacity.slots(nowMs));
    }

    /** Returns when the first waiter may run as far as the target's rate limit is concerned, empty if now or never. */
    OptionalLong nextGrantAtMs(long nowMs) {
        return waiters.isEmpty() || pacer.allows(nowMs)
                ? OptionalLong.empty()
                : OptionalLong.of(nowMs + pacer.waitMs(1, nowMs));
    }

    int reservedSlots(long nowMs) {
        return reserve.slots(capacity.slots(nowMs), nowMs);
    }

    double revocationMs() {
        return reserve.revocationMs();
    }

    boolean learning(long nowMs) {
        return nowMs < learningUntilMs;
    }

    /**
     * Returns the number of permits that online requests hold; batch permits are not counted, since they can be
     * revoked.
     */
    int onlineRunning() {
        return (int) permits.values().stream().filter(permit -> !permit.batch()).count();
    }

    /** Returns how long an urgent request that arrived now would wait for a permit, in ms. */
    long expectedWaitMs(long nowMs) {
        return queueWaitMs(waiters.size(), null, nowMs);
    }

    private long expectedWaitMs(PermitWaiter waiter, long nowMs) {
        return queueWaitMs(waiters.headSet(waiter).size(), waiter, nowMs);
    }

    private long queueWaitMs(int waitersAhead, PermitWaiter waiter, long nowMs) {
        return Math.max(slotWaitMs(waitersAhead, waiter, nowMs), pacer.waitMs(waitersAhead + 1, nowMs));
    }

    private long slotWaitMs(int waitersAhead, PermitWaiter waiter, long nowMs) {
        int slots = capacity.slots(nowMs);
        int batchPermits = permits.size() - onlineRunning();
        int freeSlots = slots - usedSlots() + batchPermits;
        if (waitersAhead < freeSlots) {
            return 0;
        }
        double meanHoldMs = waiter == null ? holdingTimes.meanMs() : holdingTimes.meanMs(waiter.service());
        return Math.max(1, (long) (meanHoldMs * (waitersAhead - freeSlots + 1) / slots));
    }

    private int usedSlots() {
        return permits.size() + unaccountedRunning;
    }

    private int recentlyRevoked(long nowMs) {
        int count = 0;
        for (HeldPermit permit : permits.values()) {
            if (permit.revoked()
                    && nowMs - permit.revokedAtMs() < settings.permits().revokePatienceMs()) {
                count++;
            }
        }
        return count;
    }

    private boolean suspectRunning() {
        return permits.values().stream().anyMatch(HeldPermit::suspect);
    }

    private void add(PermitWaiter waiter) {
        waiters.add(waiter);
        waitersByAttempt.put(waiter.attempt(), waiter);
    }

    private void remove(PermitWaiter waiter) {
        waiters.remove(waiter);
        waitersByAttempt.remove(waiter.attempt());
    }

    private static LedgerDecision.Refuse refuse(PermitWaiter waiter, RoutingMessage.Reason reason, long retryAfterMs) {
        return new LedgerDecision.Refuse(waiter.attempt(), waiter.holder(), reason, retryAfterMs);
    }
}
