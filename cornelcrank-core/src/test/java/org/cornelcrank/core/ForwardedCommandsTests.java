package org.cornelcrank.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ForwardedCommandsTests {

    private static final HostId FIRST = new HostId("e1");
    private static final HostId SECOND = new HostId("e2");
    private static final RequestId REQUEST = new RequestId(new HostId("e3"), 1, 1);
    private static final long DEADLINE_MS = 10_000;
    private static final Refusal NOT_RUN = Refusal.notRun(RefusalCode.OVERLOADED, "busy");

    private final List<CallerReply> replies = new ArrayList<>();
    private final List<ForwardedCommand> sent = new ArrayList<>();
    private final Effects out = new Effects();
    private Optional<HostId> owner = Optional.of(FIRST);
    private boolean logAvailable = true;
    private final ForwardedCommands commands = new ForwardedCommands(
            new TimerKey("test", "forward"),
            ForwardingSettings.defaults(),
            partition -> owner,
            nowMs -> logAvailable,
            (host, command, nowMs, effects) -> sent.add(command));

    @Test
    void refusalHasVerdictMayHaveRunIfAnotherOwnerDidNotReply() {
        begin();
        owner = Optional.of(SECOND);
        commands.check(250, out);
        commands.replied(SECOND, REQUEST, 0, 2, NOT_RUN, 300, out);

        assertThat(onlyVerdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void refusalKeepsVerdictNotRunIfTheEarlierHostDeclinedUntouched() {
        begin();
        commands.declined(FIRST, REQUEST, 0, 1, true, 100, out);
        owner = Optional.of(SECOND);
        commands.check(250, out);
        commands.replied(SECOND, REQUEST, 0, 2, NOT_RUN, 300, out);

        assertThat(onlyVerdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void notRunRefusalWaitsForTheReplyToALaterSend() {
        begin();
        commands.check(2_000, out);
        commands.replied(FIRST, REQUEST, 0, 1, NOT_RUN, 2_001, out);
        assertThat(replies).isEmpty();

        commands.replied(FIRST, REQUEST, 0, 2, NOT_RUN, 2_002, out);
        assertThat(onlyVerdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void commandWithoutReplyAtItsDeadlineMayHaveRunUnlessItWasNeverSent() {
        begin();
        commands.check(DEADLINE_MS, out);
        assertThat(onlyVerdict()).isEqualTo(Verdict.MAY_HAVE_RUN);

        replies.clear();
        owner = Optional.empty();
        begin();
        commands.check(DEADLINE_MS, out);
        assertThat(onlyVerdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void commandWithoutOwnerIsRefusedImmediatelyWhileTheLogIsUnavailable() {
        logAvailable = false;
        begin();
        commands.declined(FIRST, REQUEST, 0, 1, true, 100, out);

        Refusal refusal = (Refusal) replies.get(0);
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(refusal.code()).isEqualTo(RefusalCode.STORE_UNAVAILABLE);
        assertThat(refusal.retryAfterMs()).isPositive();
    }

    @Test
    void commandThatMayHaveRunElsewhereIsNotRefusedForLackOfAnOwner() {
        begin();
        owner = Optional.of(SECOND);
        commands.check(250, out);
        logAvailable = false;
        commands.declined(SECOND, REQUEST, 0, 2, true, 300, out);

        assertThat(replies).isEmpty();
    }

    @Test
    void unmatchedAndDuplicateRepliesAreIgnored() {
        begin();
        commands.replied(SECOND, REQUEST, 0, 1, new Done("of another host"), 100, out);
        commands.replied(FIRST, REQUEST, 1, 1, new Done("to another leg"), 100, out);
        commands.replied(FIRST, REQUEST, 0, 2, new Done("to a send that was not"), 100, out);
        assertThat(replies).isEmpty();

        commands.replied(FIRST, REQUEST, 0, 1, new Done("mine"), 200, out);
        commands.replied(FIRST, REQUEST, 0, 1, new Done("again"), 300, out);
        assertThat(replies).containsExactly(new Done("mine"));
    }

    @Test
    void refusedCommandIsRememberedUntilItsDeadline() {
        begin();
        RefusedCommands refused = new RefusedCommands();
        refused.remember(sent.get(0), new Done("not a refusal"), 0);
        assertThat(refused.find(sent.get(0))).isEmpty();
        refused.remember(sent.get(0), NOT_RUN, 0);
        assertThat(refused.find(sent.get(0))).contains(NOT_RUN);

        refused.remember(command(2), NOT_RUN, DEADLINE_MS + 1);

        assertThat(refused.find(sent.get(0))).isEmpty();
        assertThat(refused.size()).isEqualTo(1);
    }

    private void begin() {
        commands.begin(command(1), (reply, nowMs, effects) -> replies.add(reply), 0, out);
    }

    private static ForwardedCommand command(long number) {
        Caller caller = new Caller(new TeamPath("/nilavu"), "k", Caller.Scope.CALLER);
        RequestId request = new RequestId(REQUEST.host(), 1, number);
        PartitionId partition = new PartitionId(new RegionId("zapad"), 0);
        return new ForwardedCommand(request, 0, 0, caller, partition, new CallerCommand() {}, DEADLINE_MS);
    }

    private Verdict onlyVerdict() {
        assertThat(replies).hasSize(1);
        return ((Refusal) replies.get(0)).verdict();
    }

    private record Done(String text) implements CallerReply {}
}
