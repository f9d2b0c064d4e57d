package org.cornelcrank.server.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests daemons in processes of their own with targets that write responses twice. {@code -Dsoak.seeds=7-9},
 * {@code -Dsoak.troubled-seeds=7-9}, {@code -Dsoak.regions-seeds=7-9} and {@code -Dsoak.seconds=20} choose other seeds
 * and another length; logs are kept under {@code target/soak}, {@code target/soak-troubled} and
 * {@code target/soak-regions}. With {@code -Dsoak.production=DIRECTORY}, all daemons run
 * the build whose libraries are in that directory ({@code bin/build-deployment} puts them in {@code target/daemon}) until
 * they are upgraded.
 */
class ResponseSoakTests {

    private static final long MS_PER_SECOND = 1_000;
    private static final int SHOWN = 5;

    static LongStream seeds() {
        return seeds("soak.seeds", "1-3");
    }

    static LongStream troubledSeeds() {
        return seeds("soak.troubled-seeds", "1-2");
    }

    static LongStream regionsSeeds() {
        return seeds("soak.regions-seeds", "1-1");
    }

    private static LongStream seeds(String property, String defaultSeeds) {
        String[] bounds = System.getProperty(property, defaultSeeds).split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[bounds.length - 1]));
    }

    /** Guards against responses that are not those of the target to the very request. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void callersGetWhatTheTargetsWroteForTheirRequests(long seed) throws IOException, InterruptedException {
        run(seed, SoakShape.COPIES, "target/soak");
    }

    /** Guards against accepted jobs that stay out of reach once the store and all daemons are well again. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("troubledSeeds")
    void jobsAreReadAtEachDaemonAfterTroublesOfTheStore(long seed) throws IOException, InterruptedException {
        run(seed, SoakShape.TROUBLED, "target/soak-troubled");
    }

    /** Guards against streams and texts whose events are missing, stand twice, or come from two versions. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("regionsSeeds")
    void eventsKeepTheirOrderOverTwoRegionsAndARelease(long seed) throws IOException, InterruptedException {
        run(seed, SoakShape.REGIONS, "target/soak-regions");
    }

    private static void run(long seed, SoakShape shape, String logDirectory) throws IOException, InterruptedException {
        Path logs = Path.of(System.getProperty("soak.directory", logDirectory));
        Optional<String> production =
                Optional.ofNullable(System.getProperty("soak.production")).map(directory -> directory + "/*");
        try (ResponseSoak soak = new ResponseSoak(seed, shape, logs, production)) {
            List<String> faults = soak.run(Long.getLong("soak.seconds", 12) * MS_PER_SECOND);
            System.out.println(soak.summary() + ", faults: " + faults.size());
            assertThat(faults.stream().limit(SHOWN))
                    .as("%s, faults: %d", soak.summary(), faults.size())
                    .isEmpty();
        }
    }
}
