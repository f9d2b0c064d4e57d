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
 * One call under way at the owner of its key, with all who wait for it.
 *
 * <p>Invariant: {@link #answer} is set from {@link Phase#RECORDING} on. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class RunningCall {

    private final CallKey key;
    private final ByteString digest;
    private final String run;
    private final ForwardedCommand first;
    private final Map<RequestId, Waiter> waiters = new LinkedHashMap<>();
    private Phase phase = Phase.INTENDING;
    private ServiceResponse answer;
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

    ServiceResponse answer() {
        return answer;
    }

    void answered(ServiceResponse given, long nowMs) {
        answer = given;
        enter(Phase.RECORDING, nowMs);
    }

    /** Returns whether the call must not run any more, because all who waited were told that it did not. */
    boolean abandoned() {
        return abandoned;
    }

    void abandon() {
        abandoned = true;
    }

    /** Adds one who waits; a send that repeats an earlier one takes its place. */
    void join(HostId origin, ForwardedCommand command) {
        waiters.put(command.request(), new Waiter(origin, command));
    }

    List<Waiter> takeWaiters() {
        List<Waiter> taken = List.copyOf(waiters.values());
        waiters.clear();
        return taken;
    }

    int waiting() {
        return waiters.size();
    }

    /** Gives each who waits the service's answer. */
    void replyAnswer(CallReplies replies, long nowMs, Effects out) {
        for (Waiter waiter : takeWaiters()) {
            boolean replayed = !waiter.command().request().equals(request());
            replies.answer(waiter.origin(), waiter.command(), answer.reply(replayed, key.key()), nowMs, out);
        }
    }

    /** Gives each who waits the same reply. */
    void replyAll(CallerReply reply, CallReplies replies, long nowMs, Effects out) {
        takeWaiters().forEach(waiter -> replies.answer(waiter.origin(), waiter.command(), reply, nowMs, out));
    }

    /** Refuses those whose own deadlines have passed. */
    void refuseLate(Refusal refusal, CallReplies replies, long nowMs, Effects out) {
        for (Waiter waiter : List.copyOf(waiters.values())) {
            if (nowMs >= waiter.deadlineAtMs()) {
                waiters.remove(waiter.command().request());
                replies.answer(waiter.origin(), waiter.command(), refusal, nowMs, out);
            }
        }
    }

    /** Returns the latest deadline of those who wait. */
    long latestDeadlineAtMs() {
        return waiters.values().stream().mapToLong(Waiter::deadlineAtMs).max().orElse(call().deadlineAtMs());
    }

    /** Tells each who waits that the call goes on here. */
    void holdAll(CallReplies replies, Effects out) {
        waiters.values().forEach(waiter -> replies.hold(waiter.origin(), waiter.command(), out));
    }

    void declineAll(boolean untouched, CallReplies replies, long nowMs, Effects out) {
        takeWaiters().forEach(waiter -> replies.decline(waiter.origin(), waiter.command(), untouched, nowMs, out));
    }

    /** Names the phases of a call at its owner. */
    enum Phase {
        /** The intent waits to be read back. */
        INTENDING,
        /** A target may have it. */
        ROUTING,
        /** The answer is known and waits to be read back. */
        RECORDING,
        /** It provably did not run; the record that lifts the guard waits to be read back. */
        LIFTING
    }

    /** One who waits for the call. Immutable, thus thread-safe. */
    record Waiter(HostId origin, ForwardedCommand command) {

        long deadlineAtMs() {
            return ((CallRequest) command.command()).deadlineAtMs();
        }
    }
}
