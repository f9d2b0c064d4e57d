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
 * Holds what changed lately and how often it is still to be sent.
 *
 * <p>Entries name members and facts; what is sent is their state at that time, so that a later change replaces an earlier
 * one without losing its turn. Not thread-safe: confined to the daemon's event loop.
 */
final class GossipUpdateQueue {

    /** With less room than this, a message takes no further news, in bytes. */
    private static final int SMALLEST_NEWS_BYTES = 40;

    private final MemberRegistry registry;
    private final FactTable facts;
    private final Map<Comparable<?>, Integer> sendsLeft = new LinkedHashMap<>();

    GossipUpdateQueue(MemberRegistry registry, FactTable facts) {
        this.registry = registry;
        this.facts = facts;
    }

    void add(HostId host, int sends) {
        sendsLeft.put(host, sends);
    }

    void add(FactKey fact, int sends) {
        sendsLeft.put(fact, sends);
    }

    boolean isEmpty() {
        return sendsLeft.isEmpty();
    }

    int size() {
        return sendsLeft.size();
    }

    void clear() {
        sendsLeft.clear();
    }

    /** Takes news of at most so many bytes, and counts them as sent once more. */
    GossipUpdates take(int maxBytes, long nowMs) {
        if (sendsLeft.isEmpty()) {
            return GossipUpdates.NONE;
        }
        List<Member> members = new ArrayList<>();
        List<Fact> carriedFacts = new ArrayList<>();
        int room = maxBytes;
        for (Comparable<?> key : List.copyOf(sendsLeft.keySet())) {
            room -= key instanceof HostId host
                    ? takeMember(host, room, members)
                    : takeFact((FactKey) key, room, carriedFacts, nowMs);
            if (room < SMALLEST_NEWS_BYTES) {
                break;
            }
        }
        return new GossipUpdates(members, carriedFacts);
    }

    private int takeMember(HostId host, int room, List<Member> members) {
        Optional<Member> member = registry.known(host);
        if (member.isEmpty()) {
            sendsLeft.remove(host);
            return 0;
        }
        int size = MessageSizes.of(member.get());
        if (size > room) {
            return 0;
        }
        members.add(member.get());
        countSent(host);
        return size;
    }

    private int takeFact(FactKey key, int room, List<Fact> carriedFacts, long nowMs) {
        Optional<Fact> fact = facts.find(key, nowMs);
        if (fact.isEmpty()) {
            sendsLeft.remove(key);
            return 0;
        }
        int size = MessageSizes.of(fact.get());
        if (size > room) {
            return 0;
        }
        carriedFacts.add(fact.get());
        countSent(key);
        return size;
    }

    private void countSent(Comparable<?> key) {
        int left = sendsLeft.remove(key) - 1;
        if (left > 0) {
            sendsLeft.put(key, left);
        }
    }
}
