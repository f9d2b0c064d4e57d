package org.cornelcrank.cli.load;

import java.util.List;

import org.cornelcrank.cli.client.StreamedResponse;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what counts as an answer and from when its times count. */
class OnlineMeasurementsTests {

    private static final long MS = 1_000_000;

    private final OnlineMeasurements measurements = new OnlineMeasurements();

    @Test
    void theFirstTokenCountsFromThePlannedArrival() {
        measurements.record(answer(200, true, 10 * MS, 18 * MS), 2, 30 * MS);
        LatencySummary firstToken = LatencySummary.of(measurements.firstTokenUs());
        assertThat(firstToken.maxMs()).isBetween(39.9, 40.1);
        assertThat(LatencySummary.of(measurements.betweenTokensUs()).maxMs()).isBetween(7.9, 8.1);
    }

    @Test
    void anAnswerWithATokenTooFewIsAFailure() {
        measurements.record(answer(200, true, 10 * MS, 18 * MS), 3, 0);
        measurements.record(answer(503, false), 3, 0);
        assertThat(measurements.complete()).isZero();
        assertThat(measurements.failures()).containsEntry("200 not-run", 1L).containsEntry("503 not-run", 1L);
        assertThat(measurements.firstTokenUs().getTotalCount()).isZero();
    }

    private static StreamedResponse answer(int status, boolean complete, Long... tokenAtNs) {
        return new StreamedResponse(status, "not-run", complete, "", List.of(tokenAtNs), 20 * MS);
    }
}
