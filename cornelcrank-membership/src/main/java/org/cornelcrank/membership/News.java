package org.cornelcrank.membership;

import java.util.List;

import org.cornelcrank.core.Fact;
import org.cornelcrank.core.Member;

/**
 * Members and facts as the sender knows them.
 *
 * <p>The lifetime of a fact is what is left of it. Immutable, thus thread-safe.
 */
record News(List<Member> members, List<Fact> facts) {

    static final News NONE = new News(List.of(), List.of());

    News {
        members = List.copyOf(members);
        facts = List.copyOf(facts);
    }

    boolean isEmpty() {
        return members.isEmpty() && facts.isEmpty();
    }
}
