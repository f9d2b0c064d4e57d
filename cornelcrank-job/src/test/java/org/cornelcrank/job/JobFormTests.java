package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.store.fake.VirtualNodes.StoreFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelcrank.job.VirtualJobs.A;
import static org.cornelcrank.job.VirtualJobs.B;
import static org.cornelcrank.job.VirtualJobs.C;

/** Stores jobs of several appends by daemons that encode them differently. */
class JobFormTests {

    private static final String JOB = "job-1";
    private static final int ITEMS = 4;
    private static final int BODY_BYTES = 700_000;
    private static final int HEADERS = 20;
    private static final int MAX_REQUEST_BYTES = 2_097_152;

    private final VirtualJobs jobs = new VirtualJobs(A, B, C);

    /** Guards against stored bytes that depend on the order in which a process iterates over a map. */
    @Test
    void jobIsEncodedAlikeWhateverTheOrderOfItsHeaders() {
        List<KeyedRecord> records = encode(content(JOB, new Random(0)));
        for (int seed = 1; seed < 20; seed++) {
            assertThat(encode(content(JOB, new Random(seed)))).isEqualTo(records);
        }
    }

    /** Guards against an accepted job that is lost once a late append of another daemon has replaced a part of it. */
    @Test
    void lateAppendOfAnotherFormDoesNotReplaceTheParts() {
        assertThat(submit(A)).isInstanceOf(JobAccepted.class);
        List<List<KeyedRecord>> appends = JobRecords.batches(
                EarlierRelease.encode(new JobId(JOB), content(JOB, new Random(0)), VirtualJobs.MAX_RECORD_BYTES),
                MAX_REQUEST_BYTES);
        assertThat(appends).hasSizeGreaterThan(1);
        append(appends.get(0));
        restartAll();
        assertEachItemHasItsBody(JOB);
        jobs.nodes.run(10_000);
        assertThat(itemIds(JOB)).hasSize(ITEMS);
    }

    /** Guards against a job that is reported as missing, or that nothing can mend, as its parts do not fit together. */
    @Test
    void jobWhosePartsDoNotFitTogetherIsNotMissingAndRunsOnceItIsSubmittedAgain() {
        JobContent content = content(JOB, new Random(0));
        List<List<KeyedRecord>> one = JobRecords.batches(
                EarlierRelease.encode(new JobId(JOB), content, VirtualJobs.MAX_RECORD_BYTES), MAX_REQUEST_BYTES);
        List<JobItem> others = new ArrayList<>(content.items());
        Collections.reverse(others);
        List<List<KeyedRecord>> other = JobRecords.batches(
                EarlierRelease.encode(
                        new JobId(JOB), new JobContent(content.host(), others), VirtualJobs.MAX_RECORD_BYTES),
                MAX_REQUEST_BYTES);
        append(one.get(0));
        append(other.get(1));
        jobs.nodes.run(5_000);
        for (HostId host : List.of(A, B, C)) {
            assertThat(jobs.readBody(host, JOB, item(0))).isInstanceOfSatisfying(Refusal.class, refusal -> {
                assertThat(refusal.code()).isEqualTo(RefusalCode.STORE_UNAVAILABLE);
                assertThat(refusal.retryAfterMs()).isPositive();
            });
            assertThat(jobs.read(host, JOB, 0)).isEqualTo(new JobPage(ITEMS, 0, List.of()));
        }
        assertThat(submit(B)).isInstanceOf(JobAccepted.class);
        assertEachItemHasItsBody(JOB);
        jobs.nodes.run(10_000);
        assertThat(itemIds(JOB)).hasSize(ITEMS);
    }

    /** Guards against a job of an earlier release that a later one cannot read. */
    @Test
    void jobOfAnEarlierReleaseRuns() {
        JobRecords.batches(
                        EarlierRelease.encode(
                                new JobId(JOB), content(JOB, new Random(0)), VirtualJobs.MAX_RECORD_BYTES),
                        MAX_REQUEST_BYTES)
                .forEach(this::append);
        jobs.nodes.run(200);
        assertEachItemHasItsBody(JOB);
        jobs.nodes.run(10_000);
        assertThat(itemIds(JOB)).hasSize(ITEMS);
        jobs.nodes.run(VirtualJobs.RETENTION_MS + 5_000);
        assertNothingIsStored();
    }

    /** Guards against records that stay for good, as several daemons have stored a job in different forms. */
    @Test
    void expiredJobOfSeveralFormsLeavesNothingInTheStore() {
        jobs.setMaxRecordBytes(B, 200_000);
        jobs.kill(B);
        jobs.start(B);
        jobs.nodes.run(5_000);
        submit(A);
        submit(B);
        jobs.nodes.run(10_000);
        assertThat(jobs.nodes.store().newest(JobRecords.jobs(partition(JOB))).keySet())
                .hasSizeGreaterThan(encode(content(JOB, new Random(0))).size());
        jobs.nodes.run(VirtualJobs.RETENTION_MS + 5_000);
        assertNothingIsStored();
    }

