package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.FileId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.fake.FakeCluster;
import org.cornelcrank.fake.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelcrank.batch.BatchFixture.NILAVU;

/**
 * Brings one fault about after each event of a job's whole path, and checks that each item is recorded once.
 *
 * <p>The owner is e1 at first; the caller stays with e3, which never fails.
 */
class BatchFaultTests {

    private static final PartitionId PARTITION = new PartitionId(FakeCluster.REGION, 0);
    private static final int ITEMS = 12;
    private static final int MAX_EVENTS = 2_000;

    @ParameterizedTest
    @EnumSource(Fault.class)
    void eachItemIsRecordedOnceWhateverTheEventThatTheFaultFollows(Fault fault) {
        int event = 0;
        while (runWithFaultAfter(fault, event)) {
            event++;
            assertThat(event).isLessThan(MAX_EVENTS);
        }
        assertThat(event).as("events that the fault followed").isGreaterThan(50);
    }

    /** Returns whether there was an event of that number. */
    private static boolean runWithFaultAfter(Fault fault, int event) {
        BatchFixture fixture = new BatchFixture(BatchSettings.defaults(), 1, "e1", "e2", "e3");
        FakeCluster cluster = fixture.cluster;
        int[] events = new int[1];
        cluster.afterEachEvent(() -> {
            if (events[0]++ == event) {
                fault.strike(cluster, PARTITION, BatchMessage.Answered.class::isInstance);
            }
        });
        try {
            FileId file = fixture.upload("e3", NILAVU, ITEMS, "d1");
            JobInfo job = cluster.askAgain("e3", NILAVU, BatchFixture.job(file, Optional.of("night")), JobInfo.class);
            JobInfo again = cluster.askAgain("e3", NILAVU, BatchFixture.job(file, Optional.of("night")), JobInfo.class);
            assertThat(again.job()).isEqualTo(job.job());
            fixture.work(20, fixture::countAndEcho);
            JobInfo ended = fixture.info("e3", job.job());
            assertThat(ended.state()).isEqualTo(JobState.COMPLETED);
            assertThat(ended.completed()).isEqualTo(ITEMS);
            BatchFixture.assertEachOnce(fixture.results("e3", NILAVU, job.job()), ITEMS);
            assertThat(fixture.runs).hasSize(ITEMS);
        } catch (AssertionError e) {
            throw new AssertionError(fault + " after event " + event + ": " + e.getMessage(), e);
        }
        return events[0] > event;
    }
}
