package org.cornelcrank.membership;

import java.util.List;
import java.util.stream.Stream;

import org.cornelcrank.core.Fact;
import org.cornelcrank.core.Member;

/**
 * Members and facts in the state that the sender last saw.
 *
 * <p>The lifetime of a fact is its remaining lifetime. Immutable, thus thread-safe.
 */
record GossipUpdates(List<Member> members, List<Fact> facts) {

    static final GossipUpdates NONE = new GossipUpdates(List.of(), List.of());

    GossipUpdates {
        members = List.copyOf(members);
        facts = List.copyOf(facts);
    }

    /** Returns these updates followed by the others. */
    GossipUpdates and(GossipUpdates other) {
        if (isEmpty() || other.isEmpty()) {
            return isEmpty() ? other : this;
        }
        return new GossipUpdates(concat(members, other.members), concat(facts, other.facts));
    }

    /** Returns an upper bound of the encoded size. */
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
