package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.fake.FakeCluster;
import org.cornelcrank.fake.FakeSettings;
import org.cornelcrank.routing.BatchPermit;
import org.cornelcrank.routing.BatchWork;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelcrank.batch.BatchScenario.NILAVU;
import static org.cornelcrank.batch.BatchScenario.OPERATOR;
import static org.cornelcrank.batch.BatchScenario.TATRANSKE;

class BatchStateMachineTests {

    private final BatchFixture fixture = new BatchFixture("e1", "e2", "e3");
    private final FakeCluster cluster = fixture.cluster;

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
            BatchScenario.assertEachItemOnce(fixture.results(host, NILAVU, job.job()), 250);
        }
    }

    @Test
    void repeatedKeyReturnsTheFirstJobAndConflictsWithAnotherFileInAnyPartition() {
        FileId file = fixture.upload("e1", NILAVU, 3, "d1");
        JobInfo job = cluster.submitAndWait("e1", NILAVU, BatchScenario.job(file, Optional.of("night")), JobInfo.class);

        for (int other = 2; other < 10; other++) {
            FileId otherFile = fixture.upload("e2", NILAVU, 3, "d" + other);
            Refusal refusal = cluster.submitAndWait(
                    "e2", NILAVU, BatchScenario.job(otherFile, Optional.of("night")), Refusal.class);
            assertThat(refusal.code()).isEqualTo(RefusalCode.CONFLICT);
            assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        }
        JobInfo again =
                cluster.submitAndWait("e3", NILAVU, BatchScenario.job(file, Optional.of("night")), JobInfo.class);
        assertThat(again.job()).isEqualTo(job.job());
    }

    @Test
    void uploadOfTheSameContentReturnsTheEarlierFileAndAReusedKeyWithOtherContentConflicts() {
        Optional<String> key = Optional.of("upload-1");
        FileId first = open("e1", key);
        cluster.submitAndWait("e1", NILAVU, new AddItems(first, 0, BatchScenario.lines(0, 2)), ItemsAdded.class);
        cluster.submitAndWait("e1", NILAVU, new SealFile(first, 2, "d1"), FileSealed.class);

        FileId repeated = open("e2", key);
        cluster.submitAndWait("e2", NILAVU, new AddItems(repeated, 0, BatchScenario.lines(0, 2)), ItemsAdded.class);
        FileSealed sealed = cluster.submitAndWait("e2", NILAVU, new SealFile(repeated, 2, "d1"), FileSealed.class);
        FileId other = open("e3", key);
        cluster.submitAndWait("e3", NILAVU, new AddItems(other, 0, BatchScenario.lines(5, 2)), ItemsAdded.class);
        Refusal refusal = cluster.submitAndWait("e3", NILAVU, new SealFile(other, 2, "d2"), Refusal.class);

        assertThat(sealed.file().file()).isEqualTo(first);
        assertThat(refusal.code()).isEqualTo(RefusalCode.CONFLICT);
    }

    private FileId open(String host, Optional<String> key) {
        return cluster.submitAndWait(host, NILAVU, new OpenFile("a.jsonl", key, "head"), FileOpened.class)
                .file();
    }

    @Test
    void linesAddedTwiceAreStoredOnce() {
        FileId file = open("e1", Optional.empty());
        AddItems add = new AddItems(file, 0, BatchScenario.lines(0, 10));
        cluster.submitAndWait("e1", NILAVU, add, ItemsAdded.class);

        ItemsAdded again = cluster.submitAndWait("e2", NILAVU, add, ItemsAdded.class);
        Refusal gap =
                cluster.submitAndWait("e2", NILAVU, new AddItems(file, 11, BatchScenario.lines(11, 1)), Refusal.class);

        assertThat(again.total()).isEqualTo(10);
        assertThat(gap.code()).isEqualTo(RefusalCode.INVALID_REQUEST);
    }

    @Test
    void otherTeamsSeeNeitherFilesNorJobs() {
        FileId file = fixture.upload("e1", NILAVU, 3, "d1");
        JobId job = fixture.create("e1", NILAVU, file).job();

        List.of(
                        new GetFile(file),
                        new ReadFile(file, 0, 10),
                        new SealFile(file, 3, "d1"),
                        BatchScenario.job(file, Optional.empty()),
                        BatchScenario.job(file, Optional.of("key")),
                        new GetJob(job),
                        new CancelJob(job),
                        new ReadResults(job, 0, 10))
                .forEach(command -> {
                    Refusal refusal = cluster.submitAndWait("e2", TATRANSKE, command, Refusal.class);
                    assertThat(refusal.code()).isEqualTo(RefusalCode.NOT_FOUND);
                });
        assertThat(cluster.submitAndWait("e2", TATRANSKE, new ListJobs(Optional.empty(), 10), JobList.class)
                        .jobs())
                .isEmpty();
    }

    @Test
    void listReturnsJobsOfAllPartitionsNewestFirstInPages() {
        Set<JobId> created = new HashSet<>();
        for (int i = 0; i < 7; i++) {
            created.add(fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, 1, "d" + i))
                    .job());
            cluster.advance(1_000);
        }
        JobList first = cluster.submitAndWait("e2", NILAVU, new ListJobs(Optional.empty(), 4), JobList.class);
        JobId last = first.jobs().get(3).job();
        JobList second = cluster.submitAndWait("e3", NILAVU, new ListJobs(Optional.of(last), 4), JobList.class);

        assertThat(first.more()).isTrue();
        assertThat(second.more()).isFalse();
        Set<JobId> listed = new HashSet<>();
        first.jobs().forEach(job -> listed.add(job.job()));
        second.jobs().forEach(job -> listed.add(job.job()));
        assertThat(listed).isEqualTo(created);
        assertThat(first.jobs()).isSortedAccordingTo(JobCommands.NEWEST_FIRST);
    }

    @Test
    void listNamesThePartitionsThatDidNotReply() {
        PartitionId unowned = new PartitionId(FakeCluster.REGION, 1);
        cluster.unassign(unowned);

        JobList list = cluster.submitAndWait("e1", OPERATOR, new ListJobs(Optional.empty(), 10), JobList.class);

        assertThat(list.unresponsivePartitions()).containsExactly(unowned);
    }

    @Test
    void itemThatKeepsFailingIsRecordedAsFailedAfterItsAttemptsAndTheJobCompletes() {
        JobId job = fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, 5, "d1"))
                .job();
        Map<String, Integer> attempts = new HashMap<>();

        fixture.work(40, work -> {
            attempts.merge(work.itemId(), 1, Integer::sum);
            return work.itemId().endsWith(":2")
                    ? FakeCapacity.failure(FailureKind.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
                    : FakeCapacity.echo(work);
        });

        assertThat(fixture.info("e2", job).failed()).isEqualTo(1);
        assertThat(fixture.info("e2", job).state()).isEqualTo(JobState.COMPLETED);
        assertThat(attempts).containsEntry(job + ":2", FakeSettings.MAX_ITEM_ATTEMPTS);
        assertThat(fixture.results("e3", NILAVU, job).get(2).errorCode()).contains("connection_lost");
    }

    @Test
    void attemptsAreBoundedEvenIfTheOwnerIsLostBetweenThem() {
        BatchFixture single = new BatchFixture(BatchSettings.defaults(), 1, "e1", "e2", "e3");
        JobId job = single.create("e3", NILAVU, single.upload("e3", NILAVU, 1, "d1"))
                .job();
        Map<String, Integer> attempts = new HashMap<>();
        for (int round = 0; round < 6; round++) {
            single.work(10, work -> {
                attempts.merge(work.itemId(), 1, Integer::sum);
                return FakeCapacity.failure(FailureKind.TIMED_OUT, Verdict.MAY_HAVE_RUN);
            });
            String owner = single.ownerOf(job);
            single.cluster.crash(owner);
            single.cluster.assign(single.partitionOf(job), owner.equals("e1") ? "e2" : "e1");
            single.cluster.start(owner);
        }
        assertThat(single.info("e3", job).state()).isEqualTo(JobState.COMPLETED);
        assertThat(attempts).containsEntry(job + ":0", FakeSettings.MAX_ITEM_ATTEMPTS);
    }

    @Test
    void refusedAndPreemptedRunsDoNotCountAsAttempts() {
        JobId job = fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, 1, "d1"))
                .job();
        String owner = fixture.ownerOf(job);
        FakeCapacity capacity = fixture.capacity(owner);
        for (int round = 0; round < 20; round++) {
            boolean refuse = round % 2 == 0;
            cluster.inject(new HostId(owner), out -> {
                BatchPermit permit = capacity.grant(job, cluster.nowMs(), out);
                if (refuse) {
                    AttemptOutcome refused = FakeCapacity.failure(FailureKind.OVERLOADED, Verdict.NOT_RUN);
                    capacity.end(permit, refused, cluster.nowMs(), out);
                } else {
                    capacity.preempt(permit, Optional.empty(), cluster.nowMs(), out);
                }
            });
            cluster.run();
            cluster.advance(61_000);
        }
        fixture.work(3, fixture::countAndEcho);

        assertThat(fixture.info("e1", job).completed()).isEqualTo(1);
        assertThat(capacity.started)
                .hasSize(21)
                .extracting(BatchWork::resume)
                .containsOnly(capacity.started.get(0).resume());
    }

    @Test
    void itemRejectedByItsTargetIsRecordedAsFailed() {
        JobId job = fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, 2, "d1"))
                .job();

        fixture.work(10, work -> FakeCapacity.failure(FailureKind.REJECTED, Verdict.NOT_RUN));

        assertThat(fixture.runs).isEmpty();
        assertThat(fixture.results("e2", NILAVU, job)).hasSize(2).allMatch(ResultLine::failed);
    }

    @Test
    void cancellationStopsRunningWorkAndNothingIsRecordedAfterwards() {
        JobId job = fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, 20, "d1"))
                .job();
        String owner = fixture.ownerOf(job);
        FakeCapacity capacity = fixture.capacity(owner);
        cluster.inject(new HostId(owner), out -> capacity.grantDemand(5, cluster.nowMs(), out));
        cluster.inject(
                new HostId(owner),
                out -> capacity.end(
                        capacity.running.keySet().iterator().next(),
                        FakeCapacity.echo(capacity.started.get(0)),
                        cluster.nowMs(),
                        out));
        cluster.run();

        JobInfo cancelled = cluster.submitAndWait("e3", NILAVU, new CancelJob(job), JobInfo.class);
        fixture.work(10, fixture::countAndEcho);

        assertThat(cancelled.state()).isEqualTo(JobState.CANCELLED);
        assertThat(capacity.cancelled).hasSize(4);
        assertThat(capacity.demands.get(job).runnable()).isZero();
        assertThat(fixture.runs).isEmpty();
        assertThat(fixture.info("e2", job)).isEqualTo(cancelled);
    }

    @Test
    void resultsAreReadableWhileTheJobRuns() {
        JobId job = fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, 100, "d1"))
                .job();
        fixture.work(8, fixture::countAndEcho);

        List<ResultLine> results = fixture.results("e2", NILAVU, job);

        assertThat(fixture.info("e2", job).state()).isEqualTo(JobState.IN_PROGRESS);
        assertThat(results).isNotEmpty().hasSize(fixture.info("e3", job).completed());
    }

    @Test
    void resultsInManySmallRecordsAreReturnedInSeveralPages() {
        JobId job = fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, 30, "d1"))
                .job();
        String owner = fixture.ownerOf(job);
        FakeCapacity capacity = fixture.capacity(owner);
        for (int item = 0; item < 20; item++) {
            cluster.inject(new HostId(owner), out -> capacity.grantDemand(1, cluster.nowMs(), out));
            cluster.inject(new HostId(owner), out -> capacity.endAll(FakeCapacity::echo, cluster.nowMs(), out));
            cluster.advance(5_000);
        }

        ResultPage first = cluster.submitAndWait("e2", NILAVU, new ReadResults(job, 0, 500), ResultPage.class);

        assertThat(first.lines()).hasSizeBetween(1, 19);
        assertThat(first.nextItem()).isEqualTo(first.lines().size());
        BatchScenario.assertEachItemOnce(fixture.results("e3", NILAVU, job), 20);
    }

    @Test
    void logOutageRefusesNewWorkAsNotRunAndBoundsTheBufferedResults() {
        BatchSettings small = BatchScenario.withResultBuffer(8 * 1024);
        BatchFixture bounded = new BatchFixture(small, 1, "e1", "e2");
        JobId job = bounded.create("e2", NILAVU, bounded.upload("e2", NILAVU, 300, "d1"))
                .job();
        bounded.cluster.stopLog();
        bounded.work(30, bounded::countAndEcho);
        int ranDuringOutage = bounded.runs.size();
        Refusal refused =
                bounded.cluster.submitAndWait("e2", NILAVU, new OpenFile("b", Optional.empty(), "h2"), Refusal.class);
        bounded.work(10, bounded::countAndEcho);

        assertThat(refused.code()).isEqualTo(RefusalCode.STORE_UNAVAILABLE);
        assertThat(refused.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(ranDuringOutage).isBetween(20, 100);
        assertThat(bounded.runs).hasSize(ranDuringOutage);
        assertThat(bounded.capacity("e1").runnable()).isZero();

        bounded.cluster.startLog();
        bounded.work(60, bounded::countAndEcho);
        BatchScenario.assertEachItemOnce(bounded.results("e2", NILAVU, job), 300);
        assertThat(bounded.runs.values()).containsOnly(1);
    }

    @Test
    void retentionRemovesUnsealedFilesEarlierThanResults() {
        FileId unsealed = open("e1", Optional.empty());
        JobId job = fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, 3, "d1"))
                .job();
        fixture.work(10, fixture::countAndEcho);
        cluster.advance(2 * 3_600_000);
        assertThat(cluster.submitAndWait("e2", NILAVU, new GetFile(unsealed))).isInstanceOf(Refusal.class);
        assertThat(fixture.results("e2", NILAVU, job)).hasSize(3);

        cluster.advance(FakeSettings.RETENTION_MS);

        assertThat(cluster.submitAndWait("e2", NILAVU, new GetJob(job))).isInstanceOf(Refusal.class);
    }

    @Test
    void fileOfARunningJobIsNotRemoved() {
        JobId job = fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, 3, "d1"))
                .job();
        cluster.advance(2 * FakeSettings.RETENTION_MS);

        fixture.work(10, fixture::countAndEcho);

        BatchScenario.assertEachItemOnce(fixture.results("e2", NILAVU, job), 3);
    }

    @Test
    void crossedRepliesOfTwoRequestsReachTheirOwnCallers() {
        FileId small = fixture.upload("e1", NILAVU, 2, "d1");
        FileId large = fixture.upload("e1", NILAVU, 9, "d2");
        RequestId first = cluster.submit("e3", NILAVU, new GetFile(small));
        RequestId second = cluster.submit("e3", NILAVU, new GetFile(large));
        cluster.run();
        FileInfo wrong = (FileInfo) cluster.reply(second).orElseThrow();

        cluster.injectMessage(new HostId("e1"), new HostId("e3"), new BatchMessage.Replied(first, 0, 1, wrong));

        assertThat(((FileInfo) cluster.reply(first).orElseThrow()).itemCount()).isEqualTo(2);
        assertThat(wrong.itemCount()).isEqualTo(9);
    }

    @Test
    void linesThatCannotRunAreRecordedAsFailures() {
        FileId file = open("e1", Optional.empty());
        List<ByteString> lines = new ArrayList<>(BatchScenario.lines(0, 2));
        lines.add(ByteString.copyFromUtf8("{\"custom_id\":\"x\"}"));
        lines.add(ByteString.copyFromUtf8(BatchScenario.line(3).toStringUtf8().replace("stav-app", "hlasenia-llm")));
        cluster.submitAndWait("e1", NILAVU, new AddItems(file, 0, lines), ItemsAdded.class);
        cluster.submitAndWait("e1", NILAVU, new SealFile(file, 4, "d1"), FileSealed.class);
        JobId job = fixture.create("e1", NILAVU, file).job();

        fixture.work(10, fixture::countAndEcho);

        assertThat(fixture.info("e2", job).completed()).isEqualTo(2);
        assertThat(fixture.info("e2", job).failed()).isEqualTo(2);
    }
}
