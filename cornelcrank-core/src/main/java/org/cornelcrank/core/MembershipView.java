package org.cornelcrank.core;

import java.util.List;
import java.util.Optional;

/**
 * This daemon's current view of the members of the deployment.
 *
 * <p>Soft state: it may be stale or differ from the views of other daemons. Not thread-safe: confined to the daemon's
 * event loop.
 */
public interface MembershipView {

    /** Returns this daemon's own entry. */
    Member self();

    /** Returns all members except dead ones, including this daemon, ordered by host. */
    List<Member> members();

    /** Returns a member, which may be a dead one that has not been removed yet. */
    Optional<Member> find(HostId host);

    /** Returns the peer address of a host, which may be a seed that has not joined yet. */
    Optional<String> address(HostId host);

    /** Returns a number that increases with every change of the view. */
    long version();
}
