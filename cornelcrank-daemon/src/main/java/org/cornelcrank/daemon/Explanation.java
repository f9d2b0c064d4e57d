package org.cornelcrank.daemon;

import java.util.List;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Subject;

/**
 * The decisions about a subject that the daemons still hold, oldest first.
 *
 * <p>{@code unresponsiveHosts} lists the daemons that did not reply in time, whose decisions are therefore missing.
 * Immutable, thus thread-safe.
 */
public record Explanation(Subject subject, List<Line> lines, List<HostId> unresponsiveHosts) implements CallerReply {

    public Explanation {
        lines = List.copyOf(lines);
        unresponsiveHosts = List.copyOf(unresponsiveHosts);
    }

    /** One decision of one daemon. */
    public record Line(long atMs, HostId host, String decision, String reason) {}
}
