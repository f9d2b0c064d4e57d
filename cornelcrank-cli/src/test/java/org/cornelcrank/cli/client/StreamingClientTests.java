package org.cornelcrank.cli.client;

import org.cornelcrank.standin.EngineSettings;
import org.cornelcrank.standin.EngineStandIn;
import org.cornelcrank.standin.EngineTimeModel;
import org.cornelcrank.standin.Faults;
import org.cornelcrank.standin.GeneratedText;
import org.junit.jupiter.api.Test;

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

    private static EngineStandIn startedEngine() {
        EngineStandIn engine =
                new EngineStandIn(EngineSettings.defaults("m").withTimeModel(new EngineTimeModel(0, 1_000, 0)));
        engine.start();
        return engine;
    }
}
