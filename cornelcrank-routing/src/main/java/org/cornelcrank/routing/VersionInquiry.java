package org.cornelcrank.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.SoftwareVersion;

/**
 * Collects what other daemons state about the version that began a stream of which none has a record so far.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class VersionInquiry {

    private final Set<HostId> asked;
    private final Set<HostId> awaited;
    private final long sinceMs;
    private final Map<HostId, RoutingMessage.StreamVersionReply> replies = new TreeMap<>();
    private Optional<SoftwareVersion> recorded = Optional.empty();
    private String recordedWhere = "";
    private long untilMs;
    private boolean readRequested;
    private boolean confirmationAsked;

    /**
     * Creates an inquiry without replies.
     *
     * @param asked the daemons that were asked
     * @param sinceMs when the caller took the stream up
     * @param untilMs when it is decided without the missing replies
     */
    VersionInquiry(Set<HostId> asked, long sinceMs, long untilMs) {
        this.asked = new TreeSet<>(asked);
        this.awaited = new TreeSet<>(asked);
        this.sinceMs = sinceMs;
        this.untilMs = untilMs;
    }

    /** Notes that all daemons have been asked for a read of the directory that begins after they were asked. */
    void askedForConfirmation(long newUntilMs) {
        confirmationAsked = true;
        awaited.addAll(asked);
        untilMs = newUntilMs;
    }

    /** Adds a reply without a record, in place of an earlier one of the same daemon. */
    void replied(HostId from, RoutingMessage.StreamVersionReply reply) {
        if (!asked.contains(from)) {
            return;
        }
        replies.put(from, reply);
        if (reply.confirmRequested() || !confirmationAsked) {
            awaited.remove(from);
        }
    }

    /** Notes the version that a daemon has recorded, which decides. */
    void recorded(SoftwareVersion version, String where) {
        recorded = Optional.of(version);
        recordedWhere = where;
    }

    Optional<SoftwareVersion> recorded() {
        return recorded;
    }

    String recordedWhere() {
        return recordedWhere;
    }

    Set<HostId> asked() {
        return asked;
    }

    /** Notes that this daemon's own read of the directory has been requested. */
    void readRequested() {
        readRequested = true;
    }

    boolean isReadRequested() {
        return readRequested;
    }

    /** Returns when the caller took the stream up, in ms. */
    long sinceMs() {
        return sinceMs;
    }

    /** Returns when it is decided without the missing replies, in ms. */
    long untilMs() {
        return untilMs;
    }

    /** Returns whether the daemons have been asked to read the directory. */
    boolean confirmationAsked() {
        return confirmationAsked;
    }

    /** Returns whether all daemons that were asked have replied. */
    boolean complete() {
        return awaited.isEmpty();
    }

    /** Returns whether most of the daemons that were asked have replied. */
    boolean mostReplied() {
        return complete() || 2 * awaited.size() < asked.size();
    }

    /** Returns the versions that other daemons have found alone by a read of the directory since they were asked. */
    Set<SoftwareVersion> confirmed() {
        return replies.values().stream()
                .filter(RoutingMessage.StreamVersionReply::confirmed)
                .flatMap(reply -> reply.sole().stream())
                .collect(Collectors.toSet());
    }

    /** Returns whether another daemon has listed several versions within the lifetime of a stream. */
    boolean mixed() {
        return replies.values().stream().anyMatch(RoutingMessage.StreamVersionReply::mixed);
    }

    /** Describes the replies for the log. */
    String describe() {
        return (asked.size() - awaited.size()) + " of " + asked.size() + " daemons replied without a record, "
                + from(RoutingMessage.StreamVersionReply::confirmed) + " have found " + confirmed()
                + " alone by a read since, "
                + from(RoutingMessage.StreamVersionReply::mixed) + " list several";
    }

    private List<HostId> from(Predicate<RoutingMessage.StreamVersionReply> matching) {
        return replies.entrySet().stream()
                .filter(entry -> matching.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }
}
