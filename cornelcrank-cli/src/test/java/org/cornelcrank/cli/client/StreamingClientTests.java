package org.cornelcrank.cli.client;

import java.io.IOException;

import org.cornelcrank.standin.EngineSettings;
import org.cornelcrank.standin.EngineStandIn;
import org.cornelcrank.standin.EngineTimeModel;
import org.cornelcrank.standin.Faults;
import org.cornelcrank.standin.GeneratedText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests streamed responses over real sockets. */
class StreamingClientTests {

    @Test
    void streamIsReadToItsEndWithATimeForEachToken() {
        try (EngineStandIn engine = startedEngine()) {
            StreamedResponse response = new StreamingClient(engine.url(), "", "").chat("m", "head", "tail", 50);
            assertThat(response.complete()).isTrue();
            assertThat(response.text()).isEqualTo(GeneratedText.of("system: head\nuser: tail\n", 50));
            assertThat(response.tokenTimesNs()).hasSize(50).isSorted();
        }
    }

    @Test
    void refusalIsAResponseWithoutTokens() {
        try (EngineStandIn engine = startedEngine()) {
            engine.setFaults(Faults.NONE.withOutage(true));
            StreamedResponse response = new StreamingClient(engine.url(), "", "").chat("m", "head", "tail", 5);
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.complete()).isFalse();
        }
    }

    @Test
    void closedConnectionResultsInAnIncompleteResponse() {
        try (EngineStandIn engine = startedEngine()) {
            StreamedResponse response =
                    new StreamingClient(engine.url(), "", "").chat("m", "head", EngineStandIn.CRASH_MARK, 5);
            assertThat(response.complete()).isFalse();
        }
    }

    /** Guards against a stream that counts as complete although its head is corrupt. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"})
    void malformedResponseIsIncomplete(String head) throws IOException {
        String events = "data: {\"choices\":[{\"delta\":{\"content\":\"t\"}}]}\n\ndata: [DONE]\n\n";
        try (RawServer server = new RawServer(head + "Connection: close\r\n\r\n" + events)) {
            StreamedResponse response = new StreamingClient(server.url(), "", "").chat("m", "head", "tail", 5);
            assertThat(response.complete()).isFalse();
            assertThat(response.tokens()).isZero();
        }
    }

    private static EngineStandIn startedEngine() {
        EngineStandIn engine =
                new EngineStandIn(EngineSettings.defaults("m").withTimeModel(new EngineTimeModel(0, 1_000, 0)));
        engine.start();
        return engine;
    }
}
