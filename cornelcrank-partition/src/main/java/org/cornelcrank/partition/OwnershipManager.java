package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StreamName;
import org.cornelcrank.core.Subject;

/**
 * Decides which partitions this daemon reads, claims and hands over.
 *
 * <p>Safety does not depend on these decisions, since the epochs fence stale owners: an unnecessary claim only costs a
 * change of owner. A partition is claimed only by the member to which rendezvous hashing assigns it or to which its
 * owner offers it, and only if the owner is considered dead, no longer owns it, or agrees. Not thread-safe: confined to
 * the daemon's event loop.
 */
final class OwnershipManager implements LocalPartition.Listener {

    /** Lifetime of a hint that was read from the stream or confirmed by the owner. */
    private static final long HINT_LIFETIME_MS = 60_000;

    /** Lifetime of a hint that the owner has not confirmed. */
    private static final long UNCONFIRMED_HINT_LIFETIME_MS = 10_000;

    private static final int MAX_QUERIES = 3;
    private static final long QUERY_TIMEOUT_MS = 1_000;
    private static final long DEATH_WINDOW_MS = 5_000;
    private static final long UNREADABLE_RETRY_MS = 60_000;

    private final PartitionContext context;
    private final OwnershipSettings settings;
    private final OwnershipPlanner planner;
    private final OwnerHints hints;
    private final BodyReader bodyReader;
    private final OwnershipListener listener;
    private final ClaimRateLimiter claimRateLimiter;
    private final HandoverCoordinator handoverCoordinator;
    private final Map<PartitionId, LocalPartition> localPartitions = new TreeMap<>();
    private final Map<StreamName, LocalPartition> localPartitionsByStream = new TreeMap<>();
    private final Map<PartitionId, Long> unreadableUntilMs = new TreeMap<>();
    private final Map<PartitionId, AppendAllowance> allowances = new TreeMap<>();
    private final List<Long> deathsAtMs = new ArrayList<>();
    private long claimsAllowedAtMs;
    private long lastTickMs;
    private boolean stopping;

    OwnershipManager(
            PartitionContext context,
            OwnershipPlanner planner,
            OwnerHints hints,
            BodyReader bodyReader,
            OwnershipListener listener) {
        this.context = context;
        this.settings = context.settings.ownership();
        this.planner = planner;
        this.hints = hints;
        this.bodyReader = bodyReader;
        this.listener = listener;
        this.claimRateLimiter = new ClaimRateLimiter(context.random);
        this.handoverCoordinator = new HandoverCoordinator(context, planner);
    }

    void started(long nowMs) {
        claimsAllowedAtMs = nowMs + settings.settleMs();
        lastTickMs = nowMs;
        planner.observe(nowMs);
    }

    void tick(long nowMs, Effects out) {
        if (nowMs - lastTickMs > 3 * settings.tickMs()) {
            // This process was paused, so its view of the other members is stale.
            claimsAllowedAtMs = nowMs + settings.settleMs();
        }
        lastTickMs = nowMs;
        evaluate(nowMs, out);
        for (LocalPartition local : List.copyOf(localPartitions.values())) {
            local.appender().allowance().setPartitionCount(planner.totalPartitions(), nowMs);
            local.maintain(nowMs, out);
        }
    }

    void memberChanged(Member before, Member after, long nowMs, Effects out) {
        if (after.state() == MemberState.DEAD) {
            recordDeath(nowMs);
        }
        evaluate(nowMs, out);
    }

    void stopRequested(long nowMs, Effects out) {
        stopping = true;
        planner.excludeSelf();
        evaluate(nowMs, out);
    }

    /** Starts reading a partition that its owner offers, or cannot serve because it cannot reach the log. */
    void offerReceived(HostId owner, PartitionId partition, long epoch, boolean isHandover, long nowMs, Effects out) {
        if (stopping) {
            return;
        }
        LocalPartition local = localPartitions.get(partition);
        if (local == null) {
            local = follow(partition, nowMs, out);
        }
        if (local.role() == LocalPartition.Role.FOLLOWING) {
            local.handover().offerReceived(isHandover ? owner : null, epoch, local.tailing());
        }
    }

