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
 * Decides which partitions this daemon reads, claims, and hands over.
 *
 * <p>Safety does not rest here: a needless claim costs a hand-over and no more. A partition is claimed only by the
 * member that is its place by hash, and only while its owner is not believed to live, or agrees. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class OwnershipManager implements LocalPartition.Listener {

    /** How long a hint is believed that came from the stream or from an owner's answer. */
    private static final long HINT_LIFETIME_MS = 60_000;

    /** How long a hint is believed that nobody has confirmed. */
    private static final long WEAK_HINT_LIFETIME_MS = 10_000;

    private static final int MAX_QUERIES = 3;
    private static final long QUERY_TIMEOUT_MS = 1_000;
    private static final long DEATHS_COUNTED_MS = 5_000;
    private static final long UNREADABLE_RETRY_MS = 60_000;

    private final PartitionContext context;
    private final OwnershipSettings settings;
    private final OwnershipPlanner planner;
    private final OwnerHints hints;
    private final BodyReader bodies;
    private final OwnershipListener listener;
    private final ClaimRateLimiter brake;
    private final HandOvers handOvers;
    private final Map<PartitionId, LocalPartition> locals = new TreeMap<>();
    private final Map<StreamName, LocalPartition> localsByStream = new TreeMap<>();
    private final Map<PartitionId, Long> unreadableUntilMs = new TreeMap<>();
    private final Map<PartitionId, AppendAllowance> allowances = new TreeMap<>();
    private final List<Long> deathsAtMs = new ArrayList<>();
    private long settledAtMs;
    private long lastTickMs;
    private boolean stopping;

    OwnershipManager(
            PartitionContext context,
            OwnershipPlanner planner,
            OwnerHints hints,
            BodyReader bodies,
            OwnershipListener listener) {
        this.context = context;
        this.settings = context.settings.ownership();
        this.planner = planner;
        this.hints = hints;
        this.bodies = bodies;
        this.listener = listener;
        this.brake = new ClaimRateLimiter(context.random);
        this.handOvers = new HandOvers(context, planner);
    }

    void started(long nowMs) {
        settledAtMs = nowMs + settings.settleMs();
        lastTickMs = nowMs;
        planner.observe(nowMs);
    }

    void tick(long nowMs, Effects out) {
        if (nowMs - lastTickMs > 3 * settings.tickMs()) {
            // This process was paused: what it believes of the others is old.
            settledAtMs = nowMs + settings.settleMs();
        }
        lastTickMs = nowMs;
        evaluate(nowMs, out);
        for (LocalPartition local : List.copyOf(locals.values())) {
            local.appender().allowance().share(planner.partitionsOfSystem(), nowMs);
            local.maintain(nowMs, out);
        }
    }

    void memberChanged(Member before, Member after, long nowMs, Effects out) {
        if (after.state() == MemberState.DEAD) {
            noteDeath(nowMs);
        }
        evaluate(nowMs, out);
    }

    void stopRequested(long nowMs, Effects out) {
        stopping = true;
        planner.stopping();
        evaluate(nowMs, out);
    }

    /** Starts to read a partition that its owner offers, or cannot serve. */
    void invite(HostId owner, PartitionId partition, long epoch, boolean handOver, long nowMs, Effects out) {
        if (stopping) {
            return;
        }
        LocalPartition local = locals.get(partition);
        if (local == null) {
            local = follow(partition, nowMs, out);
        }
        if (local.role() == LocalPartition.Role.FOLLOWING) {
            local.handOver().invited(handOver ? owner : null, epoch, local.tailing());
        }
    }

    void handOverReady(HostId from, PartitionId partition, long epoch, long nowMs, Effects out) {
        find(partition).ifPresent(local -> handOvers.successorReady(local, from, epoch, nowMs, out));
    }

    void ownershipAnswered(HostId from, PartitionId partition, long epoch, boolean owns, long nowMs, Effects out) {
        LocalPartition local = locals.get(partition);
        if (local == null
                || local.role() != LocalPartition.Role.FOLLOWING
                || local.fold().epoch() != epoch) {
            return;
        }
        if (owns) {
            hints.learn(partition, from, epoch, nowMs + HINT_LIFETIME_MS);
            drop(local);
        } else if (local.tailing()) {
            claim(local, "its former owner no longer owns it", nowMs, out);
        }
    }

    /** Stops trying to take over a partition whose stream this daemon cannot read either. */
    void readFailed(LocalPartition local) {
        boolean takesOver = local.handOver().takeOverEpoch != PartitionFold.NO_EPOCH;
        if (takesOver && local.handOver().awaitedFrom == null && local.role() == LocalPartition.Role.FOLLOWING) {
            drop(local);
        }
    }

    @Override
    public void caughtUp(LocalPartition local, long nowMs, Effects out) {
        if (stopping) {
            drop(local);
            return;
        }
        PartitionFold fold = local.fold();
        HandOver handOver = local.handOver();
        if (fold.ownerHost().isEmpty()) {
            claim(local, "nobody owns it", nowMs, out);
        } else if (fold.released()) {
            releasedReached(local, nowMs, out);
        } else if (handOver.awaitedFrom != null) {
            sendReady(local, out);
        } else if (handOver.takeOverEpoch == fold.epoch()) {
            if (handOver.takeOverConfirmed) {
                claim(local, "its owner cannot reach the log", nowMs, out);
            }
        } else {
            judgeOwner(local, new HostId(fold.ownerHost()), nowMs, out);
        }
    }

    @Override
    public void gained(LocalPartition local, long nowMs, Effects out) {
        context.metrics.claimsWon.inc();
        hints.learn(local.partition(), context.identity.host(), local.fold().epoch(), Long.MAX_VALUE);
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
    public void lost(LocalPartition local, LocalPartition.Role before, long nowMs, Effects out) {
        PartitionId partition = local.partition();
        forget(local);
        if (before == LocalPartition.Role.CLAIMING) {
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
        hints.learn(partition, new HostId(fold.ownerHost()), fold.epoch(), nowMs + HINT_LIFETIME_MS);
        brake.lost(partition, nowMs);
        explain(partition, "not owned", "the claim of " + fold.ownerHost() + " took effect", nowMs, out);
    }

    @Override
    public void unreadable(
            LocalPartition local, LocalPartition.Role before, boolean whileTailing, long nowMs, Effects out) {
        PartitionId partition = local.partition();
        forget(local);
        if (before == LocalPartition.Role.OWNING || before == LocalPartition.Role.RELEASING) {
            listener.lost(partition, nowMs, out);
        }
        if (whileTailing) {
            explain(partition, "read anew", "records expired before this daemon had read them", nowMs, out);
            return;
        }
        context.metrics.partitionsUnreadable.inc();
        unreadableUntilMs.put(partition, nowMs + UNREADABLE_RETRY_MS);
        String text = "partition " + partition
                + " is not served: records that its state needs have expired, and there is no checkpoint of them";
        out.add(new Effect.StateChanged(PartitionContext.DUTY, text));
        explain(partition, "not served", text, nowMs, out);
    }

    Optional<LocalPartition> find(PartitionId partition) {
        return Optional.ofNullable(locals.get(partition));
    }

    Optional<LocalPartition> find(StreamName stream) {
        return Optional.ofNullable(localsByStream.get(stream));
    }

    Collection<LocalPartition> locals() {
        return locals.values();
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
        for (LocalPartition local : locals.values()) {
            writer.row(
                    local.partition(),
                    local.role(),
                    local.fold().epoch(),
                    local.fold().ownerHost(),
                    local.nextOffset(),
                    local.appender().pendingRecords(),
                    local.appender().pendingBytes(),
                    local.bytesToRead(),
                    Objects.toString(local.handOver().offeredTo, ""));
        }
        writer.table("unreadable", "partition", "untilMs");
        unreadableUntilMs.forEach(writer::row);
    }

    private void evaluate(long nowMs, Effects out) {
        planner.observe(nowMs);
        for (PartitionId partition : planner.partitions(nowMs)) {
            LocalPartition local = locals.get(partition);
            if (local == null) {
                followIfDue(partition, nowMs, out);
            }
        }
        for (LocalPartition local : List.copyOf(locals.values())) {
            switch (local.role()) {
                case FOLLOWING -> reviewFollower(local, nowMs, out);
                case OWNING -> handOvers.review(local, stopping, nowMs, out);
                default -> {
                    // A claim or a release under way is left to end.
                }
            }
        }
    }

    private void followIfDue(PartitionId partition, long nowMs, Effects out) {
        boolean ours = planner.choice(partition, nowMs)
                .filter(context.identity.host()::equals)
                .isPresent();
        boolean free = hints.find(partition, nowMs)
                .filter(hint -> planner.lives(hint.host()) && !hint.host().equals(context.identity.host()))
                .isEmpty();
        boolean readable = nowMs >= unreadableUntilMs.getOrDefault(partition, Long.MIN_VALUE);
        if (ours && free && readable && nowMs >= settledAtMs && !stopping && brake.allows(partition, nowMs)) {
            follow(partition, nowMs, out);
        }
    }

    private LocalPartition follow(PartitionId partition, long nowMs, Effects out) {
        AppendAllowance allowance =
                allowances.computeIfAbsent(partition, id -> new AppendAllowance(context.settings.append(), nowMs));
        allowance.share(planner.partitionsOfSystem(), nowMs);
        LocalPartition local = new LocalPartition(context, partition, this, allowance, bodies, nowMs);
        locals.put(partition, local);
        localsByStream.put(partition.stream(), local);
        localsByStream.put(PartitionReplica.pointerStream(partition), local);
        local.start(nowMs, out);
        return local;
    }

    private void reviewFollower(LocalPartition local, long nowMs, Effects out) {
        boolean invited = local.handOver().takeOverEpoch != PartitionFold.NO_EPOCH;
        boolean ours = planner.choice(local.partition(), nowMs)
                .filter(context.identity.host()::equals)
                .isPresent();
        boolean invitationLapsed = nowMs - local.startedAtMs() > invitationLifetimeMs();
        if (stopping || !ours && (!invited || invitationLapsed)) {
            drop(local);
        } else if (local.tailing()) {
            if (invitationLapsed) {
                local.handOver().uninvited();
            }
            caughtUp(local, nowMs, out);
        }
    }

    private long invitationLifetimeMs() {
        return 3 * settings.handOverTimeoutMs() + settings.cutOffAfterMs();
    }

    private void releasedReached(LocalPartition local, long nowMs, Effects out) {
        String successor = local.fold().successor();
        boolean awaited = !successor.isEmpty()
                && !successor.equals(context.identity.host().value())
                && planner.acceptsWork(new HostId(successor))
                && nowMs - local.startedAtMs() <= QUERY_TIMEOUT_MS * MAX_QUERIES;
        if (!awaited) {
            claim(local, "its owner released it", nowMs, out);
        }
    }

    private void sendReady(LocalPartition local, Effects out) {
        HandOver handOver = local.handOver();
        if (!handOver.readySent && handOver.takeOverEpoch == local.fold().epoch()) {
            handOver.readySent = true;
            out.send(
                    handOver.awaitedFrom,
                    new PartitionMessage.HandOverReady(
                            local.partition(), local.fold().epoch()));
        }
    }

    private void judgeOwner(LocalPartition local, HostId owner, long nowMs, Effects out) {
        if (owner.equals(context.identity.host())) {
            claim(local, "an earlier start of this daemon owned it", nowMs, out);
            return;
        }
        if (!planner.lives(owner)) {
            claim(local, "its owner " + owner + " is dead", nowMs, out);
            return;
        }
        HandOver handOver = local.handOver();
        if (nowMs < handOver.nextQueryAtMs) {
            return;
        }
        if (handOver.queriesSent >= MAX_QUERIES) {
            hints.learn(local.partition(), owner, local.fold().epoch(), nowMs + WEAK_HINT_LIFETIME_MS);
            drop(local);
            return;
        }
        handOver.queriesSent++;
        handOver.nextQueryAtMs = nowMs + QUERY_TIMEOUT_MS;
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
        context.metrics.handOvers.inc();
        PartitionId partition = local.partition();
        long epoch = local.fold().epoch();
        String successor = local.fold().successor();
        explain(partition, "handed over", "released to " + (successor.isEmpty() ? "nobody" : successor), nowMs, out);
        if (!successor.isEmpty()) {
            HostId host = new HostId(successor);
            hints.learn(partition, host, epoch, nowMs + WEAK_HINT_LIFETIME_MS);
            out.send(host, new PartitionMessage.Released(partition, epoch));
        }
    }

    private void drop(LocalPartition local) {
        local.stop();
        forget(local);
    }

    private void forget(LocalPartition local) {
        locals.remove(local.partition());
        localsByStream.remove(local.partition().stream());
        localsByStream.remove(PartitionReplica.pointerStream(local.partition()));
    }

    private void noteDeath(long nowMs) {
        deathsAtMs.removeIf(diedAtMs -> nowMs - diedAtMs > DEATHS_COUNTED_MS);
        deathsAtMs.add(nowMs);
        if (deathsAtMs.size() > planner.homeMembers()) {
            // More dead than living: more likely this daemon is cut off than the others are gone.
            settledAtMs = Math.max(settledAtMs, nowMs + settings.settleMs());
        }
    }

    private void explain(PartitionId partition, String decision, String reason, long nowMs, Effects out) {
        out.explain(Subject.Kind.PARTITION, partition, nowMs, decision, reason);
    }
}
