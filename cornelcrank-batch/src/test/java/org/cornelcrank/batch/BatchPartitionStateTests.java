package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.cornelcrank.batch.wire.BatchRecord;
import org.cornelcrank.batch.wire.ItemResult;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.RecordPosition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Applies generated histories of records to the state, and compares it with a simple model that stores every result.
 */
class BatchPartitionStateTests {

    private static final FileId FILE = new FileId("file-zapad.0-1");
    private static final JobId JOB = new JobId("job-zapad.0-1");
    private static final TeamPath TEAM = new TeamPath("/nilavu");
    private static final int ITEMS = 9;

    @Property(seed = "4711", tries = 400)
    void firstResultOfAnItemIsKeptAndNoneIsAddedAfterCancellation(@ForAll("histories") List<DurableRecord> history) {
        Run run = new Run();
        history.forEach(run::apply);

        StoredJob job = run.state.job(JOB).orElseThrow();
        assertThat(job.terms().total() - job.remaining()).isEqualTo(run.model.size());
        assertThat(job.info(0).failed()).isEqualTo((int)
                run.model.values().stream().filter(ItemResult::hasErrorCode).count());
        assertThat(job.state()).isEqualTo(run.expectedState());
        run.model.forEach(
                (item, result) -> assertThat(run.firstResult(job, item)).isEqualTo(result));
    }

    @Property(seed = "4712", tries = 200)
    void restoredStateAppliesFurtherRecordsLikeTheOriginal(
            @ForAll("histories") List<DurableRecord> history, @ForAll int splitSeed) {
        int split = Math.floorMod(splitSeed, history.size() + 1);
        Run original = new Run();
        history.subList(0, split).forEach(original::apply);
        Run restored = new Run();
        restored.state.restore(original.state.checkpoint());
        restored.offset = original.offset;

        history.subList(split, history.size()).forEach(original::apply);
        history.subList(split, history.size()).forEach(restored::apply);

        assertThat(restored.state.checkpoint()).isEqualTo(original.state.checkpoint());
    }

    @Property(seed = "4713", tries = 100)
    void movedRecordsKeepTheFirstResultOfEachItem(@ForAll("histories") List<DurableRecord> history) {
        Run run = new Run();
        history.forEach(run::apply);
        long end = run.offset;
        while (!run.state.neededBefore(end, 1).isEmpty()) {
            RecordPosition from = run.state.neededBefore(end, 1).get(0);
            RecordPosition to = new RecordPosition(run.offset++, 0);
            run.records.put(to, run.records.remove(from));
            run.state.moved(from, to);
        }
        StoredJob job = run.state.job(JOB).orElseThrow();
        run.model.forEach(
                (item, result) -> assertThat(run.firstResult(job, item)).isEqualTo(result));
    }

    @Provide
    Arbitrary<List<DurableRecord>> histories() {
        Arbitrary<DurableRecord> results = Combinators.combine(
                        Arbitraries.integers()
                                .between(-1, ITEMS)
                                .list()
                                .ofMinSize(1)
                                .ofMaxSize(4),
                        Arbitraries.integers().between(0, 1_000_000),
                        Arbitraries.of(true, false, false))
                .as(BatchPartitionStateTests::results);
        Arbitrary<DurableRecord> tried = Combinators.combine(
                        Arbitraries.integers().between(-1, ITEMS),
                        Arbitraries.integers().between(1, 5))
                .as((item, attempts) -> BatchRecords.itemsTried(JOB, Map.of(item, attempts)));
        DurableRecord openedAgain =
                BatchRecords.jobOpened(JOB, TEAM, new CreateJob(FILE, "/other", Optional.empty(), 5, Map.of()));
        return Arbitraries.frequencyOf(
                        Tuple.of(20, results),
                        Tuple.of(4, tried),
                        Tuple.of(1, Arbitraries.just(BatchRecords.jobCancelled(JOB))),
                        Tuple.of(1, Arbitraries.just(openedAgain)))
                .list()
                .ofMaxSize(25);
    }

    private static DurableRecord results(List<Integer> items, int content, boolean failed) {
        List<ResultLine> lines = new ArrayList<>();
        for (int item : items) {
            Optional<String> error = failed ? Optional.of("timed_out") : Optional.empty();
            lines.add(new ResultLine(item, "c" + item, 200, ByteString.copyFromUtf8("r" + content), error, ""));
        }
        return BatchRecords.itemsFinished(JOB, lines);
    }

    /** A partition state together with its model. */
    private static final class Run {

        private final BatchPartitionState state = new BatchPartitionState();
        private final Map<Integer, ItemResult> model = new HashMap<>();
        private final Map<RecordPosition, BatchRecord> records = new HashMap<>();
        private boolean cancelled;
        private long offset;

        Run() {
            apply(BatchRecords.fileOpened(FILE, TEAM, new OpenFile("a", Optional.empty(), "h")));
            apply(BatchRecords.itemsAdded(new AddItems(FILE, 0, BatchScenario.lines(0, ITEMS)), "stav-app"));
            apply(BatchRecords.fileSealed(new SealFile(FILE, ITEMS, "d")));
            apply(BatchRecords.jobOpened(
                    JOB, TEAM, new CreateJob(FILE, BatchScenario.ENDPOINT, Optional.empty(), 5, Map.of())));
        }

        void apply(DurableRecord record) {
            RecordPosition position = new RecordPosition(offset++, 0);
            BatchRecord parsed = parse(record);
            records.put(position, parsed);
            state.apply(record, position, offset);
            if (parsed.hasItemsFinished()) {
                parsed.getItemsFinished().getResultsList().forEach(this::addToModel);
            }
            cancelled |= parsed.hasJobCancelled() && model.size() < ITEMS;
        }

        private void addToModel(ItemResult result) {
            if (!cancelled && result.getItem() >= 0 && result.getItem() < ITEMS) {
                model.putIfAbsent(result.getItem(), result);
            }
        }

        JobState expectedState() {
            if (cancelled) {
                return JobState.CANCELLED;
            }
            return model.size() == ITEMS ? JobState.COMPLETED : JobState.IN_PROGRESS;
        }

        /** Finds an item's result in the same way as a reader of result pages. */
        ItemResult firstResult(StoredJob job, int item) {
            return job.results().covering(item, item).stream()
                    .flatMap(position -> records.get(position).getItemsFinished().getResultsList().stream())
                    .filter(result -> result.getItem() == item)
                    .findFirst()
                    .orElseThrow();
        }

        private static BatchRecord parse(DurableRecord record) {
            try {
                return BatchRecord.parseFrom(record.payload());
            } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
            }
        }
    }
}
