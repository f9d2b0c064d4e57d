package org.cornelcrank.store;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGeneratorFactory;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.TopicPartition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Follows a partition, with the responses of the store played by the test. */
class KeyedTopicFollowerTests {

    private static final TopicPartition PARTITION = new TopicPartition("topic", 0);
    private static final TimerKey TIMER = new TimerKey("owner", "follow");

    private final StoreCalls store = new StoreCalls();
    private final Recorder recorder = new Recorder();
    private final KeyedTopicFollower follower = new KeyedTopicFollower(
            PARTITION,
            TIMER,
            KeyedTopicFollower.Times.immediate(1_000),
            store,
            RandomGeneratorFactory.of("L64X128MixRandom").create(1),
            recorder);
    private final List<Effect> effects = new ArrayList<>();
    private long nowMs = 1_000;

    /** Guards against a partition that is no longer followed because one record cannot be handled. */
    @Test
    void recordThatTheListenerFailsToHandleIsSkipped() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0), record("odd", 1), record("b", 2)), false, 3));
        respond(new StoreResponse.Records(List.of(record("odd", 3), record("c", 4)), 5, 5));
        respond(new StoreResponse.Records(List.of(record("d", 5)), 6, 6));
        assertThat(recorder.put).containsExactly("a", "b", "c", "d");
        assertThat(lastRequest()).isEqualTo(new StoreRequest.Read(PARTITION, 6, 1_024, 1_000));
        assertThat(effects).filteredOn(Effect.HandlingFailed.class::isInstance).hasSize(2);
    }

    /** Guards against records that are read before their owner is ready for them. */
    @Test
    void timerBeforeTheStartOrAfterTheStopReadsNothing() {
        Effects out = new Effects();
        follower.timerDue(nowMs, out);
        assertThat(out.list()).isEmpty();
        start();
        follower.stop();
        follower.timerDue(nowMs, out);
        assertThat(out.list()).isEmpty();
    }

    @Test
    void followerOnASlowLinkReadsLessAfterAReadThatHasTakenTooLong() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 1));
        assertThat(readKilobytes()).isEqualTo(1_024);
        fail(new StoreResponse.Unknown("no response"));
        assertThat(readKilobytes()).isEqualTo(512);
        fail(new StoreResponse.Unknown("no response"));
        fail(new StoreResponse.Unknown("no response"));
        assertThat(readKilobytes()).isEqualTo(320);
        fail(new StoreResponse.NotDone("status 503"));
        assertThat(readKilobytes()).isEqualTo(320);
        respond(new StoreResponse.Records(List.of(record("b", 1)), 2, 4));
        assertThat(readKilobytes()).isEqualTo(640);
        respond(new StoreResponse.Records(List.of(record("c", 2), record("d", 3)), 4, 4));
        assertThat(readKilobytes()).isEqualTo(1_024);
    }

    /** Guards against records that are appended while the partition is loaded and never read. */
    @Test
    void firstPageThatHasNotArrivedAsAWholeIsReadAgain() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), true, -1));
        respond(new StoreResponse.Newest(List.of(), false, 9));
        assertThat(lastRequest()).isEqualTo(new StoreRequest.ReadNewest(PARTITION, ""));
        respond(new StoreResponse.Newest(List.of(record("a", 0), record("b", 1)), true, 10));
        respond(new StoreResponse.Newest(List.of(record("c", 2)), true, -1));
        assertThat(lastRequest()).isEqualTo(new StoreRequest.ReadNewest(PARTITION, "c"));
        respond(new StoreResponse.Newest(List.of(record("d", 3)), false, 12));
        assertThat(recorder.put).containsExactly("a", "b", "c", "d");
        assertThat(lastRequest()).isEqualTo(new StoreRequest.Read(PARTITION, 9, 1_024, 1_000));
    }

    /** Guards against a load that begins the same page again, and never ends, on a link too slow for a whole page. */
    @Test
    void loadWhosePagesAllArriveInPartGoesOnBehindThem() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), true, -1));
        assertThat(lastRequest()).isEqualTo(new StoreRequest.ReadNewest(PARTITION, "~"));
        fail(new StoreResponse.NotDone("status 429"));
        assertThat(lastRequest()).isEqualTo(new StoreRequest.ReadNewest(PARTITION, "~"));
        respond(new StoreResponse.Newest(List.of(), false, 9));
        respond(new StoreResponse.Newest(List.of(record("a", 0)), true, -1));
        assertThat(lastRequest()).isEqualTo(new StoreRequest.ReadNewest(PARTITION, "a"));
        fail(new StoreResponse.Unknown("no response"));
        respond(new StoreResponse.Newest(List.of(record("b", 1)), true, -1));
        respond(new StoreResponse.Newest(List.of(), false, 10));
        assertThat(recorder.put).containsExactly("a", "b");
        assertThat(lastRequest()).isEqualTo(new StoreRequest.Read(PARTITION, 9, 1_024, 1_000));
    }

    /** Guards against a link and a store that are filled with pages by followers whose reads are behind them. */
    @Test
    void followerWhoseReadsAreBehindItsPagesLoadsAgainOnlyAfterGrowingPauses() {
        start();
        int pages = 0;
        while (nowMs < 4_000) {
            nowMs += 4;
            pages += lastRequest() instanceof StoreRequest.ReadNewest ? 1 : 0;
            int calls = calls().size();
            respond(
                    lastRequest() instanceof StoreRequest.ReadNewest
                            ? new StoreResponse.Newest(List.of(record("a", 0)), false, 10)
                            : new StoreResponse.Records(List.of(), 8, 8));
            if (calls().size() == calls) {
                Effects out = new Effects();
                nowMs = lastTimerMs();
                follower.timerDue(nowMs, out);
                effects.addAll(out.list());
            }
        }
        assertThat(pages).isLessThan(20);
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 10));
        respond(new StoreResponse.Records(List.of(record("b", 10)), 11, 11));
        assertThat(lastRequest()).isEqualTo(new StoreRequest.Read(PARTITION, 11, 1_024, 1_000));
    }

    /** Guards against jobs that an owner forgets, as the page of a later load was older than what it had read. */
    @Test
    void recordBehindTheEndOfAPageIsNotDropped() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0), record("gone", 1)), false, 2));
        respond(new StoreResponse.Records(List.of(record("b", 2)), 3, 3));
        fail(new StoreResponse.Expired(3));
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 2));
        assertThat(recorder.put).contains("b").doesNotContain("gone");
        assertThat(lastRequest()).isEqualTo(new StoreRequest.Read(PARTITION, 2, 1_024, 1_000));
    }

    /** Guards against a belief that is as old as the read which waits for the next change. */
    @Test
    void confirmationReadsToTheEndBesideTheReadThatWaits() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 1));
        Effect.CallStore waiting = lastCall();
        nowMs += 700;
        final long confirmedSinceMs = nowMs;
        confirm();
        assertThat(lastRequest()).isEqualTo(new StoreRequest.Read(PARTITION, 1, 1_024, 0));
        respond(new StoreResponse.Records(List.of(record("b", 1)), 2, 2));
        assertThat(follower.confirmedAsOfMs()).isEqualTo(confirmedSinceMs);
        respond(waiting, new StoreResponse.Records(List.of(record("b", 1)), 2, 2));
        assertThat(recorder.put).containsExactly("a", "b");
        assertThat(follower.confirmedAsOfMs()).isEqualTo(confirmedSinceMs);
        assertThat(lastRequest()).isEqualTo(new StoreRequest.Read(PARTITION, 2, 1_024, 1_000));
    }

    /** Guards against a response that proves nothing about what was appended after its read was sent. */
    @Test
    void confirmationRequestedDuringAnotherOneIsServedByAReadBehindIt() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 1));
        confirm();
        int calls = calls().size();
        nowMs += 5;
        final long secondAtMs = nowMs;
        confirm();
        assertThat(calls()).hasSize(calls);
        respond(new StoreResponse.Records(List.of(), 1, 1));
        assertThat(follower.confirmedAsOfMs()).isLessThan(secondAtMs);
        nowMs = lastTimerMs();
        confirmationDue();
        assertThat(calls()).hasSize(calls + 1);
        respond(new StoreResponse.Records(List.of(), 1, 1));
        assertThat(follower.confirmedAsOfMs()).isGreaterThanOrEqualTo(secondAtMs);
        assertThat(calls()).hasSize(calls + 1);
    }

    @Test
    void confirmationThatFailsIsReportedAndConfirmsNothing() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 1));
        nowMs += 700;
        confirm();
        respond(new StoreResponse.NotDone("status 503"));
        assertThat(recorder.unconfirmed).isEqualTo(1);
        assertThat(follower.confirmedAsOfMs()).isLessThan(nowMs - 700);
    }

    /** Guards against a confirmation by records that were loaded anew, between which others may have come and gone. */
    @Test
    void laterLoadIsReportedBeforeItsEndConfirmsAnything() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 1));
        assertThat(recorder.reloads).isZero();
        fail(new StoreResponse.Expired(7));
        nowMs += 10;
        confirm();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 8));
        assertThat(recorder.reloads).isEqualTo(1);
        assertThat(follower.confirmedAsOfMs()).isLessThan(nowMs - 1);
        assertThat(lastRequest()).isEqualTo(new StoreRequest.Read(PARTITION, 8, 1_024, 0));
    }

    /** Guards against a load, and the gap that it states, each time that a confirmation overtakes the read that waits. */
    @Test
    void readThatAConfirmationHasOvertakenIsNotALossOfRecords() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 1));
        Effect.CallStore waiting = lastCall();
        confirm();
        respond(new StoreResponse.Records(List.of(record("b", 1), record("c", 2)), 3, 3));
        respond(waiting, new StoreResponse.Records(List.of(record("b", 1)), 2, 2));
        Effects out = new Effects();
        follower.timerDue(nowMs + 1_000, out);
        effects.addAll(out.list());
        assertThat(recorder.put).containsExactly("a", "b", "c");
        assertThat(lastRequest()).isEqualTo(new StoreRequest.Read(PARTITION, 3, 1_024, 1_000));
    }

    /** Guards against streams that are refused because a change was read while the confirmation was on its way. */
    @Test
    void confirmationThatTheReadThatWaitsHasOvertakenStillConfirms() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 1));
        final Effect.CallStore waiting = lastCall();
        nowMs += 700;
        final long confirmedSinceMs = nowMs;
        confirm();
        final Effect.CallStore confirmation = lastCall();
        respond(waiting, new StoreResponse.Records(List.of(record("b", 1)), 2, 2));
        respond(confirmation, new StoreResponse.Records(List.of(), 1, 1));
        assertThat(recorder.unconfirmed).isZero();
        assertThat(follower.confirmedAsOfMs()).isGreaterThanOrEqualTo(confirmedSinceMs);
    }

    /** Guards against daemons that together exceed the rate at which the store may be read, as all streams are taken up. */
    @Test
    void manyRequestsForAConfirmationCostFewReads() {
        start();
        respond(new StoreResponse.Newest(List.of(record("a", 0)), false, 1));
        int before = calls().size();
        long untilMs = nowMs + 1_000;
        while (nowMs < untilMs) {
            confirm();
            nowMs += 4;
            if (lastRequest() instanceof StoreRequest.Read read && read.waitMs() == 0) {
                respond(new StoreResponse.Records(List.of(), 1, 1));
            }
        }
        assertThat(calls().size() - before).isLessThanOrEqualTo(20);
    }

    private void confirmationDue() {
        Effects out = new Effects();
        assertThat(follower.confirmationDue(new TimerKey("owner", "follow/confirm"), nowMs, out))
                .isTrue();
        effects.addAll(out.list());
    }

    private void confirm() {
        Effects out = new Effects();
        follower.confirm(nowMs, out);
        effects.addAll(out.list());
    }

    private long lastTimerMs() {
        return effects.stream()
                .filter(Effect.Schedule.class::isInstance)
                .mapToLong(effect -> ((Effect.Schedule) effect).dueAtMs())
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }

    private int readKilobytes() {
        return ((StoreRequest.Read) lastRequest()).maxKilobytes();
    }

    private void fail(StoreResponse response) {
        respond(response);
        Effects out = new Effects();
        nowMs += 1_000;
        follower.timerDue(nowMs, out);
        effects.addAll(out.list());
    }

    private void start() {
        Effects out = new Effects();
        follower.start(nowMs, out);
        effects.addAll(out.list());
    }

    private void respond(StoreResponse response) {
        respond(lastCall(), response);
    }

    private void respond(Effect.CallStore call, StoreResponse response) {
        Effects out = new Effects();
        store.on(new Event.StoreResponded(call.number(), response), ++nowMs, out);
        effects.addAll(out.list());
    }

    private StoreRequest lastRequest() {
        return lastCall().request();
    }

    private Effect.CallStore lastCall() {
        return calls().get(calls().size() - 1);
    }

    private List<Effect.CallStore> calls() {
        return effects.stream()
                .filter(Effect.CallStore.class::isInstance)
                .map(Effect.CallStore.class::cast)
                .toList();
    }

    private static StoreResponse.StoredRecord record(String key, long offset) {
        return new StoreResponse.StoredRecord(key, ByteString.copyFromUtf8("value"), offset);
    }

    /** Records the keys that it receives, and fails on one of them. */
    private static final class Recorder implements KeyedTopicFollower.Listener {

        private final List<String> put = new ArrayList<>();
        private int unconfirmed;
        private int reloads;

        @Override
        public void put(StoreResponse.StoredRecord record, long nowMs, Effects out) {
            if (record.key().equals("odd")) {
                throw new IllegalArgumentException("made to fail");
            }
            put.add(record.key());
        }

        @Override
        public void dropped(String key, long nowMs, Effects out) {
            put.remove(key);
        }

        @Override
        public void unconfirmed(long sentAtMs, long nowMs, Effects out) {
            unconfirmed++;
        }

        @Override
        public void reloaded(long nowMs, Effects out) {
            reloads++;
        }
    }
}
