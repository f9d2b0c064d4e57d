package org.cornelcrank.standin;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests the stand-in for the log service over real sockets. */
class LogStandInTests {

    private static final String RECORDS = "/log/streams/s1/records";

    private LogStandIn log = started(LogSettings.defaults());

    @AfterEach
    void stop() {
        log.close();
    }

    @Test
    void offsetsAreConsecutiveAndReadsArePaged() throws Exception {
        StandInClient client = new StandInClient(log);
        for (int i = 0; i < 5; i++) {
            assertThat(client.json("POST", RECORDS, "record" + i).path("offset").asInt())
                    .isEqualTo(i);
        }
        JsonNode page = client.json("GET", RECORDS + "?from=1&max-bytes=15", "");
        assertThat(page.path("records")).hasSize(2);
        assertThat(page.path("nextOffset").asInt()).isEqualTo(3);
        assertThat(client.json("GET", RECORDS + "?from=-1", "")
                        .path("records")
                        .get(0)
                        .path("offset")
                        .asInt())
                .isEqualTo(4);
    }

    @Test
    void waitingReadCompletesWithTheNextAppend() throws Exception {
        StandInClient client = new StandInClient(log);
        CompletableFuture<JsonNode> read = CompletableFuture.supplyAsync(() -> waitForRecords(client));
        client.send("POST", RECORDS, "x");
        assertThat(read.get().path("records")).hasSize(1);
    }

    @Test
    void recordIsWrittenEvenIfItsResponseIsLost() throws Exception {
        StandInClient client = new StandInClient(log);
        client.send("POST", "/faults", "{\"loseAnswers\":1}");
        assertThatThrownBy(() -> client.send("POST", RECORDS, "x")).isInstanceOf(IOException.class);
        assertThat(client.json("GET", RECORDS, "").path("records")).hasSize(1);
        assertThat(client.send("POST", RECORDS, "y").statusCode()).isEqualTo(201);
    }

    @Test
    void nothingIsWrittenDuringAnOutage() throws Exception {
        StandInClient client = new StandInClient(log);
        client.send("POST", "/faults", "{\"outage\":true}");
        assertThat(client.send("POST", RECORDS, "x").statusCode()).isEqualTo(503);
        client.send("POST", "/faults", "{\"outage\":false}");
        assertThat(client.json("GET", RECORDS, "").path("records")).isEmpty();
    }

    @Test
    void appendsAboveTheRateLimitAreRejectedWithARetryTime() throws Exception {
        log.close();
        log = started(LogSettings.defaults().withAppendsPerSecond(1));
        StandInClient client = new StandInClient(log);
        assertThat(client.send("POST", RECORDS, "x").statusCode()).isEqualTo(201);
        var rejected = client.send("POST", RECORDS, "y");
        assertThat(rejected.statusCode()).isEqualTo(429);
        assertThat(rejected.headers().firstValue("Retry-After")).contains("1");
        assertThat(log.appends()).isEqualTo(1);
    }

    private static JsonNode waitForRecords(StandInClient client) {
        try {
            return client.json("GET", RECORDS + "?from=0&wait-ms=20000", "");
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static LogStandIn started(LogSettings settings) {
        LogStandIn log = new LogStandIn(settings);
        log.start();
        return log;
    }
}
