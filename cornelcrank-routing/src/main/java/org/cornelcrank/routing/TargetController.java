package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.cornelcrank.config.TargetPolicy;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.Urgency;

/**
 * Grants the permits of the targets that this daemon controls, and grants idle slots to batch jobs.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class TargetController {

    static final TimerKey TIMER = new TimerKey(RoutingStateMachine.NAME, "paced-grants");

    private static final double ITEM_SMOOTHING_FACTOR = 0.1;

    private final RoutingContext context;
    private final OccupancyPublisher publisher;
    private final BatchDemandQueue demands;
    private final Map<TargetId, PermitLedger> ledgers = new TreeMap<>();
    private final Set<TargetId> unreachable = new TreeSet<>();
    private final DueQueue<TargetId> pacedGrants = new DueQueue<>(TIMER);
    private final EarlyPermits earlyPermits;
    private double meanItemMs;

    TargetController(RoutingContext context, OccupancyPublisher publisher) {
        this.context = context;
        this.publisher = publisher;
        this.demands = new BatchDemandQueue(context.routing().queues().demandLifetimeMs());
        this.earlyPermits = new EarlyPermits(context.routing().permits().announceIntervalMs());
    }

    /**
     * Takes control of the targets that are now assigned to this daemon, drops the others, and watches the reports of
     * the controlled ones.
     */
    void assignTargets(long nowMs, Effects out) {
        Map<TargetId, String> watched = new TreeMap<>();
        Set<TargetId> controlledNow = new TreeSet<>();
        context.controllers().retain(context.directory().ids());
        for (TargetState target : context.directory().all()) {
            boolean controlled = controls(target);
            if (controlled || context.policy().admission() == AdmissionOrder.ARRIVAL) {
                watched.put(target.id(), target.address());
            }
            if (controlled) {
                controlledNow.add(target.id());
                ledgers.computeIfAbsent(target.id(), id -> newLedger(id, nowMs));
            }
        }
        for (TargetId lost : List.copyOf(ledgers.keySet())) {
            if (!controlledNow.contains(lost)) {
                dropLedger(lost, out);
            }
        }
        if (!watched.equals(publisher.watched())) {
            publisher.watch(watched);
            out.add(new Effect.WatchTargets(watched));
        }
        unreachable.retainAll(watched.keySet());
    }

    private PermitLedger newLedger(TargetId target, long nowMs) {
        PermitLedger ledger = new PermitLedger(context.routing(), nowMs);
        earlyPermits
                .take(target, nowMs)
                .forEach((holder, permits) -> permits.forEach(permit -> ledger.add(permit, holder, nowMs)));
        return ledger;
    }

    private boolean controls(TargetState target) {
        return context.controllers()
                .controllerOf(target)
                .filter(context.identity().host()::equals)
                .isPresent();
    }

    private void dropLedger(TargetId target, Effects out) {
        PermitLedger ledger = ledgers.remove(target);
        Optional<HostId> successor = context.directory().find(target).flatMap(context.controllers()::controllerOf);
        RoutingMessage.Reason reason =
                successor.isPresent() ? RoutingMessage.Reason.NOT_CONTROLLER : RoutingMessage.Reason.UNAVAILABLE;
        for (PermitWaiter waiter : ledger.dropWaiters()) {
            context.peers()
                    .send(
                            waiter.holder(),
                            new RoutingMessage.PermitRefused(waiter.attempt(), target, reason, 0, successor),
                            out);
        }
    }

    /** Applies changes of settings, leaving targets and lost holders, and grants the slots that became free. */
    void refresh(Collection<HostId> lostHolders, long nowMs, Effects out) {
        for (HostId holder : lostHolders) {
            demands.holderLost(holder);
            ledgers.values().forEach(ledger -> ledger.holderLost(holder));
        }
        demands.expire(nowMs);
        for (Map.Entry<TargetId, PermitLedger> entry : ledgers.entrySet()) {
            configure(entry.getKey(), entry.getValue(), nowMs);
            admit(entry.getKey(), entry.getValue(), nowMs, out);
        }
    }

    private void configure(TargetId target, PermitLedger ledger, long nowMs) {
        TargetPolicy policy = context.settings().target(target);
        ledger.configure(policy.slots(), acceptsWork(target, nowMs));
        context.directory().find(target).ifPresent(state -> ledger.limitRate(state.maxRequestsPerSecond(), nowMs));
    }

    /** Returns whether permits may be granted, also to daemons that reach the target another way than this one. */
    private boolean acceptsWork(TargetId target, long nowMs) {
        return context.directory()
                        .find(target)
                        .filter(state -> !context.directory().leaving(state, nowMs))
                        .filter(state -> !state.health().down(nowMs))
                        .isPresent()
                && !unreachable.contains(target);
    }

    /** Records that nothing listens at the target's address; no permits are granted for it until it reports again. */
    void unreachable(TargetId target, long nowMs, Effects out) {
        PermitLedger ledger = ledgers.get(target);
        if (ledger != null && unreachable.add(target)) {
            configure(target, ledger, nowMs);
            admit(target, ledger, nowMs, out);
        }
    }

    /** Applies a change of the rate of requests that a target accepts. */
    void rateLimitChanged(TargetId target, long nowMs, Effects out) {
        PermitLedger ledger = ledgers.get(target);
        if (ledger != null) {
            configure(target, ledger, nowMs);
            admit(target, ledger, nowMs, out);
        }
    }

    /** Admits requests that the rate limits of their targets allow now. */
    void timerDue(long nowMs, Effects out) {
        for (TargetId target : pacedGrants.takeDue(nowMs, out)) {
            PermitLedger ledger = ledgers.get(target);
            if (ledger != null) {
                admit(target, ledger, nowMs, out);
            }
        }
    }

    void reported(TargetReport report, long nowMs, Effects out) {
        unreachable.remove(report.target());
        PermitLedger ledger = ledgers.get(report.target());
        if (ledger == null) {
            return;
        }
        ledger.reported(report, nowMs);
        configure(report.target(), ledger, nowMs);
        admit(report.target(), ledger, nowMs, out);
    }

    void permitRequested(HostId from, RoutingMessage.PermitRequested request, long nowMs, Effects out) {
        PermitLedger ledger = ledgers.get(request.target());
        if (ledger == null) {
            refuseUncontrolled(from, request, out);
            return;
        }
        configure(request.target(), ledger, nowMs);
        PermitWaiter waiter = new PermitWaiter(
                request.attempt(),
                from,
                request.service(),
                request.urgency(),
                nowMs,
                nowMs + request.remainingMs(),
                request.startByMs(nowMs),
                false,
                request.suspect());
        Optional<LedgerDecision> decision = ledger.request(waiter, nowMs);
        decision.ifPresent(immediate -> apply(request.target(), ledger, immediate, nowMs, out));
        boolean decided = admit(request.target(), ledger, nowMs, out).contains(request.attempt());
        if (decision.isEmpty() && !decided) {
            LedgerDecision queue = new LedgerDecision.Queue(request.attempt(), from);
            apply(request.target(), ledger, queue, nowMs, out);
        }
    }

    private void refuseUncontrolled(HostId from, RoutingMessage.PermitRequested request, Effects out) {
        Optional<HostId> controller = context.directory()
                .find(request.target())
                .flatMap(context.controllers()::controllerOf)
                .filter(host -> !host.equals(context.identity().host()));
        RoutingMessage.Reason reason =
                controller.isPresent() ? RoutingMessage.Reason.NOT_CONTROLLER : RoutingMessage.Reason.UNAVAILABLE;
        context.peers()
                .send(
                        from,
                        new RoutingMessage.PermitRefused(request.attempt(), request.target(), reason, 0, controller),
                        out);
    }

    void released(RoutingMessage.PermitReleased released, long nowMs, Effects out) {
        PermitLedger ledger = ledgers.get(released.target());
        if (ledger == null) {
            earlyPermits.released(released.target(), released.attempt());
            return;
        }
        Optional<HeldPermit> permit = ledger.release(released.attempt(), released.use(), nowMs);
        permit.ifPresent(held -> itemEnded(held, released, nowMs));
        admit(released.target(), ledger, nowMs, out);
    }

    private void itemEnded(HeldPermit permit, RoutingMessage.PermitReleased released, long nowMs) {
        permit.owner().ifPresent(owner -> {
            demands.runnableChanged(owner.job(), released.runnable());
            if (released.use() == RoutingMessage.Use.COMPLETED) {
                double elapsedMs = nowMs - permit.grantedAtMs();
                meanItemMs =
                        meanItemMs == 0 ? elapsedMs : meanItemMs + ITEM_SMOOTHING_FACTOR * (elapsedMs - meanItemMs);
            }
        });
    }

    void demandAdvertised(HostId from, RoutingMessage.BatchDemandAdvertised advertised, long nowMs, Effects out) {
        demands.advertised(from, advertised, nowMs);
        ledgers.forEach((target, ledger) -> grantIdleSlots(target, ledger, nowMs, out));
    }

    void runningPermitsReceived(HostId from, RoutingMessage.RunningPermits running, long nowMs, Effects out) {
        PermitLedger ledger = ledgers.get(running.target());
        if (ledger == null) {
            earlyPermits.advertised(from, running, nowMs);
            return;
        }
        running.permits().forEach(permit -> ledger.add(permit, from, nowMs));
        Set<AttemptId> reported = running.permits().stream()
                .map(RoutingMessage.RunningPermit::attempt)
                .collect(Collectors.toSet());
        ledger.reconcile(from, reported, nowMs);
        admit(running.target(), ledger, nowMs, out);
    }

    /** Applies the ledger's current decisions; returns the attempts that they concern. */
    private Collection<AttemptId> admit(TargetId target, PermitLedger ledger, long nowMs, Effects out) {
        List<AttemptId> decided = new ArrayList<>();
        for (LedgerDecision decision : ledger.admit(nowMs)) {
            apply(target, ledger, decision, nowMs, out);
            decided.add(decision.attempt());
        }
        grantIdleSlots(target, ledger, nowMs, out);
        ledger.nextGrantAtMs(nowMs).ifPresent(atMs -> pacedGrants.put(target, atMs, out));
        publisher.publish(target, occupancy(target, ledger, nowMs), nowMs, out);
        return decided;
    }

    private void apply(TargetId target, PermitLedger ledger, LedgerDecision decision, long nowMs, Effects out) {
        RoutingMessage message;
        if (decision instanceof LedgerDecision.Grant grant) {
            context.count("permits-granted");
            message = new RoutingMessage.PermitGranted(grant.attempt(), target, occupancy(target, ledger, nowMs));
        } else if (decision instanceof LedgerDecision.Queue queue) {
            context.count("permits-queued");
            message = new RoutingMessage.PermitQueued(queue.attempt(), target, occupancy(target, ledger, nowMs));
        } else if (decision instanceof LedgerDecision.Refuse refuse) {
            context.count("permits-refused");
            message = new RoutingMessage.PermitRefused(
                    refuse.attempt(), target, refuse.reason(), refuse.retryAfterMs(), Optional.empty());
        } else {
            context.count("permits-revoked");
            out.explain(
                    Subject.Kind.TARGET,
                    target,
                    nowMs,
                    "batch permit revoked",
                    decision.attempt() + " for an online request");
            message = new RoutingMessage.PermitRevoked(decision.attempt(), target);
        }
        context.peers().send(decision.holder(), message, out);
    }

    private void grantIdleSlots(TargetId target, PermitLedger ledger, long nowMs, Effects out) {
        Optional<TargetState> state = context.directory().find(target);
        if (state.isEmpty() || demands.isEmpty() || !acceptsWork(target, nowMs)) {
            return;
        }
        // The owners of items do not choose their targets, so that only this daemon keeps items from a failing one.
        if (state.get().health().ejected(nowMs)) {
            return;
        }
        for (int capacity = ledger.capacityForBatch(nowMs); capacity > 0; capacity--) {
            Optional<BatchDemandQueue.StandingDemand> taken =
                    demands.take(state.get(), allPermits(), meanItemMs, nowMs);
            if (taken.isEmpty()) {
                return;
            }
            grantBatchPermit(target, ledger, taken.get(), nowMs, out);
        }
    }

    private void grantBatchPermit(
            TargetId target, PermitLedger ledger, BatchDemandQueue.StandingDemand demand, long nowMs, Effects out) {
        RoutingMessage.BatchDemandAdvertised advertised = demand.advertised();
        AttemptId attempt = context.attempts().next();
        Optional<RoutingMessage.BatchOwner> owner =
                Optional.of(new RoutingMessage.BatchOwner(advertised.job(), advertised.team()));
        ledger.grantBatch(
                new RoutingMessage.RunningPermit(attempt, advertised.service(), Urgency.BATCH, 0, false, owner),
                demand.holder(),
                nowMs);
        context.count("batch-permits-granted");
        context.peers().send(demand.holder(), new RoutingMessage.BatchGranted(attempt, target, advertised.job()), out);
    }

    private Collection<HeldPermit> allPermits() {
        List<HeldPermit> all = new ArrayList<>();
        ledgers.values().forEach(ledger -> all.addAll(ledger.permits()));
        return all;
    }

    private TargetOccupancy occupancy(TargetId target, PermitLedger ledger, long nowMs) {
        TreeSet<String> loaded = new TreeSet<>();
        context.directory()
                .find(target)
                .filter(state -> state.report() != null)
                .ifPresent(state -> loaded.addAll(state.report().loaded()));
        return new TargetOccupancy(
                ledger.slots(nowMs),
                ledger.unavailableSlots(nowMs),
                ledger.waiting(),
                ledger.expectedWaitMs(nowMs),
                loaded);
    }

    /** Returns the holders of permits that this daemon has granted, and of batch demand. */
    Set<HostId> holders() {
        Set<HostId> holders = new TreeSet<>();
        allPermits().forEach(permit -> holders.add(permit.holder()));
        demands.all().forEach(demand -> holders.add(demand.holder()));
        return holders;
    }

    Map<TargetId, PermitLedger> ledgers() {
        return ledgers;
    }

    Collection<BatchDemandQueue.StandingDemand> demands() {
        return demands.all();
    }
}
