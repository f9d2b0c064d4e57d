package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.gateway.RouteTable;
import org.cornelcrank.store.fake.VirtualNodes.StoreFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelcrank.job.VirtualJobs.A;
import static org.cornelcrank.job.VirtualJobs.B;
import static org.cornelcrank.job.VirtualJobs.C;

/** Runs jobs while the daemons read the changes of the routes at different times. */
class JobRouteTests {

    private static final String JOB = "job-1";
    private static final int ITEMS = 4;
    private static final String FIRST = "/jobs/";
    private static final String ADDED = "/added/";

    /** Within this time each read ends that the store holds open. */
    private static final long OPEN_READ_MS = 3_000;

    /**
     * Within this time the items of a job without a route are listed once the routes can be read: two reads that the
     * store holds open, and the pauses before a retry.
     */
    private static final long LISTED_WITHIN_MS = 8_000;

    private final VirtualJobs jobs = VirtualJobs.followingRoutes(A, B, C);
    private final Map<HostId, Long> lagsUntilMs = new HashMap<>();
    private long version = 1;

    /** Guards against accepted items that are given up, as the owner reads the job before the route it came under. */
    @Test
    void itemsOfAJobThatItsOwnerReadsBeforeItsRouteAreNotGivenUp() {
        configure(FIRST);
        jobs.nodes.run(1_000);
        for (HostId accepting : List.of(A, B, C)) {
            String prefix = "/added-by-" + accepting + "/";
            hosts().stream().filter(host -> !host.equals(accepting)).forEach(host -> lag(host, 5_000));
            jobs.nodes.run(OPEN_READ_MS);
            configure(FIRST, prefix);
            jobs.nodes.run(100);
            submitSix(accepting, accepting.value(), prefix);
            jobs.nodes.run(15_000);
            assertThat(resultsOfSix(accepting.value())).hasSize(6 * ITEMS).allMatch(ListedResult::completed);
        }
    }

    /** Guards against items that stay open for good, as a daemon has accepted them after their route was removed. */
    @Test
    void itemsThatWereAcceptedAfterTheRemovalOfTheirRouteAreListed() {
        configure(FIRST, ADDED);
        jobs.nodes.run(1_000);
        lag(A, 6_000);
        jobs.nodes.run(OPEN_READ_MS);
        configure(FIRST);
        jobs.nodes.run(100);
        submitSix(A, JOB, ADDED);
        jobs.nodes.run(LISTED_WITHIN_MS);
        assertThat(resultsOfSix(JOB))
                .hasSize(6 * ITEMS)
                .anyMatch(ListedResult::completed)
                .anyMatch(result -> !result.completed());
    }

    /** Guards against items that are given up because the newest routes cannot be decoded by this release. */
    @Test
    void itemsWaitWhileTheNewestRoutesCannotBeRead() {
        configure(FIRST);
        jobs.nodes.run(1_000);
        lag(B, 5_000);
        lag(C, 5_000);
        jobs.nodes.run(OPEN_READ_MS);
        configure(FIRST, ADDED);
        jobs.nodes.run(100);
        submitSix(A, JOB, ADDED);
        jobs.nodes.append(new StoreRequest.Append(
                StoredRoutes.ROUTES,
                List.of(new KeyedRecord("table", ByteString.copyFromUtf8("{"))),
                Optional.empty(),
                1_000));
        jobs.nodes.store().compact();
        jobs.nodes.run(10_000);
        assertThat(resultsOfSix(JOB)).hasSizeLessThan(6 * ITEMS).allMatch(ListedResult::completed);
        configure(FIRST, ADDED);
        jobs.nodes.run(10_000);
        assertThat(resultsOfSix(JOB)).hasSize(6 * ITEMS).allMatch(ListedResult::completed);
    }

    /** Guards against an item that is given up after its first failure, as its owner reads late that its route is back. */
    @Test
    void itemThatFailsWhileItsOwnerMissesItsRouteIsNotGivenUpBeforeMaxAttempts() {
        jobs.setOutcomes((item, run) -> run < VirtualJobs.MAX_ATTEMPTS
                ? FakeCapacity.failed(FailureKind.REJECTED, 500)
                : FakeCapacity.succeeded(item));
        jobs.nodes.setFaults(
                (host, request) -> !host.equals(A) && readsRoutes(request) ? StoreFault.SLOW : StoreFault.NONE);
        configure(FIRST, ADDED);
        jobs.nodes.run(2 * OPEN_READ_MS);
        configure(FIRST);
        jobs.nodes.run(20);
        configure(FIRST, ADDED);
        jobs.nodes.run(20);
        submitSix(A, JOB, ADDED);
        jobs.nodes.run(20_000);
        assertThat(resultsOfSix(JOB)).hasSize(6 * ITEMS).allMatch(ListedResult::completed);
    }

