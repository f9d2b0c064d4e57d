package org.cornelcrank.daemon;

import java.util.ArrayList;
import java.util.List;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonCoreTests {

    private static final RequestId REQUEST = new RequestId(new HostId("host-1"), 1, 1);

    private final List<Event> handled = new ArrayList<>();
    private final DaemonCore core = new DaemonCore(
            List.of(new FailingStateMachine(), new RecordingStateMachine()),
            new DecisionJournal(1, 1, explain -> {}),
            dispatch -> {});

    /** Guards against callers that wait for ever because the handling of their command failed. */
    @Test
    void commandThatCouldNotBeHandledIsAnsweredAndForgotten() {
        Event command = new Event.CommandReceived(
                REQUEST, new Caller(new TeamPath("/team"), "key", Caller.Scope.CALLER), new Command());
        List<Effect> effects = core.on(command, 1);
        List<Effect> replies =
                effects.stream().filter(Effect.Reply.class::isInstance).toList();
        assertThat(replies).singleElement().isInstanceOfSatisfying(Effect.Reply.class, reply -> {
            assertThat(reply.request()).isEqualTo(REQUEST);
            assertThat(reply.reply()).isInstanceOfSatisfying(Refusal.class, refusal -> assertThat(refusal.verdict())
                    .isEqualTo(Verdict.MAY_HAVE_RUN));
        });
        assertThat(effects).anyMatch(Effect.HandlingFailed.class::isInstance);
        assertThat(handled).containsExactly(command, new Event.CallerDisconnected(REQUEST));
    }

    private record Command() implements CallerCommand {}

    private static final class FailingStateMachine implements StateMachine {

        @Override
        public String name() {
            return "failing";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            if (event instanceof Event.CommandReceived) {
                throw new IllegalStateException("made to fail");
            }
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }

    private final class RecordingStateMachine implements StateMachine {

        @Override
        public String name() {
            return "recording";
        }

        @Override
        public void on(Event event, long nowMs, Effects out) {
            handled.add(event);
        }

        @Override
        public void dump(StateWriter writer, long nowMs) {}
    }
}
