package org.cornelcrank.store;

import java.util.ArrayList;
import java.util.List;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TopicPartition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreCallsTests {

    private static final TopicPartition PARTITION = new TopicPartition("routes", 0);
    private static final StoreResponse FAILED = new StoreResponse.Unknown("no answer");
    private static final StoreResponse DONE = new StoreResponse.Done();

    private final StoreCalls calls = new StoreCalls();
    private final List<StoreResponse> readResponses = new ArrayList<>();
    private final List<StoreResponse> leaveResponses = new ArrayList<>();
    private long lastNumber;

    /** A read that was sent during an outage of seconds would hang until its own timeout, even if the store is back. */
    @Test
    void readFromAnOutageIsAbandonedOnceTheStoreRespondsAgain() {
        long early = leave();
        long read = read();
        respond(early, FAILED, 1_000);
        respond(leave(), DONE, 3_000);
        assertThat(readResponses).singleElement().isInstanceOf(StoreResponse.Unknown.class);
        respond(read, new StoreResponse.Records(List.of(), 0, 0), 4_000);
        assertThat(readResponses).hasSize(1);
    }

    @Test
    void listenerOfAnAbandonedReadMayCancelAnotherRead() {
        long early = leave();
        StoreRequest request = new StoreRequest.Read(PARTITION, 0, 1, 2_500);
        calls.call(request, (response, nowMs, out) -> calls.cancel(3, out), new Effects());
        lastNumber++;
        long cancelled = read();
        long last = leave();
        respond(early, FAILED, 1_000);
        respond(last, DONE, 3_000);
        assertThat(cancelled).isEqualTo(3);
        assertThat(readResponses).isEmpty();
        assertThat(calls.openCallCount()).isZero();
    }

    @Test
    void transferOfAnAbandonedReadIsEnded() {
        long early = leave();
        long read = read();
        respond(early, FAILED, 1_000);
        Effects out = new Effects();
        calls.on(new Event.StoreResponded(leave(), DONE), 3_000, out);
        assertThat(out.list()).contains(new Effect.CancelStoreCall(read));
    }

    @Test
    void readKeepsWaitingAfterAShortFailure() {
        long early = leave();
        read();
        respond(early, FAILED, 1_000);
        respond(leave(), DONE, 1_500);
        assertThat(readResponses).isEmpty();
    }

    /** An earlier call may be the first to complete after the outage, so the order of calls must not matter. */
    @Test
    void readIsAbandonedEvenIfAnEarlierCallCompletesFirst() {
        long early = leave();
        respond(early, FAILED, 1_000);
        long recovered = leave();
        read();
        respond(recovered, DONE, 3_000);
        assertThat(readResponses).singleElement().isInstanceOf(StoreResponse.Unknown.class);
    }

    @Test
    void writesAreNeverAbandoned() {
        long early = leave();
        long write = leave();
        respond(early, FAILED, 1_000);
        respond(leave(), DONE, 3_000);
        respond(write, DONE, 3_100);
        assertThat(leaveResponses).containsExactly(FAILED, DONE, DONE);
    }

    private long read() {
        calls.call(
                new StoreRequest.Read(PARTITION, 0, 1, 2_500),
                (response, nowMs, out) -> readResponses.add(response),
                new Effects());
        return ++lastNumber;
    }

    private long leave() {
        calls.call(
                new StoreRequest.Leave("group", "a"),
                (response, nowMs, out) -> leaveResponses.add(response),
                new Effects());
        return ++lastNumber;
    }

    private void respond(long number, StoreResponse response, long atMs) {
        calls.on(new Event.StoreResponded(number, response), atMs, new Effects());
    }
}
