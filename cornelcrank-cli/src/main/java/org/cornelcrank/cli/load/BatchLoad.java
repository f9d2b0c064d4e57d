package org.cornelcrank.cli.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.JobClient;

/**
 * Submits a backlog of batch jobs and tracks how many of their items have ended.
 *
 * <p>Blocks the calling thread. Not thread-safe.
 */
final class BatchLoad {

    private final Scenario scenario;
    private final JobClient jobs;
    private final List<String> jobIds = new ArrayList<>();

    BatchLoad(Scenario scenario, DaemonClient daemon) {
        this.scenario = Objects.requireNonNull(scenario, "scenario must not be null");
        this.jobs = new JobClient(daemon);
    }

    /** Numbers of items over all jobs. */
    record Progress(long total, long completed, long failed) {

        boolean ended() {
            return completed + failed >= total;
        }
    }

    void submit() throws IOException {
        Scenario.BatchBacklog backlog = scenario.batch();
        PromptFactory prompts = new PromptFactory(backlog.prompts(), new SplittableRandom(~scenario.seed()));
        for (int job = 0; job < backlog.jobs(); job++) {
            Path file = Files.createTempFile("cornelcrank-load", ".jsonl");
            try {
                Files.writeString(file, items(backlog, prompts), StandardCharsets.UTF_8);
                jobIds.add(jobs.submit(file, JobClient.DEFAULT_ENDPOINT, JobClient.DEFAULT_WINDOW, "")
                        .path("id")
                        .asText());
            } finally {
                Files.deleteIfExists(file);
            }
        }
    }

    Progress progress() {
        long total = 0;
        long completed = 0;
        long failed = 0;
        for (String job : jobIds) {
            JsonNode counts = jobs.status(job).path("request_counts");
            total += counts.path("total").asLong();
            completed += counts.path("completed").asLong();
            failed += counts.path("failed").asLong();
        }
        return new Progress(total, completed, failed);
    }

    private static String items(Scenario.BatchBacklog backlog, PromptFactory prompts) throws IOException {
        StringBuilder lines = new StringBuilder();
        for (int item = 0; item < backlog.itemsPerJob(); item++) {
            PromptFactory.Prompt prompt = prompts.next();
            Map<String, Object> body = Map.of(
                    "model",
                    backlog.model(),
                    "max_tokens",
                    prompt.outputTokens(),
                    "messages",
                    List.of(
                            Map.of("role", "system", "content", prompt.head()),
                            Map.of("role", "user", "content", prompt.tail())));
            Map<String, Object> line = Map.of(
                    "custom_id", "item-" + item, "method", "POST", "url", JobClient.DEFAULT_ENDPOINT, "body", body);
            lines.append(DaemonClient.JSON.writeValueAsString(line)).append('\n');
        }
        return lines.toString();
    }
}
