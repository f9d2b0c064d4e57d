package org.cornelcrank.server;

import java.net.http.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.standin.EngineSettings;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonEndToEndTests {

    @Test
    void aStreamedAnswerComesWholeWhileABatchRunsToItsEnd() throws Exception {
        try (LoopbackFleet fleet = LoopbackFleet.start(1, EngineSettings.defaults(LoopbackFleet.MODEL))) {
            JsonNode file = fleet.json(fleet.upload(0, LoopbackFleet.CALLER_KEY, items(20)));
            JsonNode job = fleet.json(fleet.post(
                    0,
                    "/v1/batches",
                    LoopbackFleet.CALLER_KEY,
                    batchOf(file.path("id").asText())));
            assertThat(job.path("status").asText()).as(job.toString()).isEqualTo("in_progress");
            HttpResponse<String> streamed = fleet.post(
                    0,
                    "/v1/chat/completions",
                    LoopbackFleet.CALLER_KEY,
                    LoopbackFleet.chat("which counter?", true, 12));

            assertThat(streamed.statusCode()).isEqualTo(200);
            assertThat(streamed.body()).endsWith("data: [DONE]\n\n");
            String id = job.path("id").asText();
            fleet.await("the job has ended", () -> status(fleet, id).equals("completed"));
            String results = fleet.get(
                            0,
                            "/v1/files/" + job.path("output_file_id").asText() + "/content",
                            LoopbackFleet.CALLER_KEY)
                    .body();
            assertThat(results.lines()).hasSize(20);
            assertThat(results.lines().map(DaemonEndToEndTests::customId).distinct())
                    .hasSize(20);
        }
    }

    private static String status(LoopbackFleet fleet, String job) throws Exception {
        return fleet.json(fleet.get(0, "/v1/batches/" + job, LoopbackFleet.CALLER_KEY))
                .path("status")
                .asText();
    }

    private static String items(int count) {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < count; i++) {
            lines.append(LoopbackFleet.item("item-" + i, "summary of visit " + i));
        }
        return lines.toString();
    }

    private static String batchOf(String file) {
        return "{\"input_file_id\":\"" + file + "\",\"endpoint\":\"/v1/chat/completions\"}";
    }

    private static String customId(String line) {
        int start = line.indexOf("\"custom_id\":\"") + 13;
        return line.substring(start, line.indexOf('"', start));
    }
}
