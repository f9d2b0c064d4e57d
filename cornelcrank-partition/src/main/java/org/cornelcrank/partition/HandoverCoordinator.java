package org.cornelcrank.partition;

import java.util.Optional;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;

/**
 * Hands partitions that this daemon owns over to others: at a planned stop, to rebalance, or when it cannot reach the
 * log.
 *
 * <p>An owner releases a partition only after the successor has read all of it, or if it has to stop and the successor
 * did not get ready in time. Not thread-safe: confined to the daemon's event loop.
 */
final class HandoverCoordinator {

    private final PartitionContext context;
    private final OwnershipSettings settings;
    private final OwnershipPlanner planner;

    HandoverCoordinator(PartitionContext context, OwnershipPlanner planner) {
        this.context = context;
        this.settings = context.settings.ownership();
        this.planner = planner;
    }

    /** Offers an owned partition to another daemon or releases it, if that is due. */
    void review(LocalPartition local, boolean stopping, long nowMs, Effects out) {
        HandoverState handover = local.handover();
        if (handover.offeredTo != null) {
            reviewOffer(local, stopping, nowMs, out);
            return;
        }
        requestClaimIfLogUnreachable(local, nowMs, out);
        Optional<HostId> assigned = planner.assignedOwner(local.partition(), nowMs);
        if (assigned.isEmpty() && stopping) {
            local.release(Optional.empty(), nowMs, out);
            return;
        }
        if (assigned.isEmpty() || assigned.get().equals(context.identity.host())) {
            handover.clearMisplaced();
            return;
        }
        if (!handover.isMisplaced()) {
            handover.misplacedSinceMs = nowMs;
        }
        if (stopping || nowMs - handover.misplacedSinceMs >= settings.rebalanceAfterMs()) {
            offer(local, assigned.get(), nowMs, out);
        }
    }

    /** Releases a partition if the daemon to which it was offered has read all of it. */
    void successorReady(LocalPartition local, HostId successor, long epoch, long nowMs, Effects out) {
        boolean offered = local.role() == LocalPartition.Role.OWNING
                && local.fold().epoch() == epoch
                && successor.equals(local.handover().offeredTo);
        if (offered) {
            local.release(Optional.of(successor), nowMs, out);
        }
    }

    private void offer(LocalPartition local, HostId successor, long nowMs, Effects out) {
        local.handover().offeredTo = successor;
        local.handover().offerEndsAtMs = nowMs + settings.handOverTimeoutMs();
        out.send(
                successor,
                new PartitionMessage.HandoverOffer(
                        local.partition(), local.fold().epoch()));
    }

    private void reviewOffer(LocalPartition local, boolean stopping, long nowMs, Effects out) {
        HandoverState handover = local.handover();
        if (nowMs < handover.offerEndsAtMs) {
            return;
        }
        if (stopping) {
            local.release(planner.assignedOwner(local.partition(), nowMs), nowMs, out);
            return;
        }
        handover.offeredTo = null;
        handover.clearMisplaced();
    }

    private void requestClaimIfLogUnreachable(LocalPartition local, long nowMs, Effects out) {
        HandoverState handover = local.handover();
        if (context.logHealth.unavailableForMs(nowMs) < settings.cutOffAfterMs() || nowMs < handover.nextQueryAtMs) {
            return;
        }
        // The second request confirms the first, so it must arrive before the first one expires at the receiver.
        handover.nextQueryAtMs = nowMs + settings.cutOffAfterMs() / 2;
        planner.alternativeOwner(local.partition())
                .ifPresent(host -> out.send(
                        host,
                        new PartitionMessage.ClaimRequest(
                                local.partition(), local.fold().epoch())));
    }
}
