package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.fake.FakeCluster;
import org.cornelcrank.fake.LogCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelcrank.batch.BatchScenario.NILAVU;

/** Runs batch jobs over the real partition state machine, with faults of the log and the daemons. */
class BatchOverLogTests {

    private static final PartitionId PARTITION = new PartitionId(FakeCluster.REGION, 0);
    private static final int ITEMS = 12;

    @ParameterizedTest
    @EnumSource(LogCluster.AppendFault.class)
    void eachItemIsRecordedOnceWhicheverAppendFails(LogCluster.AppendFault fault) {
        int append = 0;
        int appends = Integer.MAX_VALUE;
        while (append < appends) {
            LogBatchFixture fixture = new LogBatchFixture(1, "e1", "e2", "e3");
            int base = fixture.cluster.appends();
            int failing = append;
            fixture.cluster.appendFaults(number -> number - base == failing ? fault : LogCluster.AppendFault.NONE);
            runJob(fixture, "e3", fault + " at append " + append);
            appends = fixture.cluster.appends() - base;
            append++;
        }
        assertThat(append).isGreaterThan(5);
    }

    @Test
    void eachItemIsRecordedOnceWheneverTheOwnerCrashes() {
        for (int crashAtMs = 0; crashAtMs < 6_000; crashAtMs += 150) {
            LogBatchFixture fixture = new LogBatchFixture(1, "e1", "e2", "e3");
            String owner = fixture.cluster.owner(PARTITION).orElseThrow();
            fixture.cluster.after(crashAtMs, () -> fixture.cluster.crash(owner));
            runJob(fixture, another(owner), "crash after " + crashAtMs + " ms");
        }
    }

    @Test
    void eachItemIsRecordedOnceWheneverTheOwnerIsPaused() {
        for (int pauseAtMs = 0; pauseAtMs < 6_000; pauseAtMs += 150) {
            LogBatchFixture fixture = new LogBatchFixture(1, "e1", "e2", "e3");
            String owner = fixture.cluster.owner(PARTITION).orElseThrow();
            fixture.cluster.after(pauseAtMs, () -> fixture.cluster.pause(owner, 9_000));
            runJob(fixture, another(owner), "pause after " + pauseAtMs + " ms");
        }
    }

    @Test
    void plannedStopOfTheOwnerHandsItsJobsOver() {
        for (int stopAtMs = 0; stopAtMs < 6_000; stopAtMs += 500) {
            LogBatchFixture fixture = new LogBatchFixture(1, "e1", "e2", "e3");
            String owner = fixture.cluster.owner(PARTITION).orElseThrow();
            fixture.cluster.after(stopAtMs, () -> fixture.cluster.stop(owner));
            runJob(fixture, another(owner), "stop after " + stopAtMs + " ms");
        }
    }

    @Test
    void eachItemIsRecordedOnceDespiteALogOutage() {
        for (int outAtMs = 0; outAtMs < 6_000; outAtMs += 500) {
            LogBatchFixture fixture = new LogBatchFixture(1, "e1", "e2", "e3");
            fixture.cluster.after(outAtMs, () -> fixture.cluster.outage(true));
            fixture.cluster.after(outAtMs + 20_000, () -> fixture.cluster.outage(false));
            runJob(fixture, "e3", "outage after " + outAtMs + " ms");
        }
    }

    @Test
    void itemsOfALostOwnerRunElsewhereWithinFiveSeconds() {
        LogBatchFixture fixture = new LogBatchFixture(1, "e1", "e2", "e3");
        String owner = fixture.cluster.owner(PARTITION).orElseThrow();
        String entry = another(owner);
        JobId job = fixture.create(entry, NILAVU, fixture.upload(entry, NILAVU, ITEMS, "d1"))
                .job();
        fixture.cluster.crash(owner);
        fixture.capacities.remove(owner);
        long lostAtMs = fixture.cluster.nowMs();
        while (fixture.capacities.values().stream().allMatch(capacity -> capacity.runnable() == 0)) {
            fixture.cluster.advance(10);
            assertThat(fixture.cluster.nowMs() - lostAtMs).isLessThan(5_000);
        }
        assertThat(job).isNotNull();
    }

    private static String another(String owner) {
        return owner.equals("e3") ? "e1" : "e3";
    }

    private static void runJob(LogBatchFixture fixture, String entry, String fault) {
        try {
            FileId file = fixture.upload(entry, NILAVU, ITEMS, "d1");
            CreateJob create = BatchScenario.job(file, Optional.of("night"));
            JobId job = fixture.cluster
                    .submitWithRetries(entry, NILAVU, create, JobInfo.class)
                    .job();
            for (int round = 0; round < 200 && fixture.info(entry, job).state() == JobState.IN_PROGRESS; round++) {
                fixture.work(1, fixture::countAndEcho);
            }
            assertThat(fixture.info(entry, job).state()).isEqualTo(JobState.COMPLETED);
            BatchScenario.assertEachItemOnce(fixture.results(entry, NILAVU, job), ITEMS);
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError(fault + ": " + e.getMessage(), e);
        }
    }
}