    void successorReady(HostId from, PartitionId partition, long epoch, long nowMs, Effects out) {
        find(partition).ifPresent(local -> handoverCoordinator.successorReady(local, from, epoch, nowMs, out));
    }

    void ownershipReplyReceived(HostId from, PartitionId partition, long epoch, boolean owns, long nowMs, Effects out) {
        LocalPartition local = localPartitions.get(partition);
        if (local == null
                || local.role() != LocalPartition.Role.FOLLOWING
                || local.fold().epoch() != epoch) {
            return;
        }
        if (owns) {
            hints.update(partition, from, epoch, nowMs + HINT_LIFETIME_MS);
            stopFollowing(local);
        } else if (local.tailing()) {
            claim(local, "its former owner no longer owns it", nowMs, out);
        }
    }

    /** Stops following a partition whose owner requested a claim, if this daemon cannot read the stream either. */
    void readFailed(LocalPartition local) {
        boolean offered = local.handover().offeredEpoch != PartitionFold.NO_EPOCH;
        if (offered && local.handover().offeredBy == null && local.role() == LocalPartition.Role.FOLLOWING) {
            stopFollowing(local);
        }
    }

    @Override
    public void caughtUp(LocalPartition local, long nowMs, Effects out) {
        if (stopping) {
            stopFollowing(local);
            return;
        }
        PartitionFold fold = local.fold();
        HandoverState handover = local.handover();
        if (fold.ownerHost().isEmpty()) {
            claim(local, "it has no owner", nowMs, out);
        } else if (fold.released()) {
            releaseReached(local, nowMs, out);
        } else if (handover.offeredBy != null) {
            sendReady(local, out);
        } else if (handover.offeredEpoch == fold.epoch()) {
            if (handover.claimConfirmed) {
                claim(local, "its owner cannot reach the log", nowMs, out);
            }
        } else {
            checkOwner(local, new HostId(fold.ownerHost()), nowMs, out);
        }
    }

    @Override
    public void gained(LocalPartition local, long nowMs, Effects out) {
        context.metrics.claimsWon.inc();
        hints.update(local.partition(), context.identity.host(), local.fold().epoch(), Long.MAX_VALUE);
        explain(
                local.partition(),
                "owned",
                "the claim at offset " + local.fold().epoch() + " took effect",
                nowMs,
                out);
        listener.gained(local, nowMs, out);
        if (stopping) {
            evaluate(nowMs, out);
        }
    }

    @Override
    public void lost(LocalPartition local, LocalPartition.Role previous, long nowMs, Effects out) {
        PartitionId partition = local.partition();
        remove(local);
        if (previous == LocalPartition.Role.CLAIMING) {
            context.metrics.claimsLost.inc();
        } else {
            context.metrics.ownershipsLost.inc();
            listener.lost(partition, nowMs, out);
        }
        PartitionFold fold = local.fold();
        if (fold.released()) {
            handedOver(local, nowMs, out);
            return;
        }
        hints.update(partition, new HostId(fold.ownerHost()), fold.epoch(), nowMs + HINT_LIFETIME_MS);
        claimRateLimiter.lost(partition, nowMs);
        explain(partition, "not owned", "the claim of " + fold.ownerHost() + " took effect", nowMs, out);
    }

    @Override
    public void unreadable(
            LocalPartition local, LocalPartition.Role previous, boolean whileTailing, long nowMs, Effects out) {
        PartitionId partition = local.partition();
        remove(local);
        if (previous == LocalPartition.Role.OWNING || previous == LocalPartition.Role.RELEASING) {
            listener.lost(partition, nowMs, out);
        }
        if (whileTailing) {
            explain(partition, "read again", "records expired before this daemon had read them", nowMs, out);
            return;
        }
        context.metrics.partitionsUnreadable.inc();
        unreadableUntilMs.put(partition, nowMs + UNREADABLE_RETRY_MS);
        String text = "partition " + partition
                + " is not served: records that its state needs have expired, and no checkpoint covers them";
        out.add(new Effect.StateChanged(PartitionContext.SLICE, text));
        explain(partition, "not served", text, nowMs, out);
    }

