package org.cornelcrank.store;

import java.util.ArrayList;
import java.util.List;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TopicPartition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreCallsTests {

    private static final TopicPartition AT = new TopicPartition("routes", 0);
    private static final StoreResponse FAILED = new StoreResponse.Unknown("no answer");
    private static final StoreResponse ANSWERED = new StoreResponse.Done();

    private final StoreCalls calls = new StoreCalls();
    private final List<StoreResponse> toReader = new ArrayList<>();
    private final List<StoreResponse> toWriter = new ArrayList<>();
    private long lastNumber;

    /** Load: a store that is silent for seconds; a read from its last moment hangs until its own time is over. */
    @Test
    void aReadFromAnOutageIsGivenUpOnceTheStoreAnswersAgain() {
        long early = leave();
        long read = read();
        answer(early, FAILED, 1_000);
        answer(leave(), ANSWERED, 3_000);
        assertThat(toReader).singleElement().isInstanceOf(StoreResponse.Unknown.class);
        answer(read, new StoreResponse.Records(List.of(), 0, 0), 4_000);
        assertThat(toReader).hasSize(1);
    }

    @Test
    void aReadThatWaitsInCalmIsLeftToWait() {
        long early = leave();
        read();
        answer(early, FAILED, 1_000);
        answer(leave(), ANSWERED, 1_500);
        assertThat(toReader).isEmpty();
    }

    /** A call from before may be the first that is answered, so that the order of the calls says nothing. */
    @Test
    void aReadIsGivenUpAlsoWhereAnEarlierCallIsAnsweredFirst() {
        long early = leave();
        answer(early, FAILED, 1_000);
        long back = leave();
        read();
        answer(back, ANSWERED, 3_000);
        assertThat(toReader).singleElement().isInstanceOf(StoreResponse.Unknown.class);
    }

    @Test
    void whatWritesIsLeftToEnd() {
        long early = leave();
        long write = leave();
        answer(early, FAILED, 1_000);
        answer(leave(), ANSWERED, 3_000);
        answer(write, ANSWERED, 3_100);
        assertThat(toWriter).containsExactly(FAILED, ANSWERED, ANSWERED);
    }

    private long read() {
        calls.call(new StoreRequest.Read(AT, 0, 1, 2_500), (answer, nowMs, out) -> toReader.add(answer), new Effects());
        return ++lastNumber;
    }

    private long leave() {
        calls.call(new StoreRequest.Leave("group", "a"), (answer, nowMs, out) -> toWriter.add(answer), new Effects());
        return ++lastNumber;
    }

    private void answer(long number, StoreResponse answer, long atMs) {
        calls.on(new Event.StoreResponded(number, answer), atMs, new Effects());
    }
}
