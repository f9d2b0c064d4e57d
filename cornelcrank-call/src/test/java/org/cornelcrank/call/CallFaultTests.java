package org.cornelcrank.call;

import java.util.List;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.fake.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Injects faults after each event of the complete course of a call, and checks that the call runs at most once and that
 * the replies to callers are correct.
 *
 * <p>The owner is e1 or e2; the callers use e3 and e4.
 */
class CallFaultTests {

    private static final int MAX_EVENTS = 500;
    private static final int MAX_GAP = 10;

    @ParameterizedTest
    @EnumSource(Fault.class)
    void callRunsAtMostOnceWhicheverEventTheFaultFollows(Fault fault) {
        int event = 0;
        while (runWithFaults(List.of(fault), event, 0)) {
            event++;
            assertThat(event).isLessThan(MAX_EVENTS);
        }
        assertThat(event).as("events that the fault followed").isGreaterThan(5);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void callRunsAtMostOnceAfterTwoFaultsInShortSuccession(Fault first) {
        for (Fault second : Fault.values()) {
            for (int gap = 1; gap <= MAX_GAP; gap += 3) {
                int event = 0;
                while (runWithFaults(List.of(first, second), event, gap)) {
                    event += 2;
                }
            }
        }
    }

    /** Returns whether the run had an event of the given number. */
    private static boolean runWithFaults(List<Fault> faults, int event, int gap) {
        CallFixture fixture = new CallFixture("e1", "e2", "e3", "e4");
        int[] events = new int[1];
        fixture.cluster.afterEachEvent(() -> {
            int eventsSince = events[0]++ - event;
            for (int i = 0; i < faults.size(); i++) {
                if (eventsSince == i * gap) {
                    faults.get(i).inject(fixture.cluster, CallFixture.PARTITION, CallMessage.Replied.class::isInstance);
                }
            }
        });
        try {
            runCalls(fixture);
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError(faults + " after event " + event + " and " + gap + " later: " + e.getMessage(), e);
        }
        return events[0] > event;
    }

    private static void runCalls(CallFixture fixture) {
        RequestId first = fixture.send("e3", "slip-7", "branch 4");
        RequestId repeated = fixture.send("e4", "slip-7", "branch 4");
        work(fixture);
        RequestId last = fixture.send("e3", "slip-7", "branch 4");
        work(fixture);
        assertThat(fixture.timesRouted()).isLessThanOrEqualTo(1);
        for (RequestId request : List.of(first, repeated, last)) {
            CallerReply reply = fixture.cluster.reply(request).orElseThrow();
            assertConsistent(reply, fixture.wasRouted(request), fixture.timesRouted());
        }
    }

    private static void assertConsistent(CallerReply reply, boolean ran, int timesRouted) {
        if (reply instanceof CallResponse response) {
            assertThat(response.body().toStringUtf8()).isEqualTo("token 112");
            assertThat(timesRouted).isEqualTo(1);
        } else {
            assertThat(reply).isInstanceOf(Refusal.class);
            assertThat(((Refusal) reply).verdict()).isNotEqualTo(Verdict.COMPLETED);
            assertThat(ran && ((Refusal) reply).verdict().equals(Verdict.NOT_RUN))
                    .isFalse();
        }
    }

    private static void work(CallFixture fixture) {
        for (int round = 0; round < 60; round++) {
            fixture.routers.keySet().forEach(host -> fixture.end(host, FakeRouter.responded("token 112")));
            fixture.cluster.advance(200);
        }
    }
}
