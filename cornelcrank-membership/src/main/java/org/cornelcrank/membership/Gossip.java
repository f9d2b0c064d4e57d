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
 * Spreads news within the data centre: soon after it is learnt to a few random members, and with every probe.
 *
 * <p>Changes of members and lasting facts go first; facts that lapse soon are renewed soon, so a lost one does little harm.
 * Invariant: each of the two stays within its own budget of bytes a second, so that many short-lived facts delay neither
 * refutations nor notices of leaving. Not thread-safe: confined to the daemon's event loop.
 */
final class Gossip {

    static final TimerKey TIMER = new TimerKey(MembershipStateMachine.NAME, "gossip");

    private static final int DATAGRAM_OVERHEAD_BYTES = 40;

    private static final int SENDS_OF_SHORT_LIVED = 3;

    /** A suspicion need not reach everybody: the suspect is told directly, and what comes of it is spread in full. */
    private static final int SENDS_OF_SUSPICION = 3;

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
        lasting.add(member.host(), isSettled ? sendsPerUpdate() : SENDS_OF_SUSPICION);
        scheduleSoon(nowMs, out);
    }

    void factChanged(FactKey fact, long nowMs, Effects out) {
        if (facts.isLasting(fact, nowMs)) {
            lasting.add(fact, sendsPerUpdate());
        } else {
            shortLived.add(fact, SENDS_OF_SHORT_LIVED);
        }
        scheduleSoon(nowMs, out);
    }

    /** Returns news to go with a probe or its answer. */
    GossipUpdates piggyback(long nowMs) {
        return take(MessageSizes.MAX_PROBE_NEWS_BYTES, nowMs);
    }

    /** Sends what is queued to a few random members, and comes back later for what is left. */
    void flush(long nowMs, Effects out) {
        scheduled = false;
        List<Member> peers = pickRandom(registry.localPeers(), settings.gossipFanout(), random);
        if (peers.isEmpty()) {
            lasting.clear();
            shortLived.clear();
            return;
        }
        for (Member peer : peers) {
            GossipUpdates news = take(MessageSizes.MAX_DATAGRAM_NEWS_BYTES, nowMs);
            if (!news.isEmpty()) {
                metrics.counter("membership.gossip-sent").inc();
                out.sendDatagram(peer.host(), new MembershipMessage.Gossip(news));
            }
        }
        if (queued() > 0) {
            schedule(nowMs + settings.gossipIntervalMs(), out);
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

    /** Returns so many random ones of the candidates, or all if there are fewer. */
    static <T> List<T> pickRandom(List<T> candidates, int most, RandomGenerator random) {
        List<T> rest = new ArrayList<>(candidates);
        int picked = Math.min(most, rest.size());
        for (int i = 0; i < picked; i++) {
            Collections.swap(rest, i, i + random.nextInt(rest.size() - i));
        }
        return rest.subList(0, picked);
    }

    private GossipUpdates take(int maxBytes, long nowMs) {
        GossipUpdates first = take(lasting, lastingBudget, maxBytes, nowMs);
        return first.and(take(shortLived, shortLivedBudget, maxBytes - first.maxBytes(), nowMs));
    }

    private static GossipUpdates take(GossipUpdateQueue queue, ByteBudget budget, int maxBytes, long nowMs) {
        if (queue.isEmpty() || !budget.allows(nowMs)) {
            return GossipUpdates.NONE;
        }
        GossipUpdates news = queue.take(maxBytes, nowMs);
        if (!news.isEmpty()) {
            budget.spend(DATAGRAM_OVERHEAD_BYTES + news.maxBytes());
        }
        return news;
    }

    private void scheduleSoon(long nowMs, Effects out) {
        if (!scheduled) {
            schedule(nowMs + settings.gossipDelayMs(), out);
        }
    }

    private void schedule(long dueAtMs, Effects out) {
        scheduled = true;
        out.schedule(TIMER, dueAtMs);
    }

    /** Grows with the logarithm of the data centre's size, by which all but a few in a thousand members get it. */
    private int sendsPerUpdate() {
        int members = registry.localPeers().size() + 1;
        return 2 + Integer.SIZE - Integer.numberOfLeadingZeros(members);
    }
}
