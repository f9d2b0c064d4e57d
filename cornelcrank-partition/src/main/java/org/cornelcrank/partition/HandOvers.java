package org.cornelcrank.partition;

import java.util.Optional;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;

/**
 * Hands the partitions that this daemon owns to others: at a planned stop, to rebalance, or when it is cut off.
 *
 * <p>An owner releases a partition only once the successor has read all of it, or when it must stop and the successor
 * takes too long. Not thread-safe: confined to the daemon's event loop.
 */
final class HandOvers {

    private final PartitionContext context;
    private final OwnershipSettings settings;
    private final OwnershipPlanner planner;

    HandOvers(PartitionContext context, OwnershipPlanner planner) {
        this.context = context;
        this.settings = context.settings.ownership();
        this.planner = planner;
    }

    /** Offers an owned partition to another daemon, or releases it, if that is due. */
    void review(LocalPartition local, boolean stopping, long nowMs, Effects out) {
        HandOver handOver = local.handOver();
        if (handOver.offeredTo != null) {
            reviewOffer(local, stopping, nowMs, out);
            return;
        }
        requestTakeOverIfCutOff(local, nowMs, out);
        Optional<HostId> choice = planner.choice(local.partition(), nowMs);
        if (choice.isEmpty() && stopping) {
            local.release(Optional.empty(), nowMs, out);
            return;
        }
        if (choice.isEmpty() || choice.get().equals(context.identity.host())) {
            handOver.noLongerMisplaced();
            return;
        }
        if (!handOver.misplaced()) {
            handOver.misplacedSinceMs = nowMs;
        }
        if (stopping || nowMs - handOver.misplacedSinceMs >= settings.rebalanceAfterMs()) {
            offer(local, choice.get(), nowMs, out);
        }
    }

    /** The daemon to which a partition was offered has read all of it. */
    void successorReady(LocalPartition local, HostId successor, long epoch, long nowMs, Effects out) {
        boolean offered = local.role() == LocalPartition.Role.OWNING
                && local.fold().epoch() == epoch
                && successor.equals(local.handOver().offeredTo);
        if (offered) {
            local.release(Optional.of(successor), nowMs, out);
        }
    }

    private void offer(LocalPartition local, HostId successor, long nowMs, Effects out) {
        local.handOver().offeredTo = successor;
        local.handOver().offerEndsAtMs = nowMs + settings.handOverTimeoutMs();
        out.send(
                successor,
                new PartitionMessage.HandOverOffer(
                        local.partition(), local.fold().epoch()));
    }

    private void reviewOffer(LocalPartition local, boolean stopping, long nowMs, Effects out) {
        HandOver handOver = local.handOver();
        if (nowMs < handOver.offerEndsAtMs) {
            return;
        }
        if (stopping) {
            local.release(planner.choice(local.partition(), nowMs), nowMs, out);
            return;
        }
        handOver.offeredTo = null;
        handOver.noLongerMisplaced();
    }

    private void requestTakeOverIfCutOff(LocalPartition local, long nowMs, Effects out) {
        HandOver handOver = local.handOver();
        if (context.log.silentForMs(nowMs) < settings.cutOffAfterMs() || nowMs < handOver.nextQueryAtMs) {
            return;
        }
        // The second request, which confirms the first, must come before the other gives up waiting for it.
        handOver.nextQueryAtMs = nowMs + settings.cutOffAfterMs() / 2;
        planner.choiceElsewhere(local.partition())
                .ifPresent(host -> out.send(
                        host,
                        new PartitionMessage.TakeOverRequest(
                                local.partition(), local.fold().epoch())));
    }
}
