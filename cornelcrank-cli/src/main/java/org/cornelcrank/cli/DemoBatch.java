package org.cornelcrank.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.JobClient;
import org.cornelcrank.standin.GeneratedText;

/**
 * The batch job of the demonstration, whose expected results can be computed from its items.
 *
 * <p>Immutable, thus thread-safe.
 */
record DemoBatch(String fileName, List<String> lines) {

    DemoBatch {
        lines = List.copyOf(lines);
    }

    /** Reads a bundled file of items. */
    static DemoBatch read(String fileName) throws IOException {
        try (InputStream content = DemoBatch.class.getResourceAsStream("/demo/" + fileName)) {
            String text = new String(content.readAllBytes(), StandardCharsets.UTF_8);
            return new DemoBatch(fileName, text.lines().toList());
        }
    }

    JsonNode submit(JobClient jobs) throws IOException {
        Path file = Files.createTempFile("cornelcrank-demo", ".jsonl");
        try {
            Files.write(file, lines, StandardCharsets.UTF_8);
            return jobs.submit(file, JobClient.DEFAULT_ENDPOINT, JobClient.DEFAULT_WINDOW, "");
        } finally {
            Files.deleteIfExists(file);
        }
    }

    /** Returns whether the results contain each item exactly once, with the expected content. */
    boolean matchesResults(List<String> resultLines) throws IOException {
        Map<String, String> contents = new TreeMap<>();
        for (String line : resultLines) {
            boolean duplicate = contents.put(customIdOf(line), contentOf(line)) != null;
            if (duplicate) {
                return false;
            }
        }
        return contents.equals(expectedContents());
    }

    static String customIdOf(String resultLine) throws IOException {
        return DaemonClient.JSON.readTree(resultLine).path("custom_id").asText();
    }

    static String contentOf(String resultLine) throws IOException {
        JsonNode body = DaemonClient.JSON.readTree(resultLine).path("response").path("body");
        return body.path("choices").path(0).path("message").path("content").asText();
    }

    private Map<String, String> expectedContents() throws IOException {
        Map<String, String> expected = new TreeMap<>();
        for (String line : lines) {
            JsonNode item = DaemonClient.JSON.readTree(line);
            StringBuilder prompt = new StringBuilder();
            item.path("body").path("messages").forEach(message -> prompt.append(
                            message.path("role").asText())
                    .append(": ")
                    .append(message.path("content").asText())
                    .append('\n'));
            int tokens = item.path("body").path("max_tokens").asInt();
            expected.put(item.path("custom_id").asText(), GeneratedText.of(prompt.toString(), tokens));
        }
        return expected;
    }
}
