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

/** Drives operators, outages, cuts, lost answers, snapshots, retention and restarts at random. */
class NeverRevertsTests {

    private static final List<String> PATHS = List.of("/a/share", "/a/b/share", "/c/share");
    private static final List<String> HOSTS = List.of("a1", "a2", "b1");
    private static final int STEPS = 60;

    @Property(tries = 60, seed = "4711")
    void noDaemonEverShowsAnOlderVersionAndAllAgreeInTheEnd(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ConfigCluster cluster = new ConfigCluster(seed);
        HOSTS.forEach(cluster::start);
        cluster.runFor(1_000);
        Map<String, Long> highest = new HashMap<>();

        for (int step = 0; step < STEPS; step++) {
            act(cluster, random, highest);
            cluster.runFor(random.nextLong(random.nextInt(10) == 0 ? 2 * 3_600_000 : 3_000));
            requireNoReversal(cluster, highest);
        }
        heal(cluster);

        requireNoReversal(cluster, highest);
        for (String path : PATHS) {
            Optional<SettingEntry> entry = cluster.nodes.get("a1").entry(path);
            assertThat(cluster.nodes.values())
                    .allSatisfy(node -> assertThat(node.entry(path)).isEqualTo(entry));
        }
    }

    private static void act(ConfigCluster cluster, SplittableRandom random, Map<String, Long> highest) {
        String host = HOSTS.get(random.nextInt(HOSTS.size()));
        String path = PATHS.get(random.nextInt(PATHS.size()));
        switch (random.nextInt(9)) {
            case 0 -> cluster.log.toggleOutage();
            case 1 -> cluster.log.loseNextAnswer();
            case 2 -> cluster.log.repeatNextAppend();
            case 3 -> cluster.cutFromLog(random.nextBoolean() ? host::equals : other -> false);
            case 4 -> {
                boolean cut = random.nextBoolean();
                cluster.cutPeers((from, to) -> cut && (from.equals(host) || to.equals(host)));
            }
            case 5 -> expireWhatASnapshotCovers(cluster);
            case 6 -> {
                cluster.start(host);
                highest.keySet().removeIf(key -> key.startsWith(host + " "));
            }
            default -> {
                Optional<String> value =
                        random.nextInt(4) == 0 ? Optional.empty() : Optional.of("" + (1 + random.nextInt(900)));
                cluster.nodes.get(host).ask(new ChangeSetting(path, Optional.empty(), value));
            }
        }
    }

    private static void expireWhatASnapshotCovers(ConfigCluster cluster) {
        cluster.log.records().stream()
                .map(NeverRevertsTests::coveredBeforeOffset)
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

    private static void requireNoReversal(ConfigCluster cluster, Map<String, Long> highest) {
        for (ConfigCluster.Node node : cluster.nodes.values()) {
            for (String path : PATHS) {
                long version = node.entry(path).map(SettingEntry::version).orElse(0L);
                long before = highest.merge(node.host + " " + path, version, Math::max);
                assertThat(version).as(node.host + " " + path).isGreaterThanOrEqualTo(before);
            }
        }
    }

    private static void heal(ConfigCluster cluster) {
        cluster.log.out = false;
        cluster.log.answersToLose = 0;
        cluster.cutFromLog(host -> false);
        cluster.cutPeers((from, to) -> false);
        cluster.runFor(60_000);
    }
}
