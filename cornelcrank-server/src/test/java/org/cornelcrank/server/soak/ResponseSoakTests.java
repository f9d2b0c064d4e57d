package org.cornelcrank.server.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests daemons in processes of their own with targets that write responses twice. {@code -Dsoak.seeds=7-9} and
 * {@code -Dsoak.seconds=20} choose other seeds and another length; logs are kept under {@code target/soak}.
 */
class ResponseSoakTests {

    private static final long MS_PER_SECOND = 1_000;
    private static final int SHOWN = 5;

    static LongStream seeds() {
        String[] bounds = System.getProperty("soak.seeds", "1-3").split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[bounds.length - 1]));
    }

    /** Guards against responses that are not those of the target to the very request. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void callersGetWhatTheTargetsWroteForTheirRequests(long seed) throws IOException, InterruptedException {
        Path logs = Path.of(System.getProperty("soak.directory", "target/soak"));
        try (ResponseSoak soak = new ResponseSoak(seed, logs)) {
            List<String> faults = soak.run(Long.getLong("soak.seconds", 12) * MS_PER_SECOND);
            System.out.println(soak.summary() + ", faults: " + faults.size());
            assertThat(faults.stream().limit(SHOWN))
                    .as("%s, faults: %d", soak.summary(), faults.size())
                    .isEmpty();
        }
    }
}
