package org.cornelcrank.core;

import java.util.List;
import java.util.Optional;

/**
 * Shows which daemons there are, as this daemon believes at present.
 *
 * <p>Soft state: may be stale or differ from what others believe. Not thread-safe: confined to the daemon's event loop.
 */
public interface MembershipView {

    /** Returns this daemon. */
    Member self();

    /** Returns all known members but dead ones, this daemon included, ordered by host. */
    List<Member> members();

    /** Returns a member, also a dead one that is still remembered. */
    Optional<Member> find(HostId host);

    /** Returns the address for peers of a host, also of a seed that is no member yet. */
    Optional<String> address(HostId host);

    /** Returns a number that grows with every change of the view. */
    long version();
}
