package org.cornelcrank.call;

import java.util.List;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.RoutedRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallStateMachineTests {

    private final CallFixture fixture = new CallFixture("e1", "e2", "e3");

    @Test
    void callRunsOnceAndARepeatedRequestThroughAnotherDaemonGetsTheStoredResponse() {
        RequestId first = fixture.send("e2", "slip-7", "branch 4");
        fixture.end("e1", FakeRouter.responded("token 112"));
        RequestId again = fixture.send("e3", "slip-7", "branch 4");

        assertThat(fixture.response(first).replayed()).isFalse();
        assertThat(fixture.response(again).replayed()).isTrue();
        assertThat(fixture.response(again).body().toStringUtf8()).isEqualTo("token 112");
        assertThat(fixture.timesRouted()).isEqualTo(1);
        assertThat(fixture.routers.get("e1").routed.get(0).repeatable()).isFalse();
    }

    @Test
    void callIsNotSentToATargetBeforeItsIntentIsReadBack() {
        RequestId request = fixture.cluster.submit("e1", CallFixture.KIOSK, fixture.call("slip-7", "branch 4"));
        fixture.cluster.holdAppends();
        fixture.cluster.run();
        assertThat(fixture.timesRouted()).isZero();

        fixture.cluster.startLog();
        fixture.end("e1", FakeRouter.responded("token 112"));

        assertThat(fixture.response(request).body().toStringUtf8()).isEqualTo("token 112");
    }

    @Test
    void callWhoseIntentIsNotAppendedInTimeIsRefusedAsNotRunAndNeverRuns() {
        RequestId request = fixture.cluster.submit("e2", CallFixture.KIOSK, fixture.call("slip-7", "branch 4"));
        fixture.cluster.holdAppends();
        fixture.cluster.advance(CallFixture.CALL_TIMEOUT_MS + 900);
        fixture.assertRefused(request, Verdict.NOT_RUN, RefusalCode.DEADLINE_EXCEEDED);

        fixture.cluster.startLog();
        fixture.cluster.advance(5_000);
        assertThat(fixture.timesRouted()).isZero();

        RequestId again = fixture.send("e3", "slip-7", "branch 4");
        fixture.end("e1", FakeRouter.responded("token 112"));
        assertThat(fixture.response(again).replayed()).isFalse();
    }

    @Test
    void repeatedRequestJoinsTheRunningCall() {
        RequestId first = fixture.send("e2", "slip-7", "branch 4");
        RequestId second = fixture.send("e3", "slip-7", "branch 4");
        fixture.end("e1", FakeRouter.responded("token 112"));

        assertThat(fixture.response(first).replayed()).isFalse();
        assertThat(fixture.response(second).replayed()).isTrue();
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void sameKeyWithAnotherBodyConflictsWhileTheCallRunsAndAfterwards() {
        fixture.send("e2", "slip-7", "branch 4");
        RequestId during = fixture.send("e3", "slip-7", "branch 5");
        fixture.end("e1", FakeRouter.responded("token 112"));
        RequestId after = fixture.send("e3", "slip-7", "branch 5");

        fixture.assertRefused(during, Verdict.NOT_RUN, RefusalCode.CONFLICT);
        fixture.assertRefused(after, Verdict.NOT_RUN, RefusalCode.CONFLICT);
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void callWhoseOwnerIsLostWhileItRunsIsPermanentlyRefusedAsMayHaveRun() {
        RequestId first = fixture.send("e2", "slip-7", "branch 4");
        fixture.cluster.crash("e1");
        fixture.cluster.assign(CallFixture.PARTITION, "e3");
        fixture.cluster.advance(5_000);
        fixture.assertRefused(first, Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED);

        fixture.cluster.assign(CallFixture.PARTITION, "e2");
        RequestId again = fixture.send("e3", "slip-7", "branch 4");
        fixture.cluster.advance(5_000);

        fixture.assertRefused(again, Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED);
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void ownerPausedWhileThePartitionIsClaimedCannotRunTheCallTwice() {
        RequestId first = fixture.cluster.submit("e2", CallFixture.KIOSK, fixture.call("slip-7", "branch 4"));
        fixture.cluster.holdAppends();
        fixture.cluster.run();
        fixture.cluster.pause("e1");
        fixture.cluster.appendPending();
        fixture.cluster.startLog();
        fixture.cluster.assign(CallFixture.PARTITION, "e3");
        fixture.cluster.advance(5_000);
        fixture.assertRefused(first, Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED);

        fixture.cluster.resume("e1");
        fixture.end("e1", FakeRouter.responded("token 112"));
        fixture.cluster.advance(5_000);
        fixture.send("e2", "slip-7", "branch 4");

        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void intentAppendedAfterAClaimIsVoidAndTheCallRunsAtTheNewOwner() {
        RequestId first = fixture.cluster.submit("e2", CallFixture.KIOSK, fixture.call("slip-7", "branch 4"));
        fixture.cluster.holdAppends();
        fixture.cluster.run();
        fixture.cluster.assign(CallFixture.PARTITION, "e3");
        fixture.cluster.startLog();
        fixture.cluster.advance(1_000);
        fixture.end("e3", FakeRouter.responded("token 112"));

        assertThat(fixture.response(first).body().toStringUtf8()).isEqualTo("token 112");
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void callThatProvablyDidNotRunCanRunAgain() {
        RequestId first = fixture.send("e2", "slip-7", "branch 4");
        fixture.end("e1", FakeRouter.givenUp(Refusal.notRun(RefusalCode.NO_TARGET, "no target is up")));
        fixture.assertRefused(first, Verdict.NOT_RUN, RefusalCode.NO_TARGET);

        RequestId again = fixture.send("e3", "slip-7", "branch 4");
        fixture.end("e1", FakeRouter.responded("token 112"));

        assertThat(fixture.response(again).replayed()).isFalse();
    }

    @Test
    void repeatedRequestRunsOnlyAfterTheRemovalOfTheGuardIsReadBack() {
        fixture.send("e2", "slip-7", "branch 4");
        fixture.cluster.holdAppends();
        fixture.end("e1", FakeRouter.givenUp(Refusal.notRun(RefusalCode.NO_TARGET, "no target is up")));
        RequestId again = fixture.send("e3", "slip-7", "branch 4");
        assertThat(fixture.timesRouted()).isEqualTo(1);

        fixture.cluster.startLog();
        fixture.end("e1", FakeRouter.responded("token 112"));

        assertThat(fixture.response(again).body().toStringUtf8()).isEqualTo("token 112");
        assertThat(fixture.timesRouted()).isEqualTo(2);
    }

    @Test
    void connectionLostAfterTheRequestWasSentLeavesTheVerdictMayHaveRun() {
        RequestId first = fixture.send("e2", "slip-7", "branch 4");
        fixture.end("e1", FakeRouter.failed(FailureKind.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, 0));
        RequestId again = fixture.send("e2", "slip-7", "branch 4");

        fixture.assertRefused(first, Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED);
        fixture.assertRefused(again, Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED);
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void logOutageRefusesNewCallsAsNotRunAndStillReturnsTheResponseOfARunningOne() {
        RequestId running = fixture.send("e2", "slip-7", "branch 4");
        fixture.cluster.stopLog();
        RequestId fresh = fixture.send("e2", "slip-8", "branch 4");
        fixture.end("e1", FakeRouter.responded("token 112"));

        fixture.assertRefused(fresh, Verdict.NOT_RUN, RefusalCode.STORE_UNAVAILABLE);
        assertThat(fixture.response(running).body().toStringUtf8()).isEqualTo("token 112");

        fixture.cluster.startLog();
        RequestId again = fixture.send("e3", "slip-7", "branch 4");
        assertThat(fixture.response(again).body().toStringUtf8()).isEqualTo("token 112");
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void callThatRespondedDuringAnOutageNeverRunsAgainAfterItsOwnerIsLost() {
        RequestId running = fixture.send("e2", "slip-7", "branch 4");
        fixture.cluster.stopLog();
        fixture.end("e1", FakeRouter.responded("token 112"));
        assertThat(fixture.response(running).status()).isEqualTo(200);

        fixture.cluster.crash("e1");
        fixture.cluster.assign(CallFixture.PARTITION, "e3");
        fixture.cluster.startLog();
        RequestId again = fixture.send("e2", "slip-7", "branch 4");

        fixture.assertRefused(again, Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED);
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void lostReplyMessageIsRequestedAgain() {
        RequestId request = fixture.cluster.submit("e2", CallFixture.KIOSK, fixture.call("slip-7", "branch 4"));
        fixture.cluster.dropMessages(CallMessage.Replied.class::isInstance);
        fixture.cluster.run();
        fixture.end("e1", FakeRouter.responded("token 112"));
        assertThat(fixture.cluster.reply(request)).isEmpty();

        fixture.cluster.dropMessages(message -> false);
        fixture.cluster.advance(3_000);

        assertThat(fixture.response(request).replayed()).isFalse();
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void lateCopyOfACallThatWasRefusedAsNotRunDoesNotRun() {
        CallRequest call = fixture.call("slip-7", "branch 4");
        RequestId request = fixture.cluster.submit("e2", CallFixture.KIOSK, call);
        fixture.cluster.stopLog();
        fixture.cluster.run();
        fixture.assertRefused(request, Verdict.NOT_RUN, RefusalCode.STORE_UNAVAILABLE);

        fixture.cluster.startLog();
        fixture.cluster.injectMessage(new HostId("e2"), new HostId("e1"), fixture.cluster.firstMessage());

        assertThat(fixture.timesRouted()).isZero();
    }

    @Test
    void crossedRepliesReachTheirOwnCallers() {
        RequestId first = fixture.send("e2", "slip-7", "branch 4");
        RequestId second = fixture.send("e2", "slip-8", "branch 4");
        FakeRouter router = fixture.routers.get("e1");
        List<RoutedRequest> running = List.copyOf(router.running.values());
        fixture.cluster.inject(
                new HostId("e1"),
                out -> router.end(running.get(1), FakeRouter.responded("token 2"), fixture.cluster.nowMs(), out));
        fixture.cluster.inject(
                new HostId("e1"),
                out -> router.end(running.get(0), FakeRouter.responded("token 1"), fixture.cluster.nowMs(), out));
        fixture.cluster.run();

        assertThat(fixture.response(first).body().toStringUtf8()).isEqualTo("token 1");
        assertThat(fixture.response(second).body().toStringUtf8()).isEqualTo("token 2");
    }

    @Test
    void replyFromAHostThatWasNotSentTheCallIsIgnored() {
        RequestId request = fixture.send("e2", "slip-7", "branch 4");
        CallResponse forged = new CallResponse(200, "text/plain", ByteString.EMPTY, false, "slip-7");
        fixture.cluster.injectMessage(new HostId("e3"), new HostId("e2"), new CallMessage.Replied(request, 1, forged));

        assertThat(fixture.cluster.reply(request)).isEmpty();
    }

    @Test
    void callWithoutAKeyGetsAGeneratedOne() {
        RequestId request = fixture.send("e2", null, "branch 4");
        fixture.end("e1", FakeRouter.responded("token 112"));
        String key = fixture.response(request).idempotencyKey();

        RequestId again = fixture.send("e3", key, "branch 4");

        assertThat(fixture.response(again).replayed()).isTrue();
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void ownerThatLosesAndRegainsThePartitionRepliesToTheCallItIsStillRunning() {
        RequestId first = fixture.send("e1", "slip-7", "branch 4");
        fixture.cluster.assign(CallFixture.PARTITION, "e1");
        fixture.cluster.run();
        RequestId again = fixture.send("e2", "slip-7", "branch 4");
        fixture.end("e1", FakeRouter.responded("token 112"));

        assertThat(fixture.response(first).body().toStringUtf8()).isEqualTo("token 112");
        assertThat(fixture.response(again).body().toStringUtf8()).isEqualTo("token 112");
        assertThat(fixture.timesRouted()).isEqualTo(1);
    }

    @Test
    void handoverDoesNotInterruptTheRunningCall() {
        RequestId remote = fixture.send("e2", "slip-7", "branch 4");
        RequestId local = fixture.send("e1", "slip-8", "branch 4");
        fixture.cluster.assign(CallFixture.PARTITION, "e3");
        fixture.cluster.advance(5_000);
        fixture.end("e1", FakeRouter.responded("token 112"));

        assertThat(fixture.response(remote).body().toStringUtf8()).isEqualTo("token 112");
        assertThat(fixture.response(local).body().toStringUtf8()).isEqualTo("token 112");
        RequestId again = fixture.send("e2", "slip-7", "branch 4");
        fixture.assertRefused(again, Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED);
    }

    @Test
    void callHeldByALostHostIsRefusedAsMayHaveRun() {
        RequestId request = fixture.send("e2", "slip-7", "branch 4");
        fixture.cluster.assign(CallFixture.PARTITION, "e3");
        fixture.cluster.run();
        fixture.cluster.crash("e1");
        fixture.cluster.advance(CallFixture.CALL_TIMEOUT_MS + 2_000);

        fixture.assertRefused(request, Verdict.MAY_HAVE_RUN, RefusalCode.DEADLINE_EXCEEDED);
    }

    @Test
    void guardIsRemovedAfterItsRetention() {
        fixture.send("e2", "slip-7", "branch 4");
        fixture.end("e1", FakeRouter.responded("token 112"));
        fixture.cluster.advance(CallSettings.defaults().guardRetentionMs() + 120_000);

        RequestId later = fixture.send("e3", "slip-7", "branch 4");
        fixture.end("e1", FakeRouter.responded("token 300"));

        assertThat(fixture.response(later).body().toStringUtf8()).isEqualTo("token 300");
    }
}
