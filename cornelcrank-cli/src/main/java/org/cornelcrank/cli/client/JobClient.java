package org.cornelcrank.cli.client;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Submits batch jobs and waits for their results.
 *
 * <p>Invariant: submitting the same file again with the same options returns the same job. Blocks the calling thread.
 * Thread-safe.
 */
public final class JobClient {

    public static final String DEFAULT_ENDPOINT = "/v1/chat/completions";
    public static final String DEFAULT_WINDOW = "24h";

    private static final Set<String> FINAL_STATES = Set.of("completed", "failed", "expired", "cancelled");
    private static final long POLL_INTERVAL_MS = 250;

    private final DaemonClient daemon;

    public JobClient(DaemonClient daemon) {
        this.daemon = Objects.requireNonNull(daemon, "daemon must not be null");
    }

    /** Uploads the file and creates the job; an empty idempotency key is replaced by one derived from the content. */
    public JsonNode submit(Path file, String endpoint, String window, String idempotencyKey) {
        String fileId = daemon.uploadBatchFile(file).json().path("id").asText();
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("input_file_id", fileId);
        body.put("endpoint", endpoint);
        body.put("completion_window", window);
        String key = idempotencyKey.isEmpty() ? contentBasedKey(file, endpoint) : idempotencyKey;
        return daemon.post("/v1/batches", body, Map.of("Idempotency-Key", key)).json();
    }

    public JsonNode status(String job) {
        return daemon.get("/v1/batches/" + DaemonClient.encode(job)).json();
    }

    public JsonNode cancel(String job) {
        return daemon.post("/v1/batches/" + DaemonClient.encode(job) + "/cancel", Map.of(), Map.of())
                .json();
    }

    public JsonNode list(long limit) {
        return daemon.get("/v1/batches?limit=" + limit).json();
    }

    /** Polls the job until it has ended, and reports its progress. */
    public JsonNode await(String job, Consumer<String> progress) {
        while (true) {
            JsonNode state = status(job);
            if (hasEnded(state)) {
                return state;
            }
            progress.accept(describe(state));
            pause();
        }
    }

    /** Returns the result lines that are available, those of failed items last. */
    public String results(JsonNode job) {
        return content(job.path("output_file_id").asText(""))
                + content(job.path("error_file_id").asText(""));
    }

    public static boolean hasEnded(JsonNode job) {
        return FINAL_STATES.contains(job.path("status").asText());
    }

    private String content(String fileId) {
        if (fileId.isEmpty() || fileId.equals("null")) {
            return "";
        }
        String text = daemon.get("/v1/files/" + DaemonClient.encode(fileId) + "/content")
                .text();
        return text.isEmpty() || text.endsWith("\n") ? text : text + "\n";
    }

    private static String describe(JsonNode job) {
        JsonNode counts = job.path("request_counts");
        return job.path("id").asText() + " " + job.path("status").asText() + ": "
                + counts.path("completed").asLong() + " of "
                + counts.path("total").asLong() + " done, "
                + counts.path("failed").asLong() + " failed";
    }

    private static String contentBasedKey(Path file, String endpoint) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(endpoint.getBytes(StandardCharsets.UTF_8));
            digest.update(Files.readAllBytes(file));
            return "content-" + HexFormat.of().formatHex(digest.digest()).substring(0, 40);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + file, e);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailure(ExitCode.FAILED, "interrupted while waiting; the job continues to run");
        }
    }
}
