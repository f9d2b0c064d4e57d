package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.RecordPosition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the memory that the largest jobs use at their owner, computed from the sizes of its data structures. */
class BatchMemoryTests {

    private static final FileId FILE = new FileId("file-zapad.0-1");
    private static final JobId JOB = new JobId("job-zapad.0-1");
    private static final TeamPath TEAM = new TeamPath("/nilavu");
    private static final int ITEMS = 870_000;
    private static final int LINES_PER_RECORD = 500;
    private static final long MAX_JOB_BYTES = 400_000;

    private final BatchPartitionState state = new BatchPartitionState();
    private long offset;

    @Test
    void jobOf870000ItemsTakesAtMostFourHundredKilobytes() {
        openJob();
        int perRecord = BatchSettings.defaults().maxResultsPerRecord();
        for (int from = 0; from < ITEMS; from += perRecord) {
            apply(BatchRecords.itemsFinished(JOB, results(from, Math.min(perRecord, ITEMS - from))));
        }
        StoredJob job = state.job(JOB).orElseThrow();
        long filePages = state.file(FILE).orElseThrow().pages().allocatedBytes();

        assertThat(job.state()).isEqualTo(JobState.COMPLETED);
        assertThat(job.allocatedBytes() + filePages).isBetween(ITEMS / 8L, MAX_JOB_BYTES);
        assertThat(state.checkpoint().stream().mapToLong(ByteString::size).sum())
                .isLessThan(MAX_JOB_BYTES);
        assertThat(state.checkpoint()).allMatch(payload -> payload.size() <= 256 * 1024);
    }

    @Test
    void linesInMemoryAreBoundedForAllJobsTogether() {
        int maxWindowBytes = 40_000;
        BatchFixture fixture = new BatchFixture(BatchScenario.withWindowBytes(maxWindowBytes), 1, "e1", "e2");
        FileId file = fixture.upload("e1", BatchScenario.NILAVU, 2_000, "d1");
        for (int i = 0; i < 20; i++) {
            CreateJob create = BatchScenario.job(file, Optional.of("key-" + i));
            fixture.cluster.submitWithRetries("e1", BatchScenario.NILAVU, create, JobInfo.class);
        }
        FakeCapacity capacity = fixture.capacity("e1");
        int atStart = capacity.runnable();
        fixture.work(300, fixture::countAndEcho);

        ItemLine line = ItemLine.parse(BatchScenario.line(1_000)).orElseThrow();
        int itemBytes = new WaitingItem(0, line, 0, 0).bytes();
        int maxBytes = maxWindowBytes + (1 + 20) * itemBytes;
        assertThat(capacity.demands).hasSize(20);
        assertThat(atStart * itemBytes).isBetween(maxWindowBytes / 2, maxBytes);
        assertThat(capacity.runnable() * itemBytes).isBetween(maxWindowBytes / 4, maxBytes);
        assertThat(capacity.demands.values()).allMatch(demand -> demand.runnable() > 0);
    }

    private void openJob() {
        apply(BatchRecords.fileOpened(FILE, TEAM, new OpenFile("a", Optional.empty(), "h")));
        for (int from = 0; from < ITEMS; from += LINES_PER_RECORD) {
            List<ByteString> lines = BatchScenario.lines(from, Math.min(LINES_PER_RECORD, ITEMS - from));
            apply(BatchRecords.itemsAdded(new AddItems(FILE, from, lines), "stav-app"));
        }
        apply(BatchRecords.fileSealed(new SealFile(FILE, ITEMS, "d")));
        apply(BatchRecords.jobOpened(
                JOB, TEAM, new CreateJob(FILE, BatchScenario.ENDPOINT, Optional.empty(), 5, Map.of())));
    }

    private void apply(DurableRecord record) {
        state.apply(record, new RecordPosition(offset++, 0), offset);
    }

    private static List<ResultLine> results(int from, int count) {
        List<ResultLine> lines = new ArrayList<>();
        for (int item = from; item < from + count; item++) {
            lines.add(new ResultLine(item, "c" + item, 200, ByteString.EMPTY, Optional.empty(), ""));
        }
        return lines;
    }
}
