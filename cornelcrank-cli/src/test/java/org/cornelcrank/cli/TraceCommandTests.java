package org.cornelcrank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests traces that are reconstructed from the logs of real runs. */
class TraceCommandTests {

    private static final Pattern TIMESTAMP = Pattern.compile("\"timestamp\":(\\d+)");
    private static final long SKEW_MS = 5_000;

    @TempDir
    private Path directory;

    @Test
    void interruptedStream() throws IOException {
        Approvals.verify(trace("08235c809065a3e8", log("stream-cut")));
    }

    @Test
    void itemGivenUpAfterFailures() throws IOException {
        Approvals.verify(trace("d1e10f8f3438a416", log("item-given-up")));
    }

    @Test
    void requestRefusedDuringDaemonStartup() throws IOException {
        Approvals.verify(trace("222b5ce15091e568", log("refused-while-starting")));
    }

    @Test
    void jobWrittenThroughAPeer() throws IOException {
        Approvals.verify(trace("62a99126f023b752", log("job-written-through-another")));
    }

    /** The order must not depend on the clocks of the hosts, which may differ by seconds and jump. */
    @Test
    void orderDoesNotDependOnTheClocks() throws IOException {
        for (long skewMs : new long[] {-SKEW_MS, SKEW_MS}) {
            List<String> skewed = log("job-written-through-another").stream()
                    .map(line -> line.startsWith("edge-kzd-a-2") ? shifted(line, skewMs) : line)
                    .toList();
            assertThat(trace("62a99126f023b752", skewed))
                    .containsSubsequence(
                            "written through edge-kzd-a-2", "written for", "epoch 1870012", "epoch 2976237");
        }
    }

    @Test
    void unknownIdAndUnreadableLinesAreReported() throws IOException {
        Path file = directory.resolve("entry-1.log");
        Files.write(file, List.of("{\"timestamp\":1,\"formattedMessage\":\"cut of", "not JSON at all"));
        ProgramRun run = ProgramRun.of("trace", "unknown", file.toString());
        assertThat(run.exitCode()).isEqualTo(6);
        assertThat(run.err()).contains("1 lines could not be read").contains("none of 0 lines mentions unknown");
    }

    private String trace(String id, List<String> lines) throws IOException {
        Path file = directory.resolve("collected.log");
        Files.write(file, lines);
        ProgramRun run = ProgramRun.of("trace", id, file.toString());
        assertThat(run.err()).isEmpty();
        assertThat(run.exitCode()).isZero();
        return run.out();
    }

    private static List<String> log(String name) throws IOException {
        return Files.readAllLines(Path.of("src/test/resources/trace", name + ".log"));
    }

    private static String shifted(String line, long byMs) {
        Matcher matcher = TIMESTAMP.matcher(line);
        return matcher.replaceFirst(found -> "\"timestamp\":" + (Long.parseLong(found.group(1)) + byMs));
    }
}
