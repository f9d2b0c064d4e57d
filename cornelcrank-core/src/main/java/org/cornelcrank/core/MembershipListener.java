package org.cornelcrank.core;

/** Is notified of membership changes while the event that causes them is being handled. */
public interface MembershipListener {

    /** Called when a member joins or its entry changes; {@code before} is null for a new member. */
    void memberChanged(Member before, Member after, long nowMs, Effects out);
}
