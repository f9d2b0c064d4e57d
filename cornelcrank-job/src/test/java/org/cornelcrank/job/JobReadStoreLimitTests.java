package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.cornelcrank.core.JobId;
import org.cornelcrank.store.fake.SharedLink;
import org.cornelcrank.store.fake.StoreNetwork;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Reads jobs from a store with limits of calls and bytes, after a start of all daemons. */
class JobReadStoreLimitTests {

    private static final int CALLS_PER_SECOND = 2_000;
    private static final long BITS_PER_SECOND = 640_000_000;
    private static final int JOBS = 200;
    private static final int SMALL_RESULT_BYTES = 100;
    private static final long PAUSE_MS = 500;

    /** Guards against callers who are refused together, come back together, and keep the store at its limit of calls. */
    @ParameterizedTest
    @CsvSource({"10, false", "60, true", "390, true"})
    void partitionsGetOwnersWhileCallersKeepTheStoreAtItsLimitOfCalls(int hosts, boolean limitReached) {
        Day day = new Day(VirtualJobSites.inOneRegion(hosts, 1), SMALL_RESULT_BYTES, true);
        String report = day.play(5_000);
        assertThat(day.sites.allOwned()).as(report).isTrue();
        assertThat(day.sites.network.refusedReads() > 0).as(report).isEqualTo(limitReached);
    }

    /** Guards against partitions that stay without owners, and jobs that nobody can read, until callers give up. */
    @ParameterizedTest
    @ValueSource(ints = {10, 60, 390})
    void partitionsGetOwnersAndCallersTheirJobsOverTheLinkBetweenRegions(int hosts) {
        Day day = new Day(new VirtualJobSites(hosts, 1), VirtualJobSites.RESULT_BYTES, false);
        String report = day.play(2_000);
        assertThat(day.sites.allOwned()).as(report).isTrue();
        assertThat(day.readers).as(report).allMatch(VirtualReader::done);
    }

    /** Guards against reads of callers that leave the loads of new owners too little of a full link. */
    @ParameterizedTest
    @CsvSource({"10, 43", "10, 2000", "60, 43", "60, 200", "390, 43", "390, 600"})
    void partitionsGetOwnersWhileCallersReadJobsAgainOverTheLinkBetweenRegions(int hosts, int callers) {
        Day day = new Day(new VirtualJobSites(hosts, 1), VirtualJobSites.RESULT_BYTES, true);
        String report = day.play(callers, 2 * day.sites.loadMs());
        assertThat(day.sites.allOwned()).as(report).isTrue();
    }

    /** A start of all daemons, with callers from the first moment on. */
    private static final class Day {

        private final VirtualJobSites sites;
        private final boolean readAgain;
        private final List<JobId> jobs = new ArrayList<>();
        private final List<VirtualReader> readers = new ArrayList<>();
        private int jobsRead;
        private int failedReads;

        Day(VirtualJobSites sites, int resultBytes, boolean readAgain) {
            this.sites = sites;
            this.readAgain = readAgain;
            sites.network.limitReads(
                    new StoreNetwork.ReadLimits(CALLS_PER_SECOND, new SharedLink(sites.nodes, BITS_PER_SECOND)));
            RandomGenerator random =
                    RandomGeneratorFactory.of("L64X128MixRandom").create(1);
            for (int i = 0; i < JOBS; i++) {
                String id = "stored-%03d".formatted(i);
                jobs.add(new JobId(id));
                VirtualJobSites.storedJob(id, random, resultBytes).forEach(sites.nodes::append);
            }
        }

        /** Plays until all partitions have owners, at most until a caller who waits for them would give up. */
        String play(int callers) {
            return play(callers, sites.loadMs() + VirtualReader.PATIENCE_MS);
        }

        /** Plays until all partitions have owners, at most for this time after all daemons have got their leases. */
        String play(int callers, long loadLimitMs) {
            sites.start(sites.hosts());
            for (int i = 0; i < callers; i++) {
                read(jobs.get(i % JOBS));
            }
            long startedAtMs = sites.nodes.nowMs();
            long limitMs = VirtualJobSites.START_SPREAD_MS + 2 * VirtualJobSites.RENEW_INTERVAL_MS + loadLimitMs;
            while (!sites.allOwned() && sites.nodes.nowMs() - startedAtMs < limitMs) {
                sites.nodes.run(10);
            }
            String report =
                    "%d hosts, %d callers: all owned %s after %d ms (%d ms at link rate), %d calls, %d refused, %d kB, %d of %d reads done, %d jobs read, %d reads failed"
                            .formatted(
                                    sites.hosts().size(),
                                    callers,
                                    sites.allOwned(),
                                    sites.nodes.nowMs() - startedAtMs,
                                    sites.loadMs(),
                                    sites.network.readCalls(),
                                    sites.network.refusedReads(),
                                    sites.network.responseBytes() / 1_000,
                                    readers.stream().filter(VirtualReader::done).count(),
                                    readers.size(),
                                    jobsRead,
                                    failedReads);
            System.out.println(report);
            return report;
        }

        private void read(JobId job) {
            VirtualReader[] reader = new VirtualReader[1];
            reader[0] = new VirtualReader(sites, job, Long.MAX_VALUE, (host, reply) -> {
                failedReads += reply.isPresent() && reply.get() instanceof JobPage ? 0 : 1;
                sites.nodes.later(1, () -> readAgain(reader[0], job));
            });
            if (!readAgain) {
                readers.add(reader[0]);
            }
            reader[0].read();
        }

        private void readAgain(VirtualReader reader, JobId job) {
            if (reader.done()) {
                jobsRead++;
                if (readAgain) {
                    sites.nodes.later(PAUSE_MS, () -> read(job));
                }
            }
        }
    }
}