    /**
     * Guards against items that are given up although their route is there, and against such that are never listed,
     * whatever the daemons know of the routes: each reads them up to 10 s late, and jobs are accepted at the daemon that
     * is ahead.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void itemsAreGivenUpOnlyIfTheirRouteWasRemovedAfterTheirAcceptance(long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        jobs.setOutcomes((item, run) -> run < VirtualJobs.MAX_ATTEMPTS && item.hashCode() % 3 == 0
                ? FakeCapacity.failed(FailureKind.REJECTED, 500)
                : FakeCapacity.succeeded(item));
        Set<String> prefixes = new TreeSet<>(Set.of(FIRST));
        Map<String, Long> removedAt = new HashMap<>();
        Map<String, Accepted> accepted = new TreeMap<>();
        configure(FIRST);
        jobs.nodes.run(1_000);
        for (int step = 0; step < 60; step++) {
            if (random.nextInt(4) == 0) {
                lag(hosts().get(random.nextInt(3)), random.nextLong(10_000));
            }
            if (random.nextInt(3) == 0) {
                String prefix = "/route-" + random.nextInt(3) + "/";
                if (!prefixes.add(prefix)) {
                    prefixes.remove(prefix);
                    removedAt.put(prefix, version + 1);
                }
                configure(prefixes.toArray(String[]::new));
            }
            jobs.nodes.run(random.nextLong(300));
            HostId ahead = hosts().stream()
                    .max(Comparator.comparing(host -> jobs.routes.get(host).version()))
                    .orElseThrow();
            List<String> served = jobs.routes.get(ahead).table().stream()
                    .flatMap(table -> table.routes().stream())
                    .map(route -> route.pathPrefix())
                    .toList();
            String prefix = served.get(random.nextInt(served.size()));
            String id = "job-" + step;
            if (submit(ahead, id, prefix)) {
                accepted.put(id, new Accepted(prefix, jobs.routes.get(ahead).version()));
            }
        }
        long lagMs = lagsUntilMs.values().stream()
                .mapToLong(untilMs -> untilMs - jobs.nodes.nowMs())
                .max()
                .orElse(0);
        jobs.nodes.run(Math.max(0, lagMs) + LISTED_WITHIN_MS + 20_000);
        accepted.forEach((id, job) -> {
            List<ListedResult> results = results(id);
            assertThat(results).as(id + " under " + job.prefix()).hasSize(ITEMS);
            if (removedAt.getOrDefault(job.prefix(), 0L) <= job.version() && prefixes.contains(job.prefix())) {
                assertThat(results).as(id + " under " + job.prefix()).allMatch(ListedResult::completed);
            }
        });
    }

    private static List<HostId> hosts() {
        return List.of(A, B, C);
    }

    private void configure(String... prefixes) {
        version++;
        jobs.nodes.append(StoredRoutes.append(version, List.of(prefixes)));
    }

    /** Lets the store refuse a daemon's reads of the routes for some time. */
    private void lag(HostId host, long durationMs) {
        lagsUntilMs.put(host, jobs.nodes.nowMs() + durationMs);
        jobs.nodes.setFaults(
                (caller, request) -> readsRoutes(request) && jobs.nodes.nowMs() < lagsUntilMs.getOrDefault(caller, 0L)
                        ? StoreFault.REFUSED
                        : StoreFault.NONE);
    }

    private static boolean readsRoutes(StoreRequest request) {
        TopicPartition partition = request instanceof StoreRequest.Read read
                ? read.partition()
                : request instanceof StoreRequest.ReadNewest newest ? newest.partition() : null;
        return StoredRoutes.ROUTES.equals(partition);
    }

    /** Submits a job if a route of the daemon matches, as the gateway does; returns whether it was accepted. */
    private boolean submit(HostId host, String id, String prefix) {
        Optional<RouteTable> table = jobs.routes.get(host).table();
        SubmitJob submit = VirtualJobs.job(id, prefix, ITEMS, jobs.nodes.nowMs());
        assertThat(table.flatMap(present -> present.select(submit.content().host(), prefix)))
                .as("route of " + id + " at " + host)
                .isPresent();
        RequestId request = jobs.nodes.submit(host, submit);
        return jobs.await(request) instanceof JobAccepted;
    }

    /** Submits jobs whose partitions belong to all daemons. */
    private void submitSix(HostId host, String id, String prefix) {
        for (int i = 0; i < 6; i++) {
            submit(host, id + "-" + i, prefix);
        }
    }

    private List<ListedResult> resultsOfSix(String id) {
        List<ListedResult> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            all.addAll(results(id + "-" + i));
        }
        return all;
    }

    private List<ListedResult> results(String id) {
        return ((JobPage) jobs.read(A, id, 0)).results();
    }

    private record Accepted(String prefix, long version) {}
}
