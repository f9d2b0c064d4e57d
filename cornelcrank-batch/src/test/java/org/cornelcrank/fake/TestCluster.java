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
 * Daemons in virtual time, and the callers who ask them.
 *
 * <p>Not thread-safe.
 */
public abstract class TestCluster {

    private static final int MAX_ASKED_AGAIN = 30;
    private static final long PATIENCE_MS = 60_000;
    private static final long STEP_MS = 50;

    private final SortedMap<String, List<CallerReply>> replies = new TreeMap<>();

    /** Returns the present time. */
    public abstract long nowMs();

    /** Runs what is left to do at the present time. */
    public abstract void run();

    /** Passes time, with every timer in its order. */
    public abstract void advance(long ms);

    /** Handles one event of a host from outside, as a grant of capacity. */
    public abstract void inject(HostId id, Consumer<Effects> event);

    /** Brings a caller's command to a host, without running anything yet. */
    public abstract RequestId arrive(String name, Caller caller, CallerCommand command);

    /** Brings a caller's command to a host and returns the answer, giving it a minute of virtual time. */
    public CallerReply ask(String name, Caller caller, CallerCommand command) {
        RequestId request = arrive(name, caller, command);
        run();
        long untilMs = nowMs() + PATIENCE_MS;
        while (reply(request).isEmpty() && nowMs() < untilMs) {
            advance(STEP_MS);
        }
        return reply(request).orElseThrow(() -> new AssertionError("no answer to " + command));
    }

    public <T extends CallerReply> T ask(String name, Caller caller, CallerCommand command, Class<T> type) {
        CallerReply reply = ask(name, caller, command);
        assertThat(reply).isInstanceOf(type);
        return type.cast(reply);
    }

    /** Asks as a caller does who sends an idempotent command again after each refusal that says when. */
    public <T extends CallerReply> T askAgain(String name, Caller caller, CallerCommand command, Class<T> type) {
        CallerReply reply = ask(name, caller, command);
        for (int round = 0; round < MAX_ASKED_AGAIN && comesBack(reply); round++) {
            advance(((Refusal) reply).retryAfterMs());
            reply = ask(name, caller, command);
        }
        assertThat(reply).isInstanceOf(type);
        return type.cast(reply);
    }

    private static boolean comesBack(CallerReply reply) {
        return reply instanceof Refusal refusal && refusal.retryAfterMs() > 0;
    }

    /** Returns the answer to a request; there must not be two. */
    public Optional<CallerReply> reply(RequestId request) {
        List<CallerReply> given = replies.getOrDefault(request.toString(), List.of());
        assertThat(given).as("answers to " + request).hasSizeLessThanOrEqualTo(1);
        return given.stream().findFirst();
    }

    final void noteReply(Effect.Reply reply) {
        replies.computeIfAbsent(reply.request().toString(), key -> new ArrayList<>())
                .add(reply.reply());
    }
}
