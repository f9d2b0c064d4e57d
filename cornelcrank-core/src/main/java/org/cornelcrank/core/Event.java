package org.cornelcrank.core;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * An input to the decision core, delivered by the I/O layer.
 *
 * <p>Immutable, thus thread-safe. Events of one daemon are handled one at a time.
 */
public sealed interface Event {

    /** The daemon has started; state machines schedule their first timers. */
    record Started() implements Event {}

    /** A timer that a state machine scheduled has expired. */
    record TimerDue(TimerKey key) implements Event {}

    /** A message from another daemon has arrived. */
    record PeerMessageReceived(HostId from, PeerMessage message) implements Event {}

    /** The log has acknowledged an append; the record is at the given offset. */
    record Appended(StreamName stream, long appendNumber, long offset) implements Event {}

    /**
     * An append was refused, or the log's response was lost.
     *
     * <p>{@code mayHaveTakenEffect} is false only if the log's response states that nothing was appended.
     */
    record AppendFailed(StreamName stream, long appendNumber, boolean mayHaveTakenEffect, long retryAfterMs)
            implements Event {}

    /**
     * The log has returned records.
     *
     * <p>{@code records} are contiguous from {@code fromOffset}, or from {@code oldestOffset} if that is higher, in
     * which case older records have expired. An empty list means that the end of the log was reached.
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

    /** The platform's host list has been read. */
    record HostListRead(List<HostEntry> hosts) implements Event {
        public HostListRead {
            hosts = List.copyOf(hosts);
        }
    }

    /** The host list that was read last was still current when a read of it was sent at {@code asOfMs}. */
    record HostListConfirmed(long asOfMs) implements Event {}

    /**
     * A state machine needs a read of the host list that begins now; {@link HostListConfirmed} or
     * {@link HostListUnconfirmed} follows with a later {@code asOfMs}.
     */
    record HostListConfirmationRequested() implements Event {}

    /** A read of the host list that was sent at {@code asOfMs} has failed, on request or not. */
    record HostListUnconfirmed(long asOfMs) implements Event {}

    /** Changes of the host list may have been missed: it has been read as a whole instead of change by change. */
    record HostListGap() implements Event {}

    /**
     * States the versions of the targets' software that open streams of each service may have begun with, as recorded
     * by all daemons at {@code asOfMs}; a service that is missing has never had a target.
     */
    record VersionsRecorded(Map<ServiceName, Set<SoftwareVersion>> versions, long asOfMs) implements Event {
        public VersionsRecorded {
            versions = Map.copyOf(versions);
        }
    }

    /** A command from a caller or an operator has arrived. */
    record CommandReceived(RequestId request, Caller caller, CallerCommand command) implements Event {}

    /** The caller has disconnected, so the reply can no longer be delivered. */
    record CallerDisconnected(RequestId request) implements Event {}

    /** The target has accepted the attempt and started its response. */
    record AttemptStarted(AttemptId attempt) implements Event {}

    /** Reports the total number of tokens that the target has streamed for the attempt. */
    record AttemptProgressed(AttemptId attempt, int tokens) implements Event {}

    /** A target has sent nothing for the attempt for some time; repeated while the silence lasts. */
    record AttemptSilent(AttemptId attempt) implements Event {}

    /**
     * A target has made no progress for the read timeout on a stream of which the caller has a part; repeated while
     * that lasts.
     */
    record AttemptStalled(AttemptId attempt) implements Event {}

    /** The attempt has ended; no further event for it follows. */
    record AttemptEnded(AttemptId attempt, AttemptOutcome outcome) implements Event {}

    /** A target has reported its load. */
    record TargetReported(TargetReport report) implements Event {}

    /**
     * A target has stated in a response that it leaves.
     *
     * <p>{@code sentAtMs} is when the request of that response was sent.
     */
    record TargetLeaving(TargetId target, long sentAtMs) implements Event {}

    /**
     * A target has responded to a request that was sent at {@code sentAtMs}, and states the rate of requests per second
     * that it accepts from all daemons together; empty if it states no limit.
     */
    record TargetResponded(TargetId target, long sentAtMs, OptionalDouble requestsPerSecond) implements Event {}

    /** A target's load could not be queried; {@code refused} indicates that the target refused the connection. */
    record TargetUnreachable(TargetId target, boolean refused) implements Event {}

    /** A check has ended of whether this daemon can connect to a target at an address. */
    record TargetProbed(TargetId target, String address, boolean reachable) implements Event {}

    /** Nothing listens at a target's address after it has lost a connection. */
    record TargetGone(TargetId target) implements Event {}

    /** A target has reported changes of its prefix cache; {@code gap} indicates that some were missed. */
    record CacheChanged(TargetId target, List<CacheEvent> changes, boolean gap) implements Event {
        public CacheChanged {
            changes = List.copyOf(changes);
        }
    }

    /** An order to a target has ended. */
    record OrderEnded(TargetId target, long orderNumber, OrderOutcome outcome) implements Event {}

    /** A request to the store has ended, with or without a response. */
    record StoreResponded(long number, StoreResponse response) implements Event {}

    /** The daemon has been requested to stop. */
    record StopRequested() implements Event {}

    /**
     * The time limit of the stop has passed: each open request gets its final reply now, and later ones are refused.
     *
     * <p>{@code notRun} is the refusal of requests that have not run.
     */
    record StopTimedOut(Refusal notRun) implements Event {}
}
