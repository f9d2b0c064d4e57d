package org.cornelcrank.core;

import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;

/**
 * An action that a state machine requests from the I/O layer.
 *
 * <p>Immutable, thus thread-safe. The I/O layer executes the effects of one event in order.
 */
public sealed interface Effect {

    /** Sends a message to another daemon; the message may be lost. */
    record Send(HostId to, PeerMessage message, Delivery delivery) implements Effect {}

    /** Specifies how a message is transported. */
    enum Delivery {
        /** Over a connection, in order; lost only if the connection breaks. */
        CONNECTION,
        /** As a single small datagram, unordered and unreliable; used for probes and gossip. */
        DATAGRAM
    }

    /** Appends one record to a log stream; results in {@link Event.Appended} or {@link Event.AppendFailed}. */
    record Append(StreamName stream, long appendNumber, ByteString payload) implements Effect {}

    /**
     * Reads records of a log stream; results in {@link Event.LogRead} or {@link Event.LogReadFailed} with the same
     * purpose.
     *
     * <p>A positive {@code waitMs} is a long poll: if there are no records, the log waits that long for new ones before
     * it responds.
     */
    record ReadLog(StreamName stream, String purpose, long fromOffset, int maxBytes, long waitMs) implements Effect {}

    /** Schedules a timer, replacing any earlier one with the same key. */
    record Schedule(TimerKey key, long dueAtMs) implements Effect {}

    /** Cancels a timer; an expiry that is already queued may still be delivered. */
    record Unschedule(TimerKey key) implements Effect {}

    /**
     * Starts an attempt; results in {@link Event.AttemptStarted} and the other attempt events.
     *
     * <p>{@code relay} is the daemon that forwards the connection to the target; empty if this daemon connects to the
     * target itself.
     */
    record Dispatch(
            AttemptId attempt,
            TargetId target,
            String address,
            Optional<HostId> relay,
            DispatchSource source,
            Optional<ResumePoint> resume,
            long timeoutMs)
            implements Effect {}

    /** Cancels an attempt, which makes the target stop generating; {@link Event.AttemptEnded} still follows. */
    record CancelAttempt(AttemptId attempt) implements Effect {}

    /**
     * Ends an attempt with {@link FailureKind#PATH_LOST} if the target still sends nothing for it; otherwise has no
     * effect.
     */
    record AbandonAttempt(AttemptId attempt) implements Effect {}

    /**
     * Ends an attempt with {@link FailureKind#TIMED_OUT} if there has been no progress since its last {@link
     * Event.AttemptStalled}; otherwise has no effect.
     */
    record EndStalledAttempt(AttemptId attempt) implements Effect {}

    /** Checks whether this daemon can connect to a target; results in one {@link Event.TargetProbed}. */
    record ProbeTarget(TargetId target, String address) implements Effect {}

    /** Sends an order to a target; results in {@link Event.OrderEnded}. */
    record Order(TargetId target, String address, long orderNumber, TargetOrder order) implements Effect {}

    /** Replies to a caller's command; the last effect for this request. */
    record Reply(RequestId request, CallerReply reply) implements Effect {}

    /** Records a decision and its reason in the decision journal. */
    record Explain(Subject subject, long atMs, String decision, String reason) implements Effect {}

    /** Logs a change of state. */
    record StateChanged(String slice, String text) implements Effect {}

    /** Starts watching the load reports of these targets, replacing the previously watched ones. */
    record WatchTargets(Map<TargetId, String> addresses) implements Effect {
        public WatchTargets {
            addresses = Map.copyOf(addresses);
        }
    }

    /** Sends a request to the store; results in exactly one {@link Event.StoreResponded} with the same number. */
    record CallStore(long number, StoreRequest request) implements Effect {}

    /** Ends the transfer of a response that is no longer awaited; a write may take effect all the same. */
    record CancelStoreCall(long number) implements Effect {}

    /** Delivers an event to all state machines of this daemon once the current event has been handled. */
    record Raise(Event event) implements Effect {}

    /** Ends the process once all work is done. */
    record Exit() implements Effect {}

    /** Reports that handling a part of an event has failed; the effects of its other parts stand. */
    record HandlingFailed(String slice, String part, Throwable cause) implements Effect {}
}
