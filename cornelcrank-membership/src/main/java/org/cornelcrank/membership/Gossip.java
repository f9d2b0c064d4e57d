package org.cornelcrank.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.TimerKey;

/**
 * Spreads news within the data centre: soon after it is learnt to a few random members, and with every probe.
 *
 * <p>Invariant: what it sends on its own stays within a budget of bytes a second; more waits for probes and the next
 * round. Not thread-safe: confined to the daemon's event loop.
 */
final class Gossip {

    static final TimerKey TIMER = new TimerKey(MembershipDuty.NAME, "gossip");

    private static final int DATAGRAM_OVERHEAD_BYTES = 40;

    private final MemberRegistry registry;
    private final NewsQueue queue;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final ByteBudget budget;
    private boolean scheduled;

    Gossip(
            MemberRegistry registry,
            FactTable facts,
            MembershipSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.registry = registry;
        this.queue = new NewsQueue(registry, facts);
        this.settings = settings;
        this.random = random;
        this.metrics = metrics;
        this.budget = new ByteBudget(settings.gossipBytesPerSecond());
    }

    void memberChanged(Member member, long nowMs, Effects out) {
        queue.add(member.host(), sendsOfEachNews());
        scheduleSoon(nowMs, out);
    }

    void factChanged(FactKey fact, long nowMs, Effects out) {
        queue.add(fact, sendsOfEachNews());
        scheduleSoon(nowMs, out);
    }

    /** Returns news to go with a probe or its answer. */
    News piggyback(long nowMs) {
        return queue.take(MessageSizes.MAX_PROBE_NEWS_BYTES, nowMs);
    }

    /** Sends what is queued to a few random members, and comes back later for what is left. */
    void flush(long nowMs, Effects out) {
        scheduled = false;
        List<Member> peers = pickRandom(registry.localPeers(), settings.gossipFanout(), random);
        if (peers.isEmpty()) {
            queue.clear();
            return;
        }
        for (Member peer : peers) {
            if (!queue.isEmpty() && budget.allows(nowMs)) {
                sendTo(peer, nowMs, out);
            }
        }
        if (!queue.isEmpty()) {
            schedule(nowMs + settings.gossipIntervalMs(), out);
        }
    }

    int queued() {
        return queue.size();
    }

    long budgetBytes(long nowMs) {
        return budget.availableBytes(nowMs);
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

    private void sendTo(Member peer, long nowMs, Effects out) {
        News news = queue.take(MessageSizes.MAX_DATAGRAM_NEWS_BYTES, nowMs);
        if (news.isEmpty()) {
            return;
        }
        int bytes = DATAGRAM_OVERHEAD_BYTES
                + news.members().stream().mapToInt(MessageSizes::of).sum()
                + news.facts().stream().mapToInt(MessageSizes::of).sum();
        budget.spend(bytes);
        metrics.counter("membership.gossip-sent").inc();
        out.sendDatagram(peer.host(), new MembershipMessage.Gossip(news));
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
    private int sendsOfEachNews() {
        int members = registry.localPeers().size() + 1;
        return 2 + Integer.SIZE - Integer.numberOfLeadingZeros(members);
    }
}
