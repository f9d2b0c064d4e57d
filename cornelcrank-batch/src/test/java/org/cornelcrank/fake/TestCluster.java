package org.cornelcrank.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Daemons in virtual time, and the callers that send commands to them.
 *
 * <p>Not thread-safe.
 */
public abstract class TestCluster {

    private static final int MAX_RETRIES = 30;
    private static final long REPLY_TIMEOUT_MS = 60_000;
    private static final long STEP_MS = 50;

    private final SortedMap<String, List<CallerReply>> replies = new TreeMap<>();

    /** Returns the current time in milliseconds. */
    public abstract long nowMs();

    /** Runs everything that remains to be done at the current time. */
    public abstract void run();

    /** Advances the time and fires due timers in order. */
    public abstract void advance(long ms);

    /** Queues an event from outside for a host, such as a grant of capacity. */
    public abstract void inject(HostId id, Consumer<Effects> event);

    /** Submits a caller's command to a host without running anything yet. */
    public abstract RequestId submit(String name, Caller caller, CallerCommand command);

    /** Submits a caller's command and returns the reply, which must arrive within a minute of virtual time. */
    public CallerReply submitAndWait(String name, Caller caller, CallerCommand command) {
        RequestId request = submit(name, caller, command);
        run();
        long untilMs = nowMs() + REPLY_TIMEOUT_MS;
        while (reply(request).isEmpty() && nowMs() < untilMs) {
            advance(STEP_MS);
        }
        return reply(request).orElseThrow(() -> new AssertionError("no reply to " + command));
    }

    public <T extends CallerReply> T submitAndWait(String name, Caller caller, CallerCommand command, Class<T> type) {
        CallerReply reply = submitAndWait(name, caller, command);
        assertThat(reply).isInstanceOf(type);
        return type.cast(reply);
    }

    /** Submits an idempotent command, and retries it after each refusal that states when to retry. */
    public <T extends CallerReply> T submitWithRetries(
            String name, Caller caller, CallerCommand command, Class<T> type) {
        CallerReply reply = submitAndWait(name, caller, command);
        for (int round = 0; round < MAX_RETRIES && isRetryable(reply); round++) {
            advance(((Refusal) reply).retryAfterMs());
            reply = submitAndWait(name, caller, command);
        }
        assertThat(reply).isInstanceOf(type);
        return type.cast(reply);
    }

    private static boolean isRetryable(CallerReply reply) {
        return reply instanceof Refusal refusal && refusal.retryAfterMs() > 0;
    }

    /** Returns the reply to a request, and checks that there is at most one. */
    public Optional<CallerReply> reply(RequestId request) {
        List<CallerReply> received = replies.getOrDefault(request.toString(), List.of());
        assertThat(received).as("replies to " + request).hasSizeLessThanOrEqualTo(1);
        return received.stream().findFirst();
    }

    final void recordReply(Effect.Reply reply) {
        replies.computeIfAbsent(reply.request().toString(), key -> new ArrayList<>())
                .add(reply.reply());
    }
}
