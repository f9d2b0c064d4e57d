package org.cornelcrank.core;

import java.util.List;

/**
 * What the edge tells the decision core.
 *
 * <p>Immutable, thus thread-safe. Events of one daemon are handled one after another.
 */
public sealed interface Event {

    /** The daemon starts; duties schedule their first timers. */
    record Started() implements Event {}

    /** A timer that a duty scheduled is due. */
    record TimerDue(TimerKey key) implements Event {}

    /** A message came from another daemon. */
    record PeerMessageReceived(HostId from, PeerMessage message) implements Event {}

    /** The log answered an append, which took effect at the offset. */
    record Appended(StreamName stream, long appendNumber, long offset) implements Event {}

    /**
     * An append was refused, or its answer was lost.
     *
     * <p>{@code mayHaveTakenEffect} is false only if the log answered that it did not.
     */
    record AppendFailed(StreamName stream, long appendNumber, boolean mayHaveTakenEffect, long retryAfterMs)
            implements Event {}

    /**
     * The log answered a read.
     *
     * <p>{@code records} are contiguous from {@code fromOffset}, or from {@code oldestOffset} if that is higher, which
     * tells that older records have expired. An empty list means that the end was reached.
     */
    record LogRead(
            StreamName stream,
            String purpose,
            long fromOffset,
            List<LogRecord> records,
            long nextOffset,
            long oldestOffset)
            implements Event {
        public LogRead {
            records = List.copyOf(records);
        }
    }

    /** A read of the log failed. */
    record LogReadFailed(StreamName stream, String purpose, long fromOffset) implements Event {}

    /** The platform's host list was read. */
    record HostListRead(List<HostEntry> hosts) implements Event {
        public HostListRead {
            hosts = List.copyOf(hosts);
        }
    }

    /** A caller or an operator asks for something. */
    record CommandReceived(RequestId request, Caller caller, CallerCommand command) implements Event {}

    /** The caller hung up; nobody will read the answer. */
    record CallerDisconnected(RequestId request) implements Event {}

    /** The target has accepted the attempt and begun its answer. */
    record AttemptStarted(AttemptId attempt) implements Event {}

    /** The target has streamed so many tokens of the attempt in all. */
    record AttemptProgressed(AttemptId attempt, int tokens) implements Event {}

    /** The attempt ended; no further event of it follows. */
    record AttemptEnded(AttemptId attempt, AttemptOutcome outcome) implements Event {}

    /** A target reported its load. */
    record TargetReported(TargetReport report) implements Event {}

    /** A target could not be asked for its load; {@code refused} says that nothing listens at its address. */
    record TargetUnreachable(TargetId target, boolean refused) implements Event {}

    /** A target reported changes of its prefix cache; {@code gap} says that some were missed. */
    record CacheChanged(TargetId target, List<CacheEvent> changes, boolean gap) implements Event {
        public CacheChanged {
            changes = List.copyOf(changes);
        }
    }

    /** A target answered an order. */
    record OrderEnded(TargetId target, long orderNumber, OrderOutcome outcome) implements Event {}

    /** The store answered a request, or left it without an answer. */
    record StoreResponded(long number, StoreResponse response) implements Event {}

    /** The daemon is asked to stop. */
    record StopRequested() implements Event {}
}