    Optional<LocalPartition> find(PartitionId partition) {
        return Optional.ofNullable(localPartitions.get(partition));
    }

    Optional<LocalPartition> find(StreamName stream) {
        return Optional.ofNullable(localPartitionsByStream.get(stream));
    }

    Collection<LocalPartition> localPartitions() {
        return localPartitions.values();
    }

    void dump(StateWriter writer) {
        writer.table(
                "partitions",
                "partition",
                "role",
                "epoch",
                "owner",
                "nextOffset",
                "pendingRecords",
                "pendingBytes",
                "bytesToRead",
                "offeredTo");
        for (LocalPartition local : localPartitions.values()) {
            writer.row(
                    local.partition(),
                    local.role(),
                    local.fold().epoch(),
                    local.fold().ownerHost(),
                    local.nextOffset(),
                    local.appender().pendingRecords(),
                    local.appender().pendingBytes(),
                    local.replayBytes(),
                    Objects.toString(local.handover().offeredTo, ""));
        }
        writer.table("unreadable", "partition", "untilMs");
        unreadableUntilMs.forEach(writer::row);
    }

    private void evaluate(long nowMs, Effects out) {
        planner.observe(nowMs);
        for (PartitionId partition : planner.candidatePartitions(nowMs)) {
            LocalPartition local = localPartitions.get(partition);
            if (local == null) {
                followIfDue(partition, nowMs, out);
            }
        }
        for (LocalPartition local : List.copyOf(localPartitions.values())) {
            switch (local.role()) {
                case FOLLOWING -> reviewFollower(local, nowMs, out);
                case OWNING -> handoverCoordinator.review(local, stopping, nowMs, out);
                default -> {
                    // A claim or a release that is in progress is left to complete.
                }
            }
        }
    }

    private void followIfDue(PartitionId partition, long nowMs, Effects out) {
        boolean assignedHere = planner.assignedOwner(partition, nowMs)
                .filter(context.identity.host()::equals)
                .isPresent();
        boolean unowned = hints.find(partition, nowMs)
                .filter(hint -> planner.isAlive(hint.host()) && !hint.host().equals(context.identity.host()))
                .isEmpty();
        boolean readable = nowMs >= unreadableUntilMs.getOrDefault(partition, Long.MIN_VALUE);
        if (assignedHere
                && unowned
                && readable
                && nowMs >= claimsAllowedAtMs
                && !stopping
                && claimRateLimiter.allows(partition, nowMs)) {
            follow(partition, nowMs, out);
        }
    }

    private LocalPartition follow(PartitionId partition, long nowMs, Effects out) {
        AppendAllowance allowance =
                allowances.computeIfAbsent(partition, id -> new AppendAllowance(context.settings.append(), nowMs));
        allowance.setPartitionCount(planner.totalPartitions(), nowMs);
        LocalPartition local = new LocalPartition(context, partition, this, allowance, bodyReader, nowMs);
        localPartitions.put(partition, local);
        localPartitionsByStream.put(partition.stream(), local);
        localPartitionsByStream.put(PartitionStreamReader.pointerStream(partition), local);
        local.start(nowMs, out);
        return local;
    }

    private void reviewFollower(LocalPartition local, long nowMs, Effects out) {
        boolean offered = local.handover().offeredEpoch != PartitionFold.NO_EPOCH;
        boolean assignedHere = planner.assignedOwner(local.partition(), nowMs)
                .filter(context.identity.host()::equals)
                .isPresent();
        boolean offerExpired = nowMs - local.startedAtMs() > offerLifetimeMs();
        if (stopping || !assignedHere && (!offered || offerExpired)) {
            stopFollowing(local);
        } else if (local.tailing()) {
            if (offerExpired) {
                local.handover().clearOffer();
            }
            caughtUp(local, nowMs, out);
        }
    }

