package org.cornelcrank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.fleet.FleetPlan;
import org.cornelcrank.cli.fleet.LocalFleet;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the operator and job commands against a daemon over real sockets. */
class OperatorCommandsTests {

    private static final String MODEL = "saarthi-lm";

    private static LocalFleet fleet;

    @TempDir
    private Path directory;

    @BeforeAll
    static void startFleet() throws IOException {
        fleet = new LocalFleet(plan(), List.of("--drain-delay-ms", "100"));
        fleet.start();
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
    }

    @Test
    void settingCanBeSetReadAndDeleted() {
        assertThat(operator("config", "set", "/t1/kiosk/deadline-ms", "3000").exitCode())
                .isZero();
        assertThat(operator("config", "get", "/t1/kiosk/deadline-ms").out()).contains("value: 3000");
        assertThat(operator("config", "list", "/t1").out()).contains("/t1/kiosk/deadline-ms");
        assertThat(operator("config", "delete", "/t1/kiosk/deadline-ms").exitCode())
                .isZero();
        assertThat(operator("config", "get", "/t1/kiosk/deadline-ms").exitCode())
                .isEqualTo(ExitCode.NOT_FOUND.number());
    }

    @Test
    void changeWithAnOutdatedExpectedVersionIsAConflict() throws IOException {
        JsonNode first = json(operator("config", "set", "/t2/share", "2", "--json"));
        String version = first.path("version").asText();
        assertThat(operator("config", "set", "/t2/share", "3", "--expect-version", version)
                        .exitCode())
                .isZero();
        ProgramRun outdated = operator("config", "set", "/t2/share", "4", "--expect-version", version);
        assertThat(outdated.exitCode()).isEqualTo(ExitCode.CONFLICT.number());
        assertThat(operator("config", "get", "/t2/share").out()).contains("value: 3");
    }

    @Test
    void invalidValueIsRejectedWithThePathAndTheAllowedValues() {
        ProgramRun run = operator("config", "set", "/t3/urgency", "urgent");
        assertThat(run.exitCode()).isEqualTo(ExitCode.FAILED.number());
        assertThat(run.err()).contains("/t3/urgency", "urgent", "immediate", "not-run");
    }

    @Test
    void watchShowsChangesAfterTheGivenVersion() throws IOException {
        JsonNode before = json(operator("config", "list", "--json"));
        operator("config", "set", "/t4/share", "5");
        ProgramRun run = operator(
                "config", "watch", "/t4", "--from", before.path("version").asText(), "--count", "1");
        assertThat(run.out()).contains("/t4/share");
    }

    @Test
    void callerKeyMayNotChangeSettings() {
        assertThat(caller("config", "set", "/t5/share", "5").exitCode()).isEqualTo(ExitCode.DENIED.number());
        assertThat(ProgramRun.of(environment("no.body"), "job", "list").exitCode())
                .isEqualTo(ExitCode.DENIED.number());
    }

    @Test
    void resubmittedFileReturnsTheSameJobAndItsResultsStayReadable() throws IOException {
        Path items = Files.writeString(directory.resolve("items.jsonl"), item("a", "one") + item("b", "two"));
        JsonNode job = json(caller("job", "submit", items.toString(), "--wait", "--json"));
        assertThat(job.path("status").asText()).isEqualTo("completed");
        String id = job.path("id").asText();
        assertThat(json(caller("job", "submit", items.toString(), "--json"))
                        .path("id")
                        .asText())
                .isEqualTo(id);
        ProgramRun results = caller("job", "results", id);
        assertThat(results.out().lines()).hasSize(2).allMatch(line -> line.contains("\"status_code\":200"));
        assertThat(caller("job", "list").out()).contains(id);
    }

    @Test
    void malformedLineIsReportedAndNothingIsAccepted() throws IOException {
        Path items = Files.writeString(directory.resolve("broken.jsonl"), item("a", "one") + "{\"custom_id\":\n");
        ProgramRun run = caller("job", "submit", items.toString());
        assertThat(run.exitCode()).isEqualTo(ExitCode.FAILED.number());
        assertThat(run.err()).contains("line 2", "not-run");
    }

    @Test
    void fileWithManyGroupsOfLinesIsAcceptedCompletely() throws IOException {
        String lines = IntStream.range(0, 4_000)
                .mapToObj(i -> item("large-" + i, "x".repeat(1_500) + i))
                .collect(Collectors.joining());
        Path items = Files.writeString(directory.resolve("large.jsonl"), lines);
        JsonNode job = json(caller("job", "submit", items.toString(), "--json"));
        assertThat(job.path("request_counts").path("total").asInt()).isEqualTo(4_000);
        caller("job", "cancel", job.path("id").asText());
    }

    @Test
    void cancelledJobIsShownAsCancelled() throws IOException {
        Path items = Files.writeString(
                directory.resolve("many.jsonl"),
                IntStream.range(0, 400)
                        .mapToObj(i -> item("item-" + i, "visit " + i))
                        .collect(Collectors.joining()));
        String id = json(caller("job", "submit", items.toString(), "--json"))
                .path("id")
                .asText();
        assertThat(caller("job", "cancel", id).exitCode()).isZero();
        assertThat(caller("job", "status", id, "--wait").out()).contains("cancelled");
    }

    @Test
    void dumpNamesItsSectionsAndContainsNoSecret() {
        ProgramRun dump = operator("dump");
        assertThat(dump.exitCode()).isZero();
        assertThat(dump.out()).contains("membership").doesNotContain(secretOf(fleet.operatorBearer()));
        assertThat(operator("dump", "--section", "membership").out().length())
                .isLessThan(dump.out().length());
    }

    @Test
    void explanationStatesThatNothingIsKnown() {
        assertThat(operator("explain", "job", "job-unknown").out()).contains("known: false");
    }

    private static ProgramRun operator(String... words) {
        return ProgramRun.of(environment(fleet.operatorBearer()), words);
    }

    private static ProgramRun caller(String... words) {
        return ProgramRun.of(environment(fleet.bearer("c1")), words);
    }

    private static Map<String, String> environment(String key) {
        String url = fleet.entryHosts().get(0).url();
        return Map.of(Invocation.URL_VARIABLE, url, Invocation.KEY_VARIABLE, key);
    }

    private static JsonNode json(ProgramRun run) throws IOException {
        assertThat(run.err()).isEmpty();
        return new ObjectMapper().readTree(run.out());
    }

    private static String secretOf(String bearer) {
        return bearer.substring(bearer.indexOf('.') + 1);
    }

    private static String item(String customId, String prompt) {
        return "{\"custom_id\":\"%s\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"%s\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}}\n"
                .formatted(customId, MODEL, prompt);
    }

    private static FleetPlan plan() {
        return new FleetPlan(
                "test",
                2,
                List.of(new FleetPlan.DataCentre("dc-1", "region-1", 1)),
                List.of(new FleetPlan.Engines(MODEL, "dc-1", 1, 4, 64, 50, 2_000, 0, 50)),
                List.of(),
                Map.of(
                        "/fleet/services/" + MODEL + "/kind",
                        "model",
                        "/team/home-region",
                        "region-1",
                        "/team/services",
                        MODEL),
                List.of(new FleetPlan.Key("/team", "c1", "caller")));
    }
}
