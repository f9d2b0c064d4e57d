package org.cornelcrank.routing;

import java.util.List;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.TargetId;

/**
 * Lists the quarantined requests and prompt parts, ordered by fingerprint.
 *
 * <p>Immutable, thus thread-safe.
 */
public record QuarantineListed(List<Entry> entries, List<Entry> promptParts) implements CallerReply {

    public QuarantineListed {
        entries = List.copyOf(entries);
        promptParts = List.copyOf(promptParts);
    }

    /** One quarantined request or prompt part, with the targets that died while they ran it. */
    public record Entry(long fingerprint, List<TargetId> targets, long sinceMs, long expiresAtMs) {

        public Entry {
            targets = List.copyOf(targets);
        }
    }
}
