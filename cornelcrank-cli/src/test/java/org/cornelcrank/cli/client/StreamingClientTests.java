package org.cornelcrank.cli.client;

import org.cornelcrank.standin.EngineSettings;
import org.cornelcrank.standin.EngineStandIn;
import org.cornelcrank.standin.EngineTimeModel;
import org.cornelcrank.standin.Faults;
import org.cornelcrank.standin.GeneratedText;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests streamed answers over real sockets. */
class StreamingClientTests {

    @Test
    void aStreamIsReadToItsEndWithATimeForEachToken() {
        try (EngineStandIn engine = startedEngine()) {
            StreamedResponse answer = new StreamingClient(engine.url(), "", "").chat("m", "head", "tail", 50);
            assertThat(answer.complete()).isTrue();
            assertThat(answer.text()).isEqualTo(GeneratedText.whole("system: head\nuser: tail\n", 50));
            assertThat(answer.tokenAtNs()).hasSize(50).isSorted();
        }
    }

    @Test
    void aRefusalIsAnAnswerWithoutTokens() {
        try (EngineStandIn engine = startedEngine()) {
            engine.setFaults(Faults.NONE.withOutage(true));
            StreamedResponse answer = new StreamingClient(engine.url(), "", "").chat("m", "head", "tail", 5);
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.complete()).isFalse();
        }
    }

    @Test
    void aConnectionThatIsCutLeavesAnAnswerThatIsNotComplete() {
        try (EngineStandIn engine = startedEngine()) {
            StreamedResponse answer =
                    new StreamingClient(engine.url(), "", "").chat("m", "head", EngineStandIn.CRASH_MARK, 5);
            assertThat(answer.complete()).isFalse();
        }
    }

    private static EngineStandIn startedEngine() {
        EngineStandIn engine =
                new EngineStandIn(EngineSettings.defaults("m").withTimeModel(new EngineTimeModel(0, 1_000, 0)));
        engine.start();
        return engine;
    }
}
