package org.cornelcrank.call;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RequestId;

/**
 * A call in progress at the owner of its key, with all requests that are waiting for it.
 *
 * <p>Invariant: {@link #response} is set from {@link Phase#WRITING_RESPONSE} on. Not thread-safe: confined to the
 * daemon's event loop.
 */
final class RunningCall {

    private final CallKey key;
    private final ByteString digest;
    private final String run;
    private final ForwardedCommand first;
    private final Map<RequestId, Waiter> waiters = new LinkedHashMap<>();
    private Phase phase = Phase.WRITING_INTENT;
    private ServiceResponse response;
    private long phaseSinceMs;
    private boolean abandoned;

    RunningCall(CallKey key, ByteString digest, String run, ForwardedCommand first, long nowMs) {
        this.key = key;
        this.digest = digest;
        this.run = run;
        this.first = first;
        this.phaseSinceMs = nowMs;
    }

    CallKey key() {
        return key;
    }

    ByteString digest() {
        return digest;
    }

    String run() {
        return run;
    }

    RequestId request() {
        return first.request();
    }

    CallRequest call() {
        return (CallRequest) first.command();
    }

    Phase phase() {
        return phase;
    }

    long phaseSinceMs() {
        return phaseSinceMs;
    }

    void enter(Phase next, long nowMs) {
        phase = next;
        phaseSinceMs = nowMs;
    }

    ServiceResponse response() {
        return response;
    }

    void responseReceived(ServiceResponse received, long nowMs) {
        response = received;
        enter(Phase.WRITING_RESPONSE, nowMs);
    }

    /** Returns whether the call must no longer run, because all waiting requests were refused as not run. */
    boolean abandoned() {
        return abandoned;
    }

    void abandon() {
        abandoned = true;
    }

    /** Adds a waiting request; a repeated send of the same request replaces the earlier one. */
    void join(HostId origin, ForwardedCommand command) {
        waiters.put(command.request(), new Waiter(origin, command));
    }

    List<Waiter> removeWaiters() {
        List<Waiter> removed = List.copyOf(waiters.values());
        waiters.clear();
        return removed;
    }

    int waiterCount() {
        return waiters.size();
    }

    /** Sends the service's response to all waiting requests. */
    void replyResponse(CallReplies replies, long nowMs, Effects out) {
        for (Waiter waiter : removeWaiters()) {
            boolean replayed = !waiter.command().request().equals(request());
            replies.reply(waiter.origin(), waiter.command(), response.reply(replayed, key.key()), nowMs, out);
        }
    }

    /** Sends the same reply to all waiting requests. */
    void replyAll(CallerReply reply, CallReplies replies, long nowMs, Effects out) {
        removeWaiters().forEach(waiter -> replies.reply(waiter.origin(), waiter.command(), reply, nowMs, out));
    }

    /** Refuses the waiting requests whose own deadlines have passed. */
    void refuseLate(Refusal refusal, CallReplies replies, long nowMs, Effects out) {
        for (Waiter waiter : List.copyOf(waiters.values())) {
            if (nowMs >= waiter.deadlineAtMs()) {
                waiters.remove(waiter.command().request());
                replies.reply(waiter.origin(), waiter.command(), refusal, nowMs, out);
            }
        }
    }

    /** Returns the latest deadline of the waiting requests. */
    long latestDeadlineAtMs() {
        return waiters.values().stream().mapToLong(Waiter::deadlineAtMs).max().orElse(call().deadlineAtMs());
    }

    /** Notifies the origins of all waiting requests that the call continues here. */
    void holdAll(CallReplies replies, Effects out) {
        waiters.values().forEach(waiter -> replies.hold(waiter.origin(), waiter.command(), out));
    }

    void declineAll(boolean untouched, CallReplies replies, long nowMs, Effects out) {
        removeWaiters().forEach(waiter -> replies.decline(waiter.origin(), waiter.command(), untouched, nowMs, out));
    }

    /** Phase of a call at its owner. */
    enum Phase {
        /** The intent record has not been read back yet. */
        WRITING_INTENT,
        /** A target may have received the call. */
        ROUTING,
        /** The response has arrived and its record has not been read back yet. */
        WRITING_RESPONSE,
        /** The call provably did not run; the record that removes the guard has not been read back yet. */
        REMOVING_GUARD
    }

    /** A request that is waiting for the call. Immutable, thus thread-safe. */
    record Waiter(HostId origin, ForwardedCommand command) {

        long deadlineAtMs() {
            return ((CallRequest) command.command()).deadlineAtMs();
        }
    }
}
