package org.cornelcrank.daemon;

import java.util.List;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Subject;

/**
 * What the daemons still know about a subject, oldest first.
 *
 * <p>{@code silent} names the daemons that did not answer in time, of whose part nothing is known. Immutable, thus
 * thread-safe.
 */
public record Explanation(Subject subject, List<Line> lines, List<HostId> silent) implements CallerReply {

    public Explanation {
        lines = List.copyOf(lines);
        silent = List.copyOf(silent);
    }

    /** One decision of one daemon. */
    public record Line(long atMs, HostId host, String decision, String reason) {}
}
