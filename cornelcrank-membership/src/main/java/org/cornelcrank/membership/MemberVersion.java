package org.cornelcrank.membership;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;

/**
 * What decides which of two statements about a member is newer.
 *
 * <p>Invariant: a higher incarnation goes before a lower one; within an incarnation, the worse state goes first.
 * Immutable, thus thread-safe.
 */
record MemberVersion(HostId host, long incarnation, MemberState state) {

    static MemberVersion of(Member member) {
        return new MemberVersion(member.host(), member.incarnation(), member.state());
    }

    /** Returns whether this statement goes before the other one about the same host. */
    boolean supersedes(MemberVersion other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.ordinal() > other.state.ordinal();
    }
}
