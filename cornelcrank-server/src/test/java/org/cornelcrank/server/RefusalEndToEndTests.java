package org.cornelcrank.server;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.cornelcrank.server.http.ApiKeys;
import org.cornelcrank.standin.EngineSettings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over real sockets that invalid input and keys without access are rejected with the right verdict, and that
 * nothing is accepted.
 */
class RefusalEndToEndTests {

    private static final List<String> ENDPOINTS = List.of(
            "/v1/models",
            "/v1/files/file-x",
            "/v1/files/file-x/content",
            "/v1/batches",
            "/v1/batches/job-x",
            "/s/slips/counters",
            "/admin/config",
            "/admin/config/value?path=/nilavu/urgency",
            "/admin/config/watch",
            "/admin/dump",
            "/admin/explain?kind=request&id=x",
            "/admin/quarantine");

    private static LoopbackFleet fleet;

    @BeforeAll
    static void start() throws Exception {
        fleet = LoopbackFleet.start(1, EngineSettings.defaults(LoopbackFleet.MODEL));
    }

    @AfterAll
    static void close() {
        fleet.close();
    }

    @Test
    void malformedJsonIsRejectedWithItsPosition() throws Exception {
        HttpResponse<String> response =
                fleet.post(0, "/v1/chat/completions", LoopbackFleet.CALLER_KEY, "{\"model\": saarthi}");
        assertRefused(response, 400);
        assertThat(response.body()).contains("line 1, column");
    }

    @Test
    void unknownModelIsRejected() throws Exception {
        String body = LoopbackFleet.chat("hello", false, 4).replace(LoopbackFleet.MODEL, "no-such-lm");
        assertRefused(fleet.post(0, "/v1/chat/completions", LoopbackFleet.CALLER_KEY, body), 404);
    }

    @Test
    void oversizedBodyIsRejected() throws Exception {
        String body = LoopbackFleet.chat("x".repeat(5_000_000), false, 4);
        assertRefused(fleet.post(0, "/v1/chat/completions", LoopbackFleet.CALLER_KEY, body), 413);
    }

    @Test
    void targetsOwnRefusalReachesTheCallerUnchanged() throws Exception {
        HttpResponse<String> response =
                fleet.post(0, "/v1/chat/completions", LoopbackFleet.CALLER_KEY, LoopbackFleet.chat("hello", false, 0));
        assertThat(response.statusCode()).as(response.body()).isEqualTo(400);
        assertThat(response.body()).contains("max_tokens must be");
        assertThat(response.headers().firstValue("Cornelcrank-Verdict")).contains("completed");
    }

    @Test
    void nonNumericDeadlineIsRejected() throws Exception {
        HttpResponse<String> response = fleet.post(
                0,
                "/v1/chat/completions",
                LoopbackFleet.CALLER_KEY,
                LoopbackFleet.chat("hello", false, 4),
                "Cornelcrank-Deadline-Ms",
                "soon");
        assertRefused(response, 400);
    }

    @Test
    void malformedLineIsReportedAndNothingIsAccepted() throws Exception {
        String lines = LoopbackFleet.item("a", "one") + "{\"custom_id\": \"b\"\n" + LoopbackFleet.item("c", "three");
        HttpResponse<String> response = fleet.upload(0, LoopbackFleet.CALLER_KEY, lines);
        assertRefused(response, 400);
        assertThat(response.body()).contains("line 2").contains("nothing was accepted");
    }

    @Test
    void truncatedFileIsRejected() throws Exception {
        String lines = LoopbackFleet.item("a", "one") + "{\"custom_id\":\"b\",\"meth";
        HttpResponse<String> response = fleet.upload(0, LoopbackFleet.CALLER_KEY, lines);
        assertRefused(response, 400);
        assertThat(response.body()).contains("line 2");
    }

    @Test
    void duplicateCustomIdIsRejected() throws Exception {
        String lines = LoopbackFleet.item("a", "one") + LoopbackFleet.item("a", "two");
        HttpResponse<String> response = fleet.upload(0, LoopbackFleet.CALLER_KEY, lines);
        assertRefused(response, 400);
        assertThat(response.body()).contains("lines 1 and 2");
    }

