package org.cornelcrank.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;

/**
 * Queues recently changed members and facts, each with the number of times that it remains to be sent.
 *
 * <p>Entries are keys; the state is read when it is sent, so that a later change replaces an earlier one without losing
 * its position in the queue. Not thread-safe: confined to the daemon's event loop.
 */
final class GossipUpdateQueue {

    /** Smaller than any update; a message with less remaining space is full. */
    private static final int MIN_UPDATE_BYTES = 40;

    private final MemberRegistry registry;
    private final FactTable facts;
    private final Map<Comparable<?>, Integer> remainingSends = new LinkedHashMap<>();

    GossipUpdateQueue(MemberRegistry registry, FactTable facts) {
        this.registry = registry;
        this.facts = facts;
    }

    void add(HostId host, int sends) {
        remainingSends.put(host, sends);
    }

    void add(FactKey fact, int sends) {
        remainingSends.put(fact, sends);
    }

    boolean isEmpty() {
        return remainingSends.isEmpty();
    }

    int size() {
        return remainingSends.size();
    }

    void clear() {
        remainingSends.clear();
    }

    /** Returns queued updates of at most the given size and counts each of them as sent once. */
    GossipUpdates take(int maxBytes, long nowMs) {
        if (remainingSends.isEmpty()) {
            return GossipUpdates.NONE;
        }
        List<Member> members = new ArrayList<>();
        List<Fact> carriedFacts = new ArrayList<>();
        int remainingBytes = maxBytes;
        for (Comparable<?> key : List.copyOf(remainingSends.keySet())) {
            remainingBytes -= key instanceof HostId host
                    ? takeMember(host, remainingBytes, members)
                    : takeFact((FactKey) key, remainingBytes, carriedFacts, nowMs);
            if (remainingBytes < MIN_UPDATE_BYTES) {
                break;
            }
        }
        return new GossipUpdates(members, carriedFacts);
    }

    private int takeMember(HostId host, int remainingBytes, List<Member> members) {
        Optional<Member> member = registry.lastKnown(host);
        if (member.isEmpty()) {
            remainingSends.remove(host);
            return 0;
        }
        int size = MessageSizes.of(member.get());
        if (size > remainingBytes) {
            return 0;
        }
        members.add(member.get());
        countSent(host);
        return size;
    }

    private int takeFact(FactKey key, int remainingBytes, List<Fact> carriedFacts, long nowMs) {
        Optional<Fact> fact = facts.find(key, nowMs);
        if (fact.isEmpty()) {
            remainingSends.remove(key);
            return 0;
        }
        int size = MessageSizes.of(fact.get());
        if (size > remainingBytes) {
            return 0;
        }
        carriedFacts.add(fact.get());
        countSent(key);
        return size;
    }

    private void countSent(Comparable<?> key) {
        int remaining = remainingSends.remove(key) - 1;
        if (remaining > 0) {
            remainingSends.put(key, remaining);
        }
    }
}
