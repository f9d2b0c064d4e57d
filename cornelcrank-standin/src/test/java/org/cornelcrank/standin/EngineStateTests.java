package org.cornelcrank.standin;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the time model and the reports of an engine in virtual time. */
class EngineStateTests {

    private static final EngineSettings SETTINGS = EngineSettings.defaults("m")
            .withTimeModel(new EngineTimeModel(1_000, 10_000, 0.5))
            .withSlots(2)
            .withReports(new EngineSettings.Reports(100, 50, 0));

    private final EngineState engine = new EngineState(SETTINGS, 0);

    @Test
    void singleGenerationTakesPrefillAndTokenTimes() {
        Recorder recorder = new Recorder();
        engine.submit(request("x".repeat(40), 3, List.of()), false, recorder, 0);
        runUntil(50_000);
        assertThat(recorder.tokenTimesUs).containsExactly(20_000L, 30_000L, 40_000L);
        assertThat(engine.counters(50_000).busySlotMs()).isEqualTo(40);
    }

    @Test
    void cachedBlocksShortenThePrefillButTheTailIsAlwaysComputed() {
        String head = "x".repeat(512);
        engine.submit(request(head + "first tail", 1, List.of()), false, new Recorder(), 0);
        runUntil(200_000);
        Recorder recorder = new Recorder();
        engine.submit(request(head + "other tail", 1, List.of()), false, recorder, 200_000);
        runUntil(300_000);
        assertThat(recorder.tokenTimesUs).containsExactly(213_000L);
        assertThat(engine.counters(300_000).cachedPromptTokens()).isEqualTo(128);
        assertThat(engine.counters(300_000).promptTokens()).isEqualTo(262);
    }

    @Test
    void thirdGenerationWaitsForASlotInOrderOfArrival() {
        List<Recorder> recorders = List.of(new Recorder(), new Recorder(), new Recorder());
        recorders.forEach(recorder -> engine.submit(request("abcd", 2, List.of()), false, recorder, 0));
        assertThat(recorders.get(2).started).isFalse();
        runUntil(100_000);
        assertThat(recorders.get(2).started).isTrue();
        assertThat(recorders.get(2).tokenTimesUs.get(0))
                .isGreaterThan(recorders.get(0).tokenTimesUs.get(1));
    }

    @Test
    void loadReportAndCacheEventsAreDelayed() {
        engine.submit(request("abcd", 100, List.of(5L)), false, new Recorder(), 200_000);
        assertThat(engine.loadReport(false, 250_000)).containsEntry("running", 0);
        assertThat(engine.cacheEventsAfter(-1, 240_000).events()).isEmpty();
        assertThat(engine.loadReport(false, 300_000)).containsEntry("running", 1);
        assertThat(engine.cacheEventsAfter(-1, 250_000).events()).hasSize(1);
    }

    @Test
    void tokensOfAnInterruptedGenerationCountAsDiscarded() {
        Recorder recorder = new Recorder();
        Generation generation = engine.submit(request("abcd", 100, List.of()), false, recorder, 0);
        runUntil(55_000);
        engine.callerDisconnected(generation, recorder, 55_000);
        assertThat(engine.counters(55_000).discardedTokens()).isEqualTo(5);
        assertThat(engine.nextDueUs()).isEmpty();
    }

    private void runUntil(long untilUs) {
        while (engine.nextDueUs().orElse(Long.MAX_VALUE) <= untilUs) {
            long dueUs = engine.nextDueUs().getAsLong();
            Recorder.currentUs = dueUs;
            engine.advance(dueUs);
        }
        engine.advance(untilUs);
    }

    private static CompletionRequest request(String prompt, int tokens, List<Long> prefixes) {
        return new CompletionRequest(
                false, "m", prompt, tokens, false, prefixes, null, CompletionRequest.NEW_GENERATION);
    }

    /** Records the times at which tokens are received. */
    private static final class Recorder implements Generation.Listener {
        private static long currentUs;
        private final List<Long> tokenTimesUs = new ArrayList<>();
        private boolean started;

        @Override
        public void started(int cachedPrefixes) {
            started = true;
        }

        @Override
        public void token(int index) {
            tokenTimesUs.add(currentUs);
        }

        @Override
        public void finished() {
            assertThat(started).isTrue();
        }
    }
}
