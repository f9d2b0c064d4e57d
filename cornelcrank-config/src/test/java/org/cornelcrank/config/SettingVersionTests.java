package org.cornelcrank.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import com.google.protobuf.InvalidProtocolBufferException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cornelcrank.core.LogRecord;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs random changes, outages, network partitions, lost responses, snapshots, expiries and restarts. */
class SettingVersionTests {

    private static final List<String> PATHS = List.of("/a/share", "/a/b/share", "/c/share");
    private static final List<String> HOSTS = List.of("a1", "a2", "b1");
    private static final int STEPS = 60;

    @Property(tries = 60, seed = "4711")
    void versionsNeverDecreaseAndDaemonsConverge(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ConfigCluster cluster = new ConfigCluster(seed);
        HOSTS.forEach(cluster::start);
        cluster.runFor(1_000);
        Map<String, Long> highest = new HashMap<>();

        for (int step = 0; step < STEPS; step++) {
            performRandomAction(cluster, random, highest);
            cluster.runFor(random.nextLong(random.nextInt(10) == 0 ? 2 * 3_600_000 : 3_000));
            requireVersionsNotDecreased(cluster, highest);
        }
        restoreAll(cluster);

        requireVersionsNotDecreased(cluster, highest);
        for (String path : PATHS) {
            Optional<SettingEntry> entry = cluster.daemons.get("a1").entry(path);
            assertThat(cluster.daemons.values())
                    .allSatisfy(daemon -> assertThat(daemon.entry(path)).isEqualTo(entry));
        }
    }

    private static void performRandomAction(ConfigCluster cluster, SplittableRandom random, Map<String, Long> highest) {
        String host = HOSTS.get(random.nextInt(HOSTS.size()));
        String path = PATHS.get(random.nextInt(PATHS.size()));
        switch (random.nextInt(9)) {
            case 0 -> cluster.log.toggleOutage();
            case 1 -> cluster.log.loseNextResponse();
            case 2 -> cluster.log.repeatNextAppend();
            case 3 -> cluster.logUnreachableFrom(random.nextBoolean() ? host::equals : other -> false);
            case 4 -> {
                boolean unreachable = random.nextBoolean();
                cluster.peersUnreachable((from, to) -> unreachable && (from.equals(host) || to.equals(host)));
            }
            case 5 -> expireRecordsCoveredBySnapshot(cluster);
            case 6 -> {
                cluster.start(host);
                highest.keySet().removeIf(key -> key.startsWith(host + " "));
            }
            default -> {
                Optional<String> value =
                        random.nextInt(4) == 0 ? Optional.empty() : Optional.of("" + (1 + random.nextInt(900)));
                cluster.daemons.get(host).send(new ChangeSetting(path, Optional.empty(), value));
            }
        }
    }

    private static void expireRecordsCoveredBySnapshot(ConfigCluster cluster) {
        cluster.log.records().stream()
                .map(SettingVersionTests::coveredBeforeOffset)
                .max(Long::compare)
                .ifPresent(cluster.log::expireBefore);
    }

    private static long coveredBeforeOffset(LogRecord record) {
        try {
            ConfigurationRecord.Content content =
                    ConfigurationRecordCodec.decode(record.payload()).content();
            return content instanceof ConfigurationRecord.SnapshotPart part ? part.coveredBeforeOffset() : 0;
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }

    private static void requireVersionsNotDecreased(ConfigCluster cluster, Map<String, Long> highest) {
        for (ConfigCluster.Daemon daemon : cluster.daemons.values()) {
            for (String path : PATHS) {
                long version = daemon.entry(path).map(SettingEntry::version).orElse(0L);
                long before = highest.merge(daemon.host + " " + path, version, Math::max);
                assertThat(version).as(daemon.host + " " + path).isGreaterThanOrEqualTo(before);
            }
        }
    }

    private static void restoreAll(ConfigCluster cluster) {
        cluster.log.unavailable = false;
        cluster.log.responsesToLose = 0;
        cluster.logUnreachableFrom(host -> false);
        cluster.peersUnreachable((from, to) -> false);
        cluster.runFor(60_000);
    }
}
