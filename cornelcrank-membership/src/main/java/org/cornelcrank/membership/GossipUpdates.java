package org.cornelcrank.membership;

import java.util.List;
import java.util.stream.Stream;

import org.cornelcrank.core.Fact;
import org.cornelcrank.core.Member;

/**
 * Members and facts as the sender knows them.
 *
 * <p>The lifetime of a fact is what is left of it. Immutable, thus thread-safe.
 */
record GossipUpdates(List<Member> members, List<Fact> facts) {

    static final GossipUpdates NONE = new GossipUpdates(List.of(), List.of());

    GossipUpdates {
        members = List.copyOf(members);
        facts = List.copyOf(facts);
    }

    /** Returns these news and the others together. */
    GossipUpdates and(GossipUpdates other) {
        if (isEmpty() || other.isEmpty()) {
            return isEmpty() ? other : this;
        }
        return new GossipUpdates(concat(members, other.members), concat(facts, other.facts));
    }

    /** Returns a bound of the encoded size. */
    int maxBytes() {
        return members.stream().mapToInt(MessageSizes::of).sum()
                + facts.stream().mapToInt(MessageSizes::of).sum();
    }

    boolean isEmpty() {
        return members.isEmpty() && facts.isEmpty();
    }

    private static <T> List<T> concat(List<T> first, List<T> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }
}
