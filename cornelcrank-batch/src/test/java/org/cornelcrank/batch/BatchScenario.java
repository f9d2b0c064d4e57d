package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.fake.FakeCluster;
import org.cornelcrank.fake.FakeSettings;
import org.cornelcrank.fake.TestCluster;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.routing.BatchWork;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Callers of batch jobs at daemons with the batch state machine, independent of the implementation of the partitions.
 *
 * <p>Not thread-safe.
 */
abstract class BatchScenario {

    static final Caller NILAVU = new Caller(new TeamPath("/nilavu/summaries"), "k1", Caller.Scope.CALLER);
    static final Caller TATRANSKE = new Caller(new TeamPath("/tatranske"), "k2", Caller.Scope.CALLER);
    static final Caller OPERATOR = new Caller(new TeamPath("/operators"), "k3", Caller.Scope.OPERATOR);
    static final String ENDPOINT = "/v1/chat/completions";

    final SortedMap<String, FakeCapacity> capacities = new TreeMap<>();
    final Map<String, Integer> runs = new HashMap<>();
    private final BatchSettings limits;

    BatchScenario(BatchSettings limits) {
        this.limits = limits;
    }

    abstract TestCluster cluster();

    /** Returns the default settings with another bound of buffered results. */
    static BatchSettings withResultBuffer(int maxBufferedResultBytes) {
        return limits(BatchSettings.defaults().maxWindowBytes(), maxBufferedResultBytes);
    }

    /** Returns the default settings with another bound of lines in memory. */
    static BatchSettings withWindowBytes(int maxWindowBytes) {
        return limits(maxWindowBytes, BatchSettings.defaults().maxBufferedResultBytes());
    }

    private static BatchSettings limits(int maxWindowBytes, int maxBufferedResultBytes) {
        BatchSettings defaults = BatchSettings.defaults();
        return new BatchSettings(
                defaults.forwarding(),
                defaults.commandTimeoutMs(),
                maxWindowBytes,
                defaults.maxJobWindowBytes(),
                defaults.maxJobWindowItems(),
                defaults.maxResultsPerRecord(),
                defaults.maxRecordBytes(),
                defaults.maxResultBytes(),
                defaults.resultDelayMs(),
                maxBufferedResultBytes,
                defaults.maxPageBytes(),
                defaults.retryDelayMs(),
                defaults.maxRetryDelayMs(),
                defaults.unsealedFileLifetimeMs(),
                defaults.keyRetentionMs(),
                defaults.expiryIntervalMs());
    }

    static ByteString line(int item) {
        return ByteString.copyFromUtf8("{\"custom_id\":\"c" + item + "\",\"method\":\"POST\",\"url\":\"" + ENDPOINT
                + "\",\"body\":{\"model\":\"stav-app\",\"n\":" + item + "}}");
    }

    static List<ByteString> lines(int from, int count) {
        List<ByteString> lines = new ArrayList<>();
        for (int item = from; item < from + count; item++) {
            lines.add(line(item));
        }
        return lines;
    }

    FileId upload(String host, Caller caller, int count, String digest) {
        FileId file = cluster()
                .submitWithRetries(
                        host,
                        caller,
                        new OpenFile("visits.jsonl", Optional.empty(), "head-" + digest),
                        FileOpened.class)
                .file();
        for (int from = 0; from < count; from += 100) {
            List<ByteString> lines = lines(from, Math.min(100, count - from));
            cluster().submitWithRetries(host, caller, new AddItems(file, from, lines), ItemsAdded.class);
        }
        return cluster()
                .submitWithRetries(host, caller, new SealFile(file, count, digest), FileSealed.class)
                .file()
                .file();
    }

    JobInfo create(String host, Caller caller, FileId file) {
        return cluster().submitWithRetries(host, caller, job(file, Optional.empty()), JobInfo.class);
    }

    static CreateJob job(FileId file, Optional<String> key) {
        return new CreateJob(file, ENDPOINT, key, 3_600_000, Map.of("shift", "night"));
    }

    JobInfo info(String host, JobId job) {
        return cluster().submitWithRetries(host, OPERATOR, new GetJob(job), JobInfo.class);
    }

    PartitionId partitionOf(JobId job) {
        return BatchIds.partitionOf(job).orElseThrow();
    }

    FakeCapacity capacity(String host) {
        return capacities.get(host);
    }

    /** Grants permits and ends running work at every host, for the given number of rounds. */
    void work(int rounds, Function<BatchWork, AttemptOutcome> outcomes) {
        for (int round = 0; round < rounds; round++) {
            capacities.forEach((host, capacity) -> {
                cluster()
                        .inject(
                                new HostId(host),
                                out -> capacity.grantDemand(8, cluster().nowMs(), out));
                cluster()
                        .inject(
                                new HostId(host),
                                out -> capacity.endAll(outcomes, cluster().nowMs(), out));
            });
            cluster().run();
            cluster().advance(500);
        }
    }

    AttemptOutcome countAndEcho(BatchWork work) {
        runs.merge(work.itemId(), 1, Integer::sum);
        return FakeCapacity.echo(work);
    }

    List<ResultLine> results(String host, Caller caller, JobId job) {
        List<ResultLine> lines = new ArrayList<>();
        ResultPage page = new ResultPage(List.of(), 0, false);
        int total = info(host, job).total();
        while (!page.complete() && page.nextItem() < total) {
            page = cluster()
                    .submitWithRetries(host, caller, new ReadResults(job, page.nextItem(), 64), ResultPage.class);
            lines.addAll(page.lines());
        }
        return lines;
    }

    /** Checks that each item has exactly one result, with its own response. */
    static void assertEachItemOnce(List<ResultLine> results, int count) {
        assertThat(results).hasSize(count);
        for (int item = 0; item < count; item++) {
            ResultLine line = results.get(item);
            assertThat(line.item()).isEqualTo(item);
            assertThat(line.customId()).isEqualTo("c" + item);
            assertThat(line.body().toStringUtf8()).contains("\"n\":" + item + "}");
        }
    }

    final void install(DaemonIdentity identity, PartitionWriter writer, FakeCluster.Installer installer) {
        FakeCapacity capacity = new FakeCapacity();
        BatchStateMachine stateMachine = new BatchStateMachine(
                identity, writer, capacity, new FakeSettings("/nilavu", "/tatranske"), limits, new MetricRegistry());
        capacity.subscribe(stateMachine);
        capacities.put(identity.host().value(), capacity);
        installer.install(stateMachine);
    }
}
