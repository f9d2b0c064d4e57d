package org.cornelcrank.core;

import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;

/**
 * What a duty asks the edge to do.
 *
 * <p>Immutable, thus thread-safe. The edge carries out the effects of one event in their order.
 */
public sealed interface Effect {

    /** Sends a message to another daemon; it may be lost. */
    record Send(HostId to, PeerMessage message, Delivery delivery) implements Effect {}

    /** Says how a message travels. */
    enum Delivery {
        /** In order over a connection; lost only if the connection breaks. */
        CONNECTION,
        /** Alone, small, without order; for probes. */
        DATAGRAM
    }

    /** Appends one record; answered by {@link Event.Appended} or {@link Event.AppendFailed}. */
    record Append(StreamName stream, long appendNumber, ByteString payload) implements Effect {}

    /**
     * Reads records; answered by {@link Event.LogRead} or {@link Event.LogReadFailed} with the same purpose.
     *
     * <p>{@code waitMs} above zero lets the log wait for new records before it answers with none.
     */
    record ReadLog(StreamName stream, String purpose, long fromOffset, int maxBytes, long waitMs) implements Effect {}

    /** Schedules a timer, in place of an earlier one of the same key. */
    record Schedule(TimerKey key, long dueAtMs) implements Effect {}

    /** Drops a timer; one that is already on its way may still arrive. */
    record Unschedule(TimerKey key) implements Effect {}

    /** Starts an attempt; answered by {@link Event.AttemptStarted} and the other attempt events. */
    record Dispatch(
            AttemptId attempt,
            TargetId target,
            String address,
            DispatchSource source,
            Optional<ResumePoint> resume,
            long timeoutMs)
            implements Effect {}

    /** Cancels an attempt; the target stops generating. Its {@link Event.AttemptEnded} still follows. */
    record CancelAttempt(AttemptId attempt) implements Effect {}

    /** Sends an order to a target; answered by {@link Event.OrderEnded}. */
    record Order(TargetId target, String address, long orderNumber, TargetOrder order) implements Effect {}

    /** Answers a caller's command; the last that the core says of this request. */
    record Reply(RequestId request, CallerReply reply) implements Effect {}

    /** Keeps a decision for explanations. */
    record Explain(Subject subject, long atMs, String decision, String reason) implements Effect {}

    /** Writes one log line about a change of state. */
    record StateChanged(String slice, String text) implements Effect {}

    /** Asks the edge to watch these targets' reports, in place of those watched before. */
    record WatchTargets(Map<TargetId, String> addresses) implements Effect {
        public WatchTargets {
            addresses = Map.copyOf(addresses);
        }
    }

    /** Asks the store; answered by exactly one {@link Event.StoreResponded} of the same number. */
    record CallStore(long number, StoreRequest request) implements Effect {}

    /** Offers an event to every duty once the present one has been handled. */
    record Raise(Event event) implements Effect {}

    /** Ends the process; all work is done. */
    record Exit() implements Effect {}
}
