package org.cornelcrank.batch;

import java.util.List;

import org.cornelcrank.core.FileId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelcrank.batch.BatchFixture.NILAVU;

class BatchDutyTests {

    private final BatchFixture fixture = new BatchFixture("e1", "e2", "e3");

    @Test
    void jobRunsEachItemOnceAndItsResultsAreReadableFromAnyDaemon() {
        FileId file = fixture.upload("e1", NILAVU, 250, "d1");
        JobInfo job = fixture.create("e2", NILAVU, file);

        fixture.work(80, fixture::countAndEcho);

        JobInfo ended = fixture.info("e3", job.job());
        assertThat(ended.state()).isEqualTo(JobState.COMPLETED);
        assertThat(ended.completed()).isEqualTo(250);
        assertThat(fixture.runs.values()).hasSize(250).containsOnly(1);
        for (String host : List.of("e1", "e2", "e3")) {
            BatchFixture.assertEachOnce(fixture.results(host, NILAVU, job.job()), 250);
        }
    }
}
