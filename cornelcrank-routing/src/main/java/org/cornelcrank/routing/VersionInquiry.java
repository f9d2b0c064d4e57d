package org.cornelcrank.routing;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.SoftwareVersion;

/**
 * Collects what other daemons state about the version that began a stream of which none has a record so far.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class VersionInquiry {

    private final int asked;
    private final Set<HostId> awaited;
    private final Set<SoftwareVersion> sole = new HashSet<>();
    private final Set<HostId> confirmedBy = new TreeSet<>();
    private final Set<HostId> mixedAt = new TreeSet<>();

    VersionInquiry(Set<HostId> asked) {
        this.asked = asked.size();
        this.awaited = new TreeSet<>(asked);
    }

    /** Adds a reply without a record; a second one of the same daemon is ignored. */
    void replied(HostId from, RoutingMessage.StreamVersionReply reply) {
        if (!awaited.remove(from)) {
            return;
        }
        if (reply.mixed()) {
            mixedAt.add(from);
        }
        if (reply.sole().isPresent()) {
            sole.add(reply.sole().get());
            confirmedBy.add(from);
        }
    }

    /** Returns whether all daemons that were asked have replied. */
    boolean complete() {
        return awaited.isEmpty();
    }

    /** Returns whether most of the daemons that were asked have listed the same version alone, and none several. */
    boolean settled() {
        return mixedAt.isEmpty() && sole.size() == 1 && 2 * confirmedBy.size() > asked;
    }

    /** Returns the versions that other daemons have listed alone within the lifetime of a stream. */
    Set<SoftwareVersion> sole() {
        return sole;
    }

    /** Returns whether another daemon has listed several versions within the lifetime of a stream. */
    boolean mixed() {
        return !mixedAt.isEmpty();
    }

    /** Describes the replies for the log. */
    String describe() {
        return (asked - awaited.size()) + " of " + asked + " daemons replied without a record, " + confirmedBy
                + " list only " + sole + ", " + mixedAt + " list several";
    }
}