    /** Guards against records that stay for good, as only the first of the appends of a job was stored. */
    @Test
    void partsOfAJobThatWasNeverStoredInFullAreDropped() {
        int[] appends = new int[1];
        jobs.nodes.setFaults((host, request) -> request instanceof StoreRequest.Append append
                        && append.partition().topic().equals(JobRecords.JOBS)
                        && appends[0]++ > 0
                ? StoreFault.REFUSED
                : StoreFault.NONE);
        assertThat(submit(A)).isInstanceOf(Refusal.class);
        jobs.nodes.setFaults((host, request) -> StoreFault.NONE);
        jobs.nodes.run(VirtualJobs.RETENTION_MS - 5_000);
        assertThat(jobs.nodes.store().newest(JobRecords.jobs(partition(JOB)))).isNotEmpty();
        jobs.nodes.run(10_000);
        assertNothingIsStored();
        assertThat(jobs.runsByItem).isEmpty();
        assertThat(submit(B)).isInstanceOf(JobAccepted.class);
        jobs.nodes.run(10_000);
        assertThat(itemIds(JOB)).hasSize(ITEMS);
    }

    /**
     * Guards against accepted jobs that are lost after writes which the store does seconds later: callers submit each job
     * to several daemons, which order its headers or split it differently, and all daemons restart afterwards.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void acceptedJobsSurviveLateWritesAndARestart(long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        if (seed % 2 == 0) {
            jobs.setMaxRecordBytes(B, 200_000);
            jobs.kill(B);
            jobs.start(B);
            jobs.nodes.run(5_000);
        }
        jobs.nodes.setLateness(() -> random.nextLong(1_000, 6_000));
        jobs.nodes.setFaults((host, request) -> request instanceof StoreRequest.Append && random.nextDouble() < 0.35
                ? StoreFault.DONE_LATE
                : StoreFault.NONE);
        List<HostId> hosts = List.of(A, B, C);
        Map<RequestId, String> submissions = new LinkedHashMap<>();
        for (int i = 0; i < 12; i++) {
            String id = "job-" + i;
            for (int attempt = 0; attempt < 3; attempt++) {
                JobContent content = content(id, new Random(random.nextLong()));
                SubmitJob submit = new SubmitJob(new JobId(id), content, jobs.nodes.nowMs() + 4_000);
                submissions.put(jobs.nodes.submit(hosts.get((i + attempt) % 3), submit), id);
                jobs.nodes.run(random.nextLong(400));
            }
        }
        jobs.nodes.run(5_000);
        jobs.nodes.setFaults((host, request) -> StoreFault.NONE);
        jobs.nodes.run(8_000);
        restartAll();
        jobs.nodes.run(30_000);
        Set<String> accepted = new TreeSet<>();
        submissions.forEach((request, id) -> {
            if (jobs.nodes.reply(request).filter(JobAccepted.class::isInstance).isPresent()) {
                accepted.add(id);
            }
        });
        assertThat(accepted).isNotEmpty();
        accepted.forEach(id -> assertThat(itemIds(id)).as(id).hasSize(ITEMS));
        accepted.forEach(this::assertEachItemHasItsBody);
    }

    private Object submit(HostId host) {
        SubmitJob submit = new SubmitJob(new JobId(JOB), content(JOB, new Random(1)), jobs.nodes.nowMs() + 4_000);
        return jobs.await(jobs.nodes.submit(host, submit));
    }

    private static List<KeyedRecord> encode(JobContent content) {
        return JobRecords.encode(new JobId(JOB), content, VirtualJobs.MAX_RECORD_BYTES);
    }

    private void append(List<KeyedRecord> records) {
        jobs.nodes.append(new StoreRequest.Append(JobRecords.jobs(partition(JOB)), records, Optional.empty(), 1_000));
    }

    private static int partition(String id) {
        return JobRecords.partitionOf(new JobId(id), 3);
    }

    private void restartAll() {
        List.of(A, B, C).forEach(jobs::kill);
        jobs.nodes.run(500);
        List.of(A, B, C).forEach(jobs::start);
        jobs.nodes.run(5_000);
    }

    private void assertEachItemHasItsBody(String id) {
        for (JobItem item : content(id, new Random(0)).items()) {
            assertThat(jobs.readBody(C, id, item.id())).isEqualTo(new ItemBody(item.body()));
        }
    }

    private void assertNothingIsStored() {
        for (int partition = 0; partition < 3; partition++) {
            assertThat(jobs.nodes.store().newest(JobRecords.jobs(partition))).isEmpty();
            assertThat(jobs.nodes.store().newest(JobRecords.results(partition))).isEmpty();
        }
    }

    private Set<String> itemIds(String id) {
        return ((JobPage) jobs.read(A, id, 0))
                .results().stream().map(ListedResult::itemId).collect(Collectors.toSet());
    }

    private static String item(int number) {
        return JOB + "-item-" + number;
    }

    /** Returns a job of several appends, whose headers are in an order of their own. */
    private static JobContent content(String id, Random order) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        List<JobItem> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            byte[] body = new byte[BODY_BYTES];
            random.nextBytes(body);
            items.add(new JobItem(id + "-item-" + i, "/jobs/" + i, headers(order), ByteString.copyFrom(body), 100));
        }
        return VirtualJobs.job(id, items, 0).content();
    }

    private static Map<String, String> headers(Random order) {
        Map<String, String> sorted = new TreeMap<>();
        for (int i = 0; i < HEADERS; i++) {
            sorted.put("Header-" + i, "value " + i);
        }
        List<String> names = new ArrayList<>(sorted.keySet());
        Collections.shuffle(names, order);
        Map<String, String> headers = new LinkedHashMap<>();
        names.forEach(name -> headers.put(name, sorted.get(name)));
        return headers;
    }
}
