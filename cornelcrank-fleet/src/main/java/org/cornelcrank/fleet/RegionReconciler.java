package org.cornelcrank.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.OrderOutcome;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetOrder;
import org.cornelcrank.core.TargetReport;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.PartitionWriter;

/**
 * Reconciles the targets of a region with the settings while this daemon holds the region's claim.
 *
 * <p>Invariants: an order is sent only after a record of it has been applied under the claim, and soon after; a target
 * that ignores fencing numbers gets no order until the orders of an earlier claim holder have timed out; no order
 * unloads the last loaded copy of a service; at most {@code maxOrdersAtOnce} orders are in flight. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class RegionReconciler {

    private static final String DEFAULT_ROLE = "mixed";

    private final PartitionId partition;
    private final FleetState state;
    private final long gainedAtMs;
    private final Settings config;
    private final PartitionWriter writer;
    private final FleetSettings settings;
    private final TargetTable targets;
    private final MetricRegistry metrics;
    private final InFlightOrders inFlight;
    private final RolloutGuard guard;
    private final Map<Long, Proposal> proposals = new TreeMap<>();
    private final Map<TargetId, String> lastExplanations = new HashMap<>();
    private final Set<TargetId> roleUncertain = new HashSet<>();
    private final Set<ServiceName> haltProposed = new HashSet<>();
    private long nextOrderNumber = 1;

    RegionReconciler(
            Claim claim,
            Settings config,
            PartitionWriter writer,
            FleetSettings settings,
            TargetTable targets,
            MetricRegistry metrics) {
        this.partition = claim.partition;
        this.state = claim.state;
        this.gainedAtMs = claim.gainedAtMs;
        this.config = config;
        this.writer = writer;
        this.settings = settings;
        this.targets = targets;
        this.metrics = metrics;
        this.inFlight = new InFlightOrders(settings);
        this.guard = new RolloutGuard(settings, targets);
    }

    /** Compares the actual with the desired state, and takes the next steps. */
    void reconcile(long nowMs, Effects out) {
        FleetPlan plan = plan(nowMs);
        confirmOrders(plan, nowMs, out);
        reviewRollouts(plan, nowMs, out);
        for (Map.Entry<TargetId, DesiredState> entry : plan.desired().entrySet()) {
            TargetId target = entry.getKey();
            if (inFlight.size() + proposals.size() >= settings.maxOrdersAtOnce()) {
                return;
            }
            if (!matches(target, entry.getValue(), plan) && !isInProgress(target, nowMs)) {
                proposeOrder(target, entry.getValue(), plan, nowMs, out);
            }
        }
    }

    /** Handles a record that has been applied under the claim, which proves that the claim was held at that time. */
    void proposalApplied(long number, long nowMs, Effects out) {
        Proposal proposal = proposals.remove(number);
        if (proposal == null) {
            return;
        }
        FleetPlan plan = plan(nowMs);
        long ageMs = nowMs - proposal.proposedAtMs;
        Optional<String> objection = ageMs > settings.claimFreshMs()
                ? Optional.of("the proof of the claim is " + ageMs + " ms old")
                : objection(proposal.target, proposal.desired, plan, nowMs);
        OptionalLong epoch = writer.epoch(partition);
        if (objection.isPresent() || epoch.isEmpty()) {
            roleUncertain.add(proposal.target);
            guard.orderFailed(proposal.target);
            explain(proposal.target, "order dropped", objection.orElse("the claim is lost"), nowMs, out);
            return;
        }
        send(proposal, epoch.getAsLong(), nowMs, out);
    }

    /** Handles the end of an order; returns whether the order belongs to this region. */
    boolean orderEnded(TargetId target, long orderNumber, OrderOutcome outcome, long nowMs, Effects out) {
        Optional<InFlightOrders.Order> order = inFlight.find(target, orderNumber);
        if (order.isEmpty()) {
            return false;
        }
        metrics.counter("fleet.orders-" + outcome.name().toLowerCase(Locale.ROOT))
                .inc();
        switch (outcome) {
            case DONE -> {
                roleUncertain.remove(target);
                inFlight.acknowledged(target, nowMs);
                explain(target, "order done", describe(order.get().desired()), nowMs, out);
            }
            case UNKNOWN -> {
                roleUncertain.add(target);
                explain(
                        target,
                        "order unacknowledged",
                        "waits for the target's report, as the order may have taken effect",
                        nowMs,
                        out);
            }
            default -> {
                roleUncertain.add(target);
                inFlight.failed(target, nowMs);
                guard.orderFailed(target);
                explain(
                        target,
                        "order " + outcome.name().toLowerCase(Locale.ROOT),
                        "will be retried after a pause",
                        nowMs,
                        out);
            }
        }
        return true;
    }

    void dump(StateWriter writer, long nowMs) {
        FleetPlan plan = plan(nowMs);
        writer.table("targets." + partition, "target", "loaded", "desired", "role", "state");
        plan.desired()
                .forEach((target, desired) -> writer.row(
                        target,
                        plan.report(target)
                                .map(TargetReport::loaded)
                                .map(TreeSet::new)
                                .orElseThrow(),
                        new TreeSet<>(desired.loaded()),
                        desired.role(),
                        stateOf(target, desired, plan, nowMs)));
        writer.table("haltedRollouts." + partition, "service", "version", "reason");
        state.halted().values().forEach(rollout -> writer.row(rollout.service(), rollout.version(), rollout.reason()));
    }

    private FleetPlan plan(long nowMs) {
        return FleetPlan.of(targets.inRegion(partition.region()), config, settings.reportStaleMs(), nowMs);
    }

    private void confirmOrders(FleetPlan plan, long nowMs, Effects out) {
        for (Map.Entry<TargetId, InFlightOrders.Order> entry : new TreeMap<>(inFlight.open()).entrySet()) {
            InFlightOrders.Order order = entry.getValue();
            boolean confirmed = plan.report(entry.getKey())
                    .filter(report -> report.measuredAtMs() >= order.sentAtMs())
                    .filter(report -> report.loaded().equals(order.desired().loaded()))
                    .isPresent();
            if (confirmed) {
                inFlight.confirmed(entry.getKey());
                guard.orderConfirmed(entry.getKey(), plan, nowMs);
            }
        }
        for (TargetId target : inFlight.overdue(nowMs)) {
            inFlight.failed(target, nowMs);
            guard.orderFailed(target);
            explain(target, "order overdue", "the target's report does not show the ordered state", nowMs, out);
        }
    }

    private void reviewRollouts(FleetPlan plan, long nowMs, Effects out) {
        for (FleetRecord.RolloutHalted failed : guard.review(plan, nowMs)) {
            haltProposed.add(failed.service());
            writer.propose(partition, durable(failed), true, nowMs, out);
            out.add(new Effect.StateChanged(
                    FleetStateMachine.NAME,
                    "roll-out of " + failed.service() + " " + failed.version() + " halted: " + failed.reason()));
        }
        for (FleetRecord.RolloutHalted halted : List.copyOf(state.halted().values())) {
            haltProposed.remove(halted.service());
            ServicePolicy policy = plan.managed().get(halted.service());
            if (policy != null && !policy.version().equals(halted.version())) {
                writer.propose(partition, durable(new FleetRecord.RolloutCleared(halted.service())), false, nowMs, out);
            }
        }
    }

    private void proposeOrder(TargetId target, DesiredState desired, FleetPlan plan, long nowMs, Effects out) {
        Optional<String> objection = objection(target, desired, plan, nowMs);
        if (objection.isPresent()) {
            explain(target, "order deferred", objection.get(), nowMs, out);
            return;
        }
        plan.introduced(target, desired).forEach(service -> guard.ordered(service, target, plan));
        long number =
                writer.propose(partition, durable(new FleetRecord.OrderIntended(target, desired)), true, nowMs, out);
        proposals.put(number, new Proposal(target, desired, nowMs));
    }

    private Optional<String> objection(TargetId target, DesiredState desired, FleetPlan plan, long nowMs) {
        boolean settling = nowMs - gainedAtMs < settings.settleMs();
        if (settling && !config.target(target).checksFencing()) {
            return Optional.of(
                    "the target ignores fencing numbers, so the orders of the previous claim holder must time out first");
        }
        for (ServiceName service : plan.disrupted(target, desired)) {
            long others = plan.serving(service).stream()
                    .filter(other -> !other.equals(target) && !isDisrupting(other, service, plan))
                    .count();
            long needed = Math.max(
                    1,
                    Math.min(
                                    plan.managed().get(service).replicas(),
                                    plan.serving(service).size())
                            - 1);
            if (others < needed) {
                return Optional.of(
                        "only " + others + " other targets have " + service + " loaded, " + needed + " must keep it");
            }
        }
        for (ServiceName service : plan.introduced(target, desired)) {
            Optional<String> objection = haltProposed.contains(service)
                    ? Optional.of("roll-out of " + service + " is being halted")
                    : guard.objection(service, target, plan, state);
            if (objection.isPresent()) {
                return objection;
            }
        }
        return Optional.empty();
    }

    private boolean isDisrupting(TargetId other, ServiceName service, FleetPlan plan) {
        InFlightOrders.Order order = inFlight.open().get(other);
        if (order != null && plan.disrupted(other, order.desired()).contains(service)) {
            return true;
        }
        return proposals.values().stream()
                .anyMatch(proposal -> proposal.target.equals(other)
                        && plan.disrupted(other, proposal.desired).contains(service));
    }

    private void send(Proposal proposal, long epoch, long nowMs, Effects out) {
        TargetId target = proposal.target;
        long orderNumber = nextOrderNumber++;
        TargetOrder order = new TargetOrder(proposal.desired.role(), proposal.desired.loaded(), epoch);
        String address = targets.find(target).orElseThrow().entry().address();
        inFlight.sent(target, orderNumber, proposal.desired, nowMs);
        metrics.counter("fleet.orders-sent").inc();
        out.add(new Effect.Order(target, address, orderNumber, order));
        explain(target, "order", describe(proposal.desired) + " under claim " + epoch, nowMs, out);
    }

    private boolean matches(TargetId target, DesiredState desired, FleetPlan plan) {
        boolean loaded = plan.report(target)
                .filter(report -> report.loaded().equals(desired.loaded()))
                .isPresent();
        String role = state.lastOrder(target).map(DesiredState::role).orElse(DEFAULT_ROLE);
        return loaded && role.equals(desired.role()) && !(roleUncertain.contains(target) && !role.equals(DEFAULT_ROLE));
    }

    private boolean isInProgress(TargetId target, long nowMs) {
        return inFlight.isBusy(target, nowMs) || isProposed(target);
    }

    private boolean isProposed(TargetId target) {
        return proposals.values().stream().anyMatch(proposal -> proposal.target.equals(target));
    }

    private String stateOf(TargetId target, DesiredState desired, FleetPlan plan, long nowMs) {
        if (matches(target, desired, plan)) {
            return "as desired";
        }
        if (inFlight.open().containsKey(target)) {
            return "ordered";
        }
        return objection(target, desired, plan, nowMs).orElse("due");
    }

    private DurableRecord durable(FleetRecord record) {
        return new DurableRecord(FleetStateMachine.NAME, record.encode());
    }

    private void explain(TargetId target, String decision, String reason, long nowMs, Effects out) {
        String text = decision + ": " + reason;
        if (!text.equals(lastExplanations.put(target, text))) {
            out.explain(Subject.Kind.TARGET, target, nowMs, decision, reason);
        }
    }

    private static String describe(DesiredState desired) {
        return "role " + desired.role() + ", loaded " + new TreeSet<>(desired.loaded());
    }

    /** The claim under which a region is reconciled: the ownership of the region's fleet partition. */
    record Claim(PartitionId partition, FleetState state, long gainedAtMs) {}

    private record Proposal(TargetId target, DesiredState desired, long proposedAtMs) {}
}
