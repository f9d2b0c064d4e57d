package org.cornelcrank.membership;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;

/**
 * The version of a member's state, which determines which of two updates supersedes the other.
 *
 * <p>Invariant: a higher incarnation supersedes a lower one; within an incarnation, the worse state supersedes the
 * better. Immutable, thus thread-safe.
 */
record MemberVersion(HostId host, long incarnation, MemberState state) {

    static MemberVersion of(Member member) {
        return new MemberVersion(member.host(), member.incarnation(), member.state());
    }

    /** Returns whether this version supersedes the other one of the same host. */
    boolean supersedes(MemberVersion other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.ordinal() > other.state.ordinal();
    }
}
