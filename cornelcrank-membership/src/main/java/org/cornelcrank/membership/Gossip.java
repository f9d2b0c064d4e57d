package org.cornelcrank.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.TimerKey;

/**
 * Spreads updates within the data centre: to a few random members shortly after they arrive, and with every probe.
 *
 * <p>Membership changes and lasting facts take precedence over short-lived facts, which are renewed frequently, so that
 * the loss of one does little harm.
 *
 * <p>Invariant: each of the two groups stays within its own byte rate, so that many short-lived facts delay neither
 * refutations nor leave announcements. Not thread-safe: confined to the daemon's event loop.
 */
final class Gossip {

    static final TimerKey TIMER = new TimerKey(MembershipStateMachine.NAME, "gossip");

    private static final int DATAGRAM_OVERHEAD_BYTES = 40;

    private static final int SHORT_LIVED_FACT_SENDS = 3;

    /** A suspicion need not reach all members: it is sent to the suspect directly, and its outcome is fully spread. */
    private static final int SUSPICION_SENDS = 3;

    private final MemberRegistry registry;
    private final FactTable facts;
    private final GossipUpdateQueue lasting;
    private final GossipUpdateQueue shortLived;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final ByteBudget lastingBudget;
    private final ByteBudget shortLivedBudget;
    private boolean scheduled;
    private long scheduledAtMs;

    Gossip(
            MemberRegistry registry,
            FactTable facts,
            MembershipSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.registry = registry;
        this.facts = facts;
        this.lasting = new GossipUpdateQueue(registry, facts);
        this.shortLived = new GossipUpdateQueue(registry, facts);
        this.settings = settings;
        this.random = random;
        this.metrics = metrics;
        this.lastingBudget = new ByteBudget(settings.lastingBytesPerSecond());
        this.shortLivedBudget = new ByteBudget(settings.shortLivedBytesPerSecond());
    }

    void memberChanged(Member member, long nowMs, Effects out) {
        boolean isSettled = member.state() != MemberState.SUSPECT;
        lasting.add(member.host(), isSettled ? sendsPerUpdate() : SUSPICION_SENDS);
        scheduleSoon(nowMs, out);
    }

    void factChanged(FactKey fact, long nowMs, Effects out) {
        if (facts.isLasting(fact, nowMs)) {
            lasting.add(fact, sendsPerUpdate());
        } else {
            shortLived.add(fact, SHORT_LIVED_FACT_SENDS);
        }
        scheduleSoon(nowMs, out);
    }

    /** Returns updates to piggyback on a probe or its acknowledgement. */
    GossipUpdates piggyback(long nowMs) {
        return take(MessageSizes.MAX_PROBE_UPDATES_BYTES, nowMs);
    }

    /** Sends queued updates to a few random members, and reschedules itself if some remain. */
    void flush(long nowMs, Effects out) {
        scheduled = false;
        List<Member> peers = pickRandom(registry.localPeers(), settings.gossipFanout(), random);
        if (peers.isEmpty()) {
            lasting.clear();
            shortLived.clear();
            return;
        }
        for (Member peer : peers) {
            GossipUpdates updates = take(MessageSizes.MAX_DATAGRAM_UPDATES_BYTES, nowMs);
            if (!updates.isEmpty()) {
                metrics.counter("membership.gossip-sent").inc();
                out.sendDatagram(peer.host(), new MembershipMessage.Gossip(updates));
            }
        }
        if (queued() > 0) {
            schedule(roundAtMs(nowMs + settings.gossipIntervalMs(), nowMs), out);
        }
    }

    int queued() {
        return lasting.size() + shortLived.size();
    }

    long lastingBudgetBytes(long nowMs) {
        return lastingBudget.availableBytes(nowMs);
    }

    long shortLivedBudgetBytes(long nowMs) {
        return shortLivedBudget.availableBytes(nowMs);
    }

    /** Returns up to the given number of random candidates. */
    static <T> List<T> pickRandom(List<T> candidates, int limit, RandomGenerator random) {
        List<T> shuffled = new ArrayList<>(candidates);
        int picked = Math.min(limit, shuffled.size());
        for (int i = 0; i < picked; i++) {
            Collections.swap(shuffled, i, i + random.nextInt(shuffled.size() - i));
        }
        return shuffled.subList(0, picked);
    }

    private GossipUpdates take(int maxBytes, long nowMs) {
        GossipUpdates first = take(lasting, lastingBudget, maxBytes, nowMs);
        return first.and(take(shortLived, shortLivedBudget, maxBytes - first.maxBytes(), nowMs));
    }

    private static GossipUpdates take(GossipUpdateQueue queue, ByteBudget budget, int maxBytes, long nowMs) {
        if (queue.isEmpty() || !budget.allows(nowMs)) {
            return GossipUpdates.NONE;
        }
        GossipUpdates updates = queue.take(maxBytes, nowMs);
        if (!updates.isEmpty()) {
            budget.spend(DATAGRAM_OVERHEAD_BYTES + updates.maxBytes());
        }
        return updates;
    }

    private void scheduleSoon(long nowMs, Effects out) {
        long intervalMs = settings.gossipIntervalMs();
        long nextMs = scheduled
                ? scheduledAtMs - (scheduledAtMs - nowMs) / intervalMs * intervalMs
                : nowMs + settings.gossipDelayMs();
        long dueAtMs = roundAtMs(nextMs, nowMs);
        if (!scheduled || dueAtMs < scheduledAtMs) {
            schedule(dueAtMs, out);
        }
    }

    /** Returns the first of the rounds at regular intervals from {@code nextMs} on in which a message may be sent. */
    private long roundAtMs(long nextMs, long nowMs) {
        long lastingAtMs = lasting.isEmpty() ? Long.MAX_VALUE : lastingBudget.allowsAtMs(nowMs);
        long shortLivedAtMs = shortLived.isEmpty() ? Long.MAX_VALUE : shortLivedBudget.allowsAtMs(nowMs);
        long waitMs = Math.max(0, Math.min(lastingAtMs, shortLivedAtMs) - nextMs);
        long intervalMs = settings.gossipIntervalMs();
        return nextMs + (waitMs + intervalMs - 1) / intervalMs * intervalMs;
    }

    private void schedule(long dueAtMs, Effects out) {
        scheduled = true;
        scheduledAtMs = dueAtMs;
        out.schedule(TIMER, dueAtMs);
    }

    /** Grows with the logarithm of the data centre's size, so that only a few members in a thousand miss an update. */
    private int sendsPerUpdate() {
        int members = registry.localPeers().size() + 1;
        return 2 + Integer.SIZE - Integer.numberOfLeadingZeros(members);
    }
}
