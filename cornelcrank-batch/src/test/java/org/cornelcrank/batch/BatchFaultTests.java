package org.cornelcrank.batch;

import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.FileId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.fake.FakeCluster;
import org.cornelcrank.fake.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelcrank.batch.BatchScenario.NILAVU;

/**
 * Injects faults after each event of the complete course of a job, and checks that each item is recorded exactly once.
 *
 * <p>The owner is e1 or e2; the caller uses e3, which never fails.
 */
class BatchFaultTests {

    private static final PartitionId PARTITION = new PartitionId(FakeCluster.REGION, 0);
    private static final int ITEMS = 12;
    private static final int MAX_EVENTS = 2_000;
    private static final int PAIR_STEP = 9;

    @ParameterizedTest
    @EnumSource(Fault.class)
    void eachItemIsRecordedOnceWhicheverEventTheFaultFollows(Fault fault) {
        int event = 0;
        while (runWithFaults(List.of(fault), event, 0)) {
            event++;
            assertThat(event).isLessThan(MAX_EVENTS);
        }
        assertThat(event).as("events that the fault followed").isGreaterThan(50);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void eachItemIsRecordedOnceAfterTwoFaultsInShortSuccession(Fault first) {
        for (Fault second : Fault.values()) {
            int gap = 1 + (first.ordinal() * 7 + second.ordinal() * 3) % 13;
            int event = second.ordinal();
            while (runWithFaults(List.of(first, second), event, gap)) {
                event += PAIR_STEP;
            }
        }
    }

    /** Returns whether the run had an event of the given number. */
    private static boolean runWithFaults(List<Fault> faults, int event, int gap) {
        BatchFixture fixture = new BatchFixture(BatchSettings.defaults(), 1, "e1", "e2", "e3");
        FakeCluster cluster = fixture.cluster;
        int[] events = new int[1];
        cluster.afterEachEvent(() -> {
            int eventsSince = events[0]++ - event;
            for (int i = 0; i < faults.size(); i++) {
                if (eventsSince == i * gap) {
                    faults.get(i).inject(cluster, PARTITION, BatchMessage.Replied.class::isInstance);
                }
            }
        });
        try {
            runJob(fixture);
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError(faults + " after event " + event + " and " + gap + " later: " + e.getMessage(), e);
        }
        return events[0] > event;
    }

    private static void runJob(BatchFixture fixture) {
        FileId file = fixture.upload("e3", NILAVU, ITEMS, "d1");
        CreateJob create = BatchScenario.job(file, Optional.of("night"));
        JobInfo job = fixture.cluster.submitWithRetries("e3", NILAVU, create, JobInfo.class);
        JobInfo again = fixture.cluster.submitWithRetries("e3", NILAVU, create, JobInfo.class);
        assertThat(again.job()).isEqualTo(job.job());
        fixture.work(20, fixture::countAndEcho);
        JobInfo ended = fixture.info("e3", job.job());
        assertThat(ended.state()).isEqualTo(JobState.COMPLETED);
        assertThat(ended.completed()).isEqualTo(ITEMS);
        BatchScenario.assertEachItemOnce(fixture.results("e3", NILAVU, job.job()), ITEMS);
        assertThat(fixture.runs).hasSize(ITEMS);
    }
}
