package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.store.fake.VirtualNodes.StoreFault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class JobReadPropertyTests {

    private static final int STORED_JOBS = 188;
    private static final int SUBMITTED_JOBS = 12;
    private static final long REACHABLE_MS = 1_000;
    private static final long OUTAGE_MS = 4_000;
    private static final long REFUSAL_MS = 5_000;
    private static final long DELAYED_MS = 5_000;
    private static final long MESSAGE_DELAY_MS = 1_500;
    private static final double LOST_FACTS = 0.3;
    /** A job is read once during the disruption and once after it; a third read leaves room for callers that give up. */
    private static final long MAX_BYTES_PER_JOB = 3L * VirtualJobSites.ITEMS * VirtualJobSites.RESULT_BYTES * 4 / 3;

    private static final Map<JobId, List<StoreRequest.Append>> STORED = storedJobs();

    private static Map<JobId, List<StoreRequest.Append>> storedJobs() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        Map<JobId, List<StoreRequest.Append>> jobs = new LinkedHashMap<>();
        for (int i = 0; i < STORED_JOBS; i++) {
            String id = "stored-%03d".formatted(i);
            jobs.put(new JobId(id), VirtualJobSites.storedJob(id, random));
        }
        return jobs;
    }

    static Stream<Arguments> cases() {
        return Stream.of(Disruption.values()).flatMap(disruption -> Stream.of(10, 60, 390)
                .flatMap(hosts -> Stream.of(1L, 2L).map(seed -> Arguments.of(disruption, hosts, seed))));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void acceptedJobStaysReadableFromAnyDaemon(Disruption disruption, int hosts, long seed) {
        Day day = new Day(hosts, seed);
        day.play(disruption, true);
        long storeBytes = day.storeBytes();
        Day unread = new Day(hosts, seed);
        if (disruption.replacesOwners) {
            unread.play(disruption, false);
        }
        long bytesPerJob = (storeBytes - unread.storeBytes()) / day.jobs.size();
        String report =
                "%s, %d hosts, seed %d: %d of %d jobs unread, reads %s, before %s, %d kB a job from the store; all partitions owned after %d ms, %d ms without reads, %d ms at link rate"
                        .formatted(
                                disruption,
                                hosts,
                                seed,
                                day.unread().size(),
                                day.jobs.size(),
                                outcomes(day.readers),
                                outcomes(day.earlyReaders),
                                bytesPerJob / 1_000,
                                day.ownedAfterMs,
                                unread.ownedAfterMs,
                                day.reachableAtMs);
        System.out.println(report);
        assertThat(outcomes(day.readers)).as(report).doesNotContainKey(VirtualReader.Outcome.MISSING);
        assertThat(outcomes(day.earlyReaders)).as(report).doesNotContainKey(VirtualReader.Outcome.MISSING);
        assertThat(day.unread()).as(report).isEmpty();
        assertThat(day.sites.allOwned()).as(report).isTrue();
        assertThat(bytesPerJob).as(report).isLessThanOrEqualTo(MAX_BYTES_PER_JOB);
    }

    private static Map<VirtualReader.Outcome, Integer> outcomes(List<VirtualReader> readers) {
        Map<VirtualReader.Outcome, Integer> counts = new EnumMap<>(VirtualReader.Outcome.class);
        readers.forEach(reader -> reader.outcomes().forEach(outcome -> counts.merge(outcome, 1, Integer::sum)));
        return counts;
    }

    /** What happens before all jobs are read. */
    private enum Disruption {
        NONE(false),
        /** All daemons lose power, and start again together. */
        COLD_RESTART(true),
        /** All owners stand still for a time that is shorter than their leases. */
        OWNERS_PAUSED(false),
        /** For some time the messages of all owners arrive after their readers have given up. */
        OWNERS_DELAYED(false),
        /** A third of the daemons can reach no owner, and many daemons miss the publications of owners. */
        OWNERS_UNREACHABLE(false),
        /** A third of the owners are killed. */
        OWNERS_REPLACED(true),
        /** A third of the owners are cut from the store, and reach it again later. */
        OWNERS_CUT_FROM_STORE(true),
        /** The store refuses the calls of a third of the daemons. */
        STORE_REFUSES_THIRD(true);

        private final boolean replacesOwners;

        Disruption(boolean replacesOwners) {
            this.replacesOwners = replacesOwners;
        }
    }

    /** Jobs that are accepted and done, a disruption, and reads of all jobs during and after it. */
    private static final class Day {

        private final VirtualJobSites sites;
        private final List<JobId> jobs = new ArrayList<>();
        private final List<VirtualReader> earlyReaders = new ArrayList<>();
        private final List<VirtualReader> readers = new ArrayList<>();
        private long storeBytesBefore;
        private long reachableAtMs;

        /** When all partitions of killed daemons had an owner again; negative if that was not seen. */
        private long ownedAfterMs = -1;

        Day(int hosts, long seed) {
            sites = new VirtualJobSites(hosts, seed);
        }

        void play(Disruption disruption, boolean read) {
            acceptJobs();
            sites.loseFacts(disruption == Disruption.OWNERS_UNREACHABLE ? LOST_FACTS : 0);
            storeBytesBefore = sites.network.responseBytes();
            long reachableAfterMs = disrupt(disruption);
            if (read && disruption != Disruption.NONE) {
                readAll(earlyReaders, reachableAfterMs);
            }
            reachableAtMs = reachableAfterMs;
            measureOwned(sites.nodes.nowMs());
            sites.nodes.run(reachableAfterMs + REACHABLE_MS);
            if (read) {
                readAll(readers, 1);
            }
            sites.nodes.run(VirtualReader.PATIENCE_MS + 1);
        }

        private void measureOwned(long sinceMs) {
            if (sites.allOwned()) {
                ownedAfterMs = sites.nodes.nowMs() - sinceMs;
            } else {
                sites.nodes.later(10, () -> measureOwned(sinceMs));
            }
        }

        private void acceptJobs() {
            STORED.forEach((job, appends) -> {
                jobs.add(job);
                appends.forEach(sites.nodes::append);
            });
            sites.start(sites.hosts());
            runUntilOwned();
            for (int i = 0; i < SUBMITTED_JOBS; i++) {
                SubmitJob job = VirtualJobSites.job("submitted-%02d".formatted(i), sites.random(), sites.nodes.nowMs());
                jobs.add(job.job());
                HostId host =
                        sites.hosts().get(sites.random().nextInt(sites.hosts().size()));
                sites.nodes.submit(host, job, reply -> assertThat(reply).isInstanceOf(JobAccepted.class));
            }
            sites.nodes.run(5_000);
        }

        private void runUntilOwned() {
            sites.nodes.run(5_000);
            for (int i = 0; i < 100 && !sites.allOwned(); i++) {
                sites.nodes.run(500);
            }
            assertThat(sites.allOwned()).isTrue();
        }

        /** Starts the disruption, and returns after how many ms each partition has an owner that can be reached. */
        private long disrupt(Disruption disruption) {
            long takeOverMs = 2 * VirtualJobSites.RENEW_INTERVAL_MS + sites.loadMs();
            switch (disruption) {
                case COLD_RESTART -> {
                    sites.kill(sites.hosts());
                    sites.nodes.run(OUTAGE_MS);
                    sites.start(sites.hosts());
                    return VirtualJobSites.START_SPREAD_MS + takeOverMs;
                }
                case OWNERS_PAUSED -> {
                    long longestMs = VirtualJobSites.LEASE_MS - VirtualJobSites.RENEW_INTERVAL_MS;
                    for (HostId owner : sites.owners()) {
                        sites.nodes.freeze(owner);
                        sites.nodes.later(sites.random().nextLong(1_000, longestMs), () -> sites.nodes.thaw(owner));
                    }
                    return longestMs;
                }
                case OWNERS_DELAYED -> {
                    for (HostId owner : sites.owners()) {
                        sites.delayMessages(owner, MESSAGE_DELAY_MS);
                        sites.nodes.later(DELAYED_MS, () -> sites.delayMessages(owner, 0));
                    }
                    return DELAYED_MS + MESSAGE_DELAY_MS;
                }
                case OWNERS_UNREACHABLE -> {
                    List<HostId> owners = sites.owners();
                    for (HostId host : third()) {
                        owners.forEach(owner -> sites.cut(host, owner));
                    }
                    return REACHABLE_MS;
                }
                case OWNERS_CUT_FROM_STORE -> {
                    for (HostId owner : thirdOfOwners()) {
                        sites.network.cut(owner);
                        sites.nodes.later(REFUSAL_MS, () -> sites.network.restore(owner));
                    }
                    return REFUSAL_MS + takeOverMs;
                }
                case OWNERS_REPLACED -> {
                    sites.kill(thirdOfOwners());
                    return VirtualJobSites.LEASE_MS + takeOverMs;
                }
                case STORE_REFUSES_THIRD -> {
                    Set<HostId> refused = Set.copyOf(third());
                    sites.nodes.setFaults(
                            (host, request) -> refused.contains(host) ? StoreFault.REFUSED : StoreFault.NONE);
                    sites.nodes.later(REFUSAL_MS, () -> sites.nodes.setFaults((host, request) -> StoreFault.NONE));
                    return REFUSAL_MS + takeOverMs;
                }
                default -> {
                    return 0;
                }
            }
        }

        private List<HostId> third() {
            return IntStream.range(0, sites.hosts().size())
                    .filter(number -> number % 3 == 0)
                    .mapToObj(sites.hosts()::get)
                    .toList();
        }

        private List<HostId> thirdOfOwners() {
            List<HostId> owners = sites.owners();
            return owners.subList(0, (owners.size() + 2) / 3);
        }

        /** Starts to read each job, at a random time within the given one. */
        private void readAll(List<VirtualReader> started, long withinMs) {
            for (JobId job : jobs) {
                sites.nodes.later(sites.random().nextLong(withinMs), () -> {
                    VirtualReader reader = new VirtualReader(sites, job);
                    started.add(reader);
                    reader.read();
                });
            }
        }

        List<JobId> unread() {
            return readers.stream()
                    .filter(reader -> !reader.done())
                    .map(VirtualReader::job)
                    .toList();
        }

        /** Returns the bytes that daemons have read from the store since the disruption. */
        long storeBytes() {
            return sites.network.responseBytes() - storeBytesBefore;
        }
    }
}