    @Test
    void jobOfAMissingFileIsRejected() throws Exception {
        String body = "{\"input_file_id\":\"file-kerala-south.1-0\",\"endpoint\":\"/v1/chat/completions\"}";
        assertRefused(fleet.post(0, "/v1/batches", LoopbackFleet.CALLER_KEY, body), 404);
    }

    @Test
    void requestsWithoutAValidKeyAreRejected() throws Exception {
        for (String path : ENDPOINTS) {
            assertThat(fleet.get(0, path, "kiosk.wrong").statusCode()).as(path).isEqualTo(401);
            assertThat(fleet.get(0, path, "nobody.caller-secret").statusCode())
                    .as(path)
                    .isEqualTo(401);
        }
    }

    @Test
    void deletedKeyIsRejectedEvenIfItWasUsedBefore() throws Exception {
        String path = "/nilavu/api-keys/brief";
        fleet.set(
                path,
                "00112233445566778899aabbccddeeff:" + ApiKeys.hash("brief-secret", "00112233445566778899aabbccddeeff")
                        + ":caller");
        fleet.await(
                "the key is in effect",
                () -> fleet.get(0, "/v1/models", "brief.brief-secret").statusCode() == 200);
        fleet.send(fleet.request(0, "/admin/config/value?path=" + path, LoopbackFleet.OPERATOR_KEY)
                .DELETE());
        fleet.await(
                "the key is rejected",
                () -> fleet.get(0, "/v1/models", "brief.brief-secret").statusCode() == 401);
    }

    @Test
    void callerCannotAccessOperatorEndpoints() throws Exception {
        for (String path : ENDPOINTS) {
            if (path.startsWith("/admin")) {
                assertThat(fleet.get(0, path, LoopbackFleet.CALLER_KEY).statusCode())
                        .as(path)
                        .isEqualTo(403);
            }
        }
        HttpResponse<String> change =
                fleet.send(fleet.request(0, "/admin/config/value?path=/nilavu/urgency", LoopbackFleet.CALLER_KEY)
                        .PUT(HttpRequest.BodyPublishers.ofString("{\"value\":\"batch\"}")));
        assertThat(change.statusCode()).isEqualTo(403);
    }

    @Test
    void teamCanNeitherSeeNorCancelFilesAndJobsOfAnotherTeam() throws Exception {
        String file = fleet.json(fleet.upload(0, LoopbackFleet.CALLER_KEY, LoopbackFleet.item("a", "secret")))
                .path("id")
                .asText();
        String batch = "{\"input_file_id\":\"" + file + "\",\"endpoint\":\"/v1/chat/completions\"}";
        JsonNode job = fleet.json(fleet.post(0, "/v1/batches", LoopbackFleet.CALLER_KEY, batch));
        String jobPath = "/v1/batches/" + job.path("id").asText();
        String output = "/v1/files/" + job.path("output_file_id").asText();

        for (String path :
                List.of("/v1/files/" + file, "/v1/files/" + file + "/content", jobPath, output, output + "/content")) {
            assertThat(fleet.get(0, path, LoopbackFleet.OTHER_CALLER_KEY).statusCode())
                    .as(path)
                    .isEqualTo(404);
        }
        assertRefused(fleet.post(0, jobPath + "/cancel", LoopbackFleet.OTHER_CALLER_KEY, ""), 404);
        assertRefused(fleet.post(0, "/v1/batches", LoopbackFleet.OTHER_CALLER_KEY, batch), 404);
        assertThat(fleet.get(0, "/v1/batches", LoopbackFleet.OTHER_CALLER_KEY).body())
                .doesNotContain(job.path("id").asText());
        assertThat(fleet.get(0, "/s/slips/counters", LoopbackFleet.OTHER_CALLER_KEY)
                        .statusCode())
                .isEqualTo(404);
    }

    private static void assertRefused(HttpResponse<String> response, int status) {
        assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
        assertThat(response.headers().firstValue("Cornelcrank-Verdict")).contains("not-run");
        assertThat(response.body()).contains("\"verdict\":\"not-run\"");
    }
}