    private long offerLifetimeMs() {
        return 3 * settings.handOverTimeoutMs() + settings.cutOffAfterMs();
    }

    private void releaseReached(LocalPartition local, long nowMs, Effects out) {
        String successor = local.fold().successor();
        boolean awaitingSuccessor = !successor.isEmpty()
                && !successor.equals(context.identity.host().value())
                && planner.acceptsWork(new HostId(successor))
                && nowMs - local.startedAtMs() <= QUERY_TIMEOUT_MS * MAX_QUERIES;
        if (!awaitingSuccessor) {
            claim(local, "its owner released it", nowMs, out);
        }
    }

    private void sendReady(LocalPartition local, Effects out) {
        HandoverState handover = local.handover();
        if (!handover.readySent && handover.offeredEpoch == local.fold().epoch()) {
            handover.readySent = true;
            out.send(
                    handover.offeredBy,
                    new PartitionMessage.HandoverReady(
                            local.partition(), local.fold().epoch()));
        }
    }

    private void checkOwner(LocalPartition local, HostId owner, long nowMs, Effects out) {
        if (owner.equals(context.identity.host())) {
            claim(local, "an earlier start of this daemon owned it", nowMs, out);
            return;
        }
        if (!planner.isAlive(owner)) {
            claim(local, "its owner " + owner + " is dead", nowMs, out);
            return;
        }
        HandoverState handover = local.handover();
        if (nowMs < handover.nextQueryAtMs) {
            return;
        }
        if (handover.queriesSent >= MAX_QUERIES) {
            hints.update(local.partition(), owner, local.fold().epoch(), nowMs + UNCONFIRMED_HINT_LIFETIME_MS);
            stopFollowing(local);
            return;
        }
        handover.queriesSent++;
        handover.nextQueryAtMs = nowMs + QUERY_TIMEOUT_MS;
        out.send(
                owner,
                new PartitionMessage.OwnershipQuery(
                        local.partition(), local.fold().epoch()));
    }

    private void claim(LocalPartition local, String reason, long nowMs, Effects out) {
        explain(local.partition(), "claim", reason, nowMs, out);
        local.claim(nowMs, out);
    }

    private void handedOver(LocalPartition local, long nowMs, Effects out) {
        context.metrics.handovers.inc();
        PartitionId partition = local.partition();
        long epoch = local.fold().epoch();
        String successor = local.fold().successor();
        explain(
                partition,
                "handed over",
                "released to " + (successor.isEmpty() ? "no successor" : successor),
                nowMs,
                out);
        if (!successor.isEmpty()) {
            HostId host = new HostId(successor);
            hints.update(partition, host, epoch, nowMs + UNCONFIRMED_HINT_LIFETIME_MS);
            out.send(host, new PartitionMessage.OwnershipReleased(partition, epoch));
        }
    }

    private void stopFollowing(LocalPartition local) {
        local.stop();
        remove(local);
    }

    private void remove(LocalPartition local) {
        localPartitions.remove(local.partition());
        localPartitionsByStream.remove(local.partition().stream());
        localPartitionsByStream.remove(PartitionStreamReader.pointerStream(local.partition()));
    }

    private void recordDeath(long nowMs) {
        deathsAtMs.removeIf(diedAtMs -> nowMs - diedAtMs > DEATH_WINDOW_MS);
        deathsAtMs.add(nowMs);
        if (deathsAtMs.size() > planner.homeRegionMembers()) {
            // More members died recently than are alive, so this daemon is probably the one that is unreachable.
            claimsAllowedAtMs = Math.max(claimsAllowedAtMs, nowMs + settings.settleMs());
        }
    }

    private void explain(PartitionId partition, String decision, String reason, long nowMs, Effects out) {
        out.explain(Subject.Kind.PARTITION, partition, nowMs, decision, reason);
    }
}
