package org.cornelcrank.server.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.cornelcrank.batch.FileInfo;
import org.cornelcrank.batch.JobInfo;
import org.cornelcrank.batch.JobList;
import org.cornelcrank.batch.JobOutputFile;
import org.cornelcrank.batch.JobState;
import org.cornelcrank.batch.ResultLine;
import org.cornelcrank.core.JobId;

/**
 * Renders files, jobs and results in the formats of the OpenAI API.
 *
 * <p>Thread-safe.
 */
final class BatchViews {

    private static final long MS_PER_SECOND = 1_000;

    private final ObjectMapper json;

    BatchViews(ObjectMapper json) {
        this.json = json;
    }

    ObjectNode file(FileInfo file) {
        return json.createObjectNode()
                .put("id", file.file().value())
                .put("object", "file")
                .put("bytes", file.byteCount())
                .put("created_at", seconds(file.createdAtMs()))
                .put("expires_at", seconds(file.expiresAtMs()))
                .put("filename", file.fileName())
                .put("purpose", "batch")
                .put("status", file.sealed() ? "processed" : "uploaded")
                .put("item_count", file.itemCount());
    }

    ObjectNode outputFile(JobOutputFile output, JobInfo job) {
        return json.createObjectNode()
                .put("id", output.file().value())
                .put("object", "file")
                .put("created_at", seconds(job.createdAtMs()))
                .put("filename", output.file() + ".jsonl")
                .put("purpose", "batch_output")
                .put("status", job.state() == JobState.IN_PROGRESS ? "uploaded" : "processed")
                .put("item_count", output.failures() ? job.failed() : job.completed());
    }

    ObjectNode job(JobInfo job) {
        ObjectNode node = json.createObjectNode()
                .put("id", job.job().value())
                .put("object", "batch")
                .put("endpoint", job.endpoint())
                .put("input_file_id", job.input().value())
                .put("completion_window", (job.deadlineAtMs() - job.createdAtMs()) / MS_PER_SECOND + "s")
                .put("status", job.state().name().toLowerCase(Locale.ROOT))
                .put(
                        "output_file_id",
                        new JobOutputFile(job.job(), false).file().value())
                .put("error_file_id", new JobOutputFile(job.job(), true).file().value())
                .put("created_at", seconds(job.createdAtMs()))
                .put("expires_at", seconds(job.deadlineAtMs()))
                .put("deadline_at_risk", job.deadlineAtRisk());
        if (job.state() == JobState.COMPLETED) {
            node.put("completed_at", seconds(job.finishedAtMs()));
        } else if (job.state() == JobState.CANCELLED) {
            node.put("cancelled_at", seconds(job.finishedAtMs()));
        }
        node.putObject("request_counts")
                .put("total", job.total())
                .put("completed", job.completed())
                .put("failed", job.failed());
        ObjectNode metadata = node.putObject("metadata");
        job.metadata().forEach(metadata::put);
        return node;
    }

    ObjectNode jobs(JobList list) {
        ObjectNode node = json.createObjectNode().put("object", "list").put("has_more", list.more());
        ArrayNode data = node.putArray("data");
        list.jobs().forEach(job -> data.add(job(job)));
        ArrayNode silentPartitions = node.putArray("silent_partitions");
        list.unresponsivePartitions().forEach(partition -> silentPartitions.add(partition.toString()));
        return node;
    }

    byte[] result(JobId job, ResultLine line) {
        ObjectNode node =
                json.createObjectNode().put("id", job + "/" + line.item()).put("custom_id", line.customId());
        if (line.statusCode() > 0) {
            ObjectNode response = node.putObject("response").put("status_code", line.statusCode());
            response.set("body", bodyOf(line));
        } else {
            node.putNull("response");
        }
        if (line.failed()) {
            node.putObject("error").put("code", line.errorCode().get()).put("message", line.errorMessage());
        } else {
            node.putNull("error");
        }
        return line(node.toString().getBytes(StandardCharsets.UTF_8));
    }

    byte[] line(byte[] content) {
        byte[] line = Arrays.copyOf(content, content.length + 1);
        line[content.length] = '\n';
        return line;
    }

    private JsonNode bodyOf(ResultLine line) {
        try {
            return json.readTree(line.body().toByteArray());
        } catch (IOException e) {
            return TextNode.valueOf(line.body().toStringUtf8());
        }
    }

    private static long seconds(long ms) {
        return ms / MS_PER_SECOND;
    }
}
