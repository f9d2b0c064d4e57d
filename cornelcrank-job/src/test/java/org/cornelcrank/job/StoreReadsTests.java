package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.store.StoreCalls;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreReadsTests {

    private static final long PATIENCE_MS = 1_500;
    private static final StoreResponse EMPTY = new StoreResponse.Newest(List.of(), false, -1);
    private static final StoreResponse NO_RESPONSE = new StoreResponse.Unknown("no response");

    private final StoreCalls calls = new StoreCalls();
    private final StoreReads reads = new StoreReads(calls);
    private final Effects out = new Effects();
    private final Map<RequestId, CallerReply> replies = new HashMap<>();
    private long lastRequest;

    @Test
    void callersOfTheSameReadShareIt() {
        RequestId first = read("job-1", PATIENCE_MS, 0);
        RequestId second = read("job-1", PATIENCE_MS, 1);
        assertThat(callNumbers()).hasSize(1);
        respond(callNumbers().get(0), NO_RESPONSE, 100);
        assertThat(replies).containsOnlyKeys(first, second);
    }

    @Test
    void readGoesOnWhenOneOfItsCallersLeaves() {
        RequestId first = read("job-1", PATIENCE_MS, 0);
        RequestId second = read("job-1", PATIENCE_MS, 1);
        reads.remove(first, 50, out);
        assertThat(cancelledCalls()).isEmpty();
        respond(callNumbers().get(0), NO_RESPONSE, 100);
        assertThat(replies).containsOnlyKeys(second);
    }

    @Test
    void readWhoseLastCallerLeavesIsCancelledAndFreesItsSlotAtOnce() {
        RequestId first = read("job-1", PATIENCE_MS, 0);
        read("job-2", PATIENCE_MS, 0);
        read("job-3", PATIENCE_MS, 0);
        assertThat(callNumbers()).hasSize(2);
        reads.remove(first, 50, out);
        assertThat(cancelledCalls()).containsExactly(callNumbers().get(0));
        assertThat(callNumbers()).hasSize(3);
        respond(callNumbers().get(0), NO_RESPONSE, 60);
        assertThat(replies).isEmpty();
    }

    @Test
    void callerThatLeavesBetweenTwoCallsOfAReadEndsTheSecondOne() {
        RequestId first = read("job-1", PATIENCE_MS, 0);
        respond(callNumbers().get(0), EMPTY, 10);
        assertThat(callNumbers()).hasSize(2);
        reads.remove(first, 20, out);
        assertThat(cancelledCalls()).containsExactly(callNumbers().get(1));
        assertThat(calls.openCallCount()).isZero();
    }

    @Test
    void readThatWouldEndAfterItsDeadlineIsRefusedAtOnce() {
        read("job-1", PATIENCE_MS, 0);
        read("job-2", PATIENCE_MS, 0);
        RequestId hurried = read("job-3", 150, 0);
        assertThat(code(hurried)).isEqualTo(RefusalCode.STORE_UNAVAILABLE);
        assertThat(callNumbers()).hasSize(2);
    }

    @Test
    void readsWithoutResponsesDoNotEndTheUseOfAnIdleStore() {
        for (int i = 0; i < 4; i++) {
            read("job-" + i, 3_500, i * 10_000);
            respond(callNumbers().get(i), NO_RESPONSE, i * 10_000 + 2_500);
        }
        RequestId later = read("later", PATIENCE_MS, 60_000);
        assertThat(replies).doesNotContainKey(later);
        assertThat(callNumbers()).hasSize(5);
    }

    @Test
    void readsThatOutlastTheirCallersCountAsSlowForThoseBehindThem() {
        for (int i = 0; i < 8; i++) {
            RequestId left = read("job-" + i, PATIENCE_MS, i * 2_000);
            reads.remove(left, i * 2_000 + PATIENCE_MS, out);
        }
        read("running-1", PATIENCE_MS, 60_000);
        read("running-2", PATIENCE_MS, 60_000);
        assertThat(code(read("behind", PATIENCE_MS, 60_000))).isEqualTo(RefusalCode.STORE_UNAVAILABLE);
    }

    /** Guards against callers that are refused for long because of reads that hung before the store was sound again. */
    @Test
    void allCallersAreServedWithinASecondOnceTheStoreIsSoundAgain() {
        for (int i = 0; i < 16; i++) {
            RequestId left = read("hung-" + i, PATIENCE_MS, i / 2 * 2_500);
            reads.remove(left, i / 2 * 2_500 + 2_500, out);
        }
        List<String> unserved = new ArrayList<>(List.of("a", "b", "c", "d", "e", "f", "g", "h"));
        Map<String, RequestId> waiting = new HashMap<>();
        Map<String, Long> retryAtMs = new HashMap<>();
        int responded = callNumbers().size();
        for (long nowMs = 60_000; nowMs < 61_000; nowMs += 10) {
            for (String job : List.copyOf(unserved)) {
                CallerReply reply = waiting.containsKey(job) ? replies.get(waiting.get(job)) : null;
                if (reply instanceof JobPage) {
                    unserved.remove(job);
                } else if (reply instanceof Refusal refusal) {
                    waiting.remove(job);
                    retryAtMs.put(job, nowMs + refusal.retryAfterMs());
                }
                if (unserved.contains(job) && !waiting.containsKey(job) && retryAtMs.getOrDefault(job, 0L) <= nowMs) {
                    waiting.put(job, read(job, PATIENCE_MS, nowMs));
                }
            }
            List<Long> calls = callNumbers();
            for (int i = responded; i < calls.size(); i++) {
                respond(calls.get(i), head(jobOf(calls.get(i)), 7), nowMs + 10);
            }
            responded = calls.size();
        }
        assertThat(unserved).isEmpty();
    }

    private String jobOf(long number) {
        String afterKey = out.list().stream()
                .filter(effect -> effect instanceof Effect.CallStore call && call.number() == number)
                .map(effect -> ((StoreRequest.ReadNewest) ((Effect.CallStore) effect).request()).afterKey())
                .findFirst()
                .orElseThrow();
        return afterKey.substring(0, afterKey.indexOf('/'));
    }

    @Test
    void readThatCannotMeetItsDeadlineTakesNoSlotFromOneThatCan() {
        read("running-1", PATIENCE_MS, 0);
        read("running-2", PATIENCE_MS, 0);
        RequestId tooLate = read("too-late", 1_000, 0);
        RequestId inTime = read("in-time", PATIENCE_MS, 0);
        respond(callNumbers().get(0), NO_RESPONSE, 990);
        assertThat(code(tooLate)).isEqualTo(RefusalCode.STORE_UNAVAILABLE);
        assertThat(callNumbers()).hasSize(3);
        respond(callNumbers().get(2), NO_RESPONSE, 1_100);
        assertThat(replies).containsKey(inTime);
    }

    @Test
    void callerThatJoinsARunningReadIsNotToldThatAJobIsMissingWhichWasAcceptedMeanwhile() {
        RequestId early = read("job-1", PATIENCE_MS, 0);
        respond(callNumbers().get(0), EMPTY, 10);
        respond(callNumbers().get(1), EMPTY, 20);
        RequestId afterAcceptance = read("job-1", PATIENCE_MS, 25);
        respond(callNumbers().get(2), EMPTY, 30);
        assertThat(code(early)).isEqualTo(RefusalCode.NOT_FOUND);
        assertThat(replies).doesNotContainKey(afterAcceptance);
        respond(callNumbers().get(3), EMPTY, 40);
        respond(callNumbers().get(4), head("job-1", 7), 50);
        assertThat(replies.get(afterAcceptance)).isEqualTo(new JobPage(7, 0, List.of()));
    }

    private static StoreResponse head(String job, int items) {
        JobContent content = VirtualJobs.job(job, items, 0).content();
        var head = JobRecords.encode(new JobId(job), content, 262_144).get(0);
        return new StoreResponse.Newest(
                List.of(new StoreResponse.StoredRecord(head.key(), head.value(), 0)), false, -1);
    }

    private RequestId read(String job, long patienceMs, long nowMs) {
        RequestId reader = new RequestId(new HostId("host"), 1, ++lastRequest);
        JobMessage.ReadRequest request =
                new JobMessage.ReadRequest(new CorrelationId(1, lastRequest), new JobId(job), 0, 0, Optional.empty());
        reads.read(
                reader,
                request,
                0,
                nowMs + patienceMs,
                (reply, atMs, effects) -> assertThat(replies.put(reader, reply))
                        .as("earlier reply")
                        .isNull(),
                nowMs,
                out);
        return reader;
    }

    private List<Long> callNumbers() {
        List<Long> numbers = new ArrayList<>();
        for (Effect effect : out.list()) {
            if (effect instanceof Effect.CallStore call) {
                numbers.add(call.number());
            }
        }
        return numbers;
    }

    private List<Long> cancelledCalls() {
        List<Long> numbers = new ArrayList<>();
        for (Effect effect : out.list()) {
            if (effect instanceof Effect.CancelStoreCall cancel) {
                numbers.add(cancel.number());
            }
        }
        return numbers;
    }

    private void respond(long call, StoreResponse response, long atMs) {
        calls.on(new Event.StoreResponded(call, response), atMs, out);
    }

    private RefusalCode code(RequestId reader) {
        return replies.get(reader) instanceof Refusal refusal ? refusal.code() : null;
    }
}
