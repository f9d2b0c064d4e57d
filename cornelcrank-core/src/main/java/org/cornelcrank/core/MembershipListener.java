package org.cornelcrank.core;

/** Is told of changes of the membership in the event that brings them about. */
public interface MembershipListener {

    /** A member appeared or changed its state; {@code before} is null for a new one. */
    void memberChanged(Member before, Member after, long nowMs, Effects out);
}
