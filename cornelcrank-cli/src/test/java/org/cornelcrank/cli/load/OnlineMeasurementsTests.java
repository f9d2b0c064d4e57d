package org.cornelcrank.cli.load;

import java.util.List;

import org.cornelcrank.cli.client.StreamedResponse;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which responses count as complete and from which time latencies are measured. */
class OnlineMeasurementsTests {

    private static final long MS = 1_000_000;

    private final OnlineMeasurements measurements = new OnlineMeasurements();

    @Test
    void firstTokenIsMeasuredFromThePlannedArrival() {
        measurements.record(response(200, true, 10 * MS, 18 * MS), 2, 30 * MS);
        LatencySummary firstToken = LatencySummary.of(measurements.firstTokenUs());
        assertThat(firstToken.maxMs()).isBetween(39.9, 40.1);
        assertThat(LatencySummary.of(measurements.betweenTokensUs()).maxMs()).isBetween(7.9, 8.1);
    }

    @Test
    void responseWithAMissingTokenIsAFailure() {
        measurements.record(response(200, true, 10 * MS, 18 * MS), 3, 0);
        measurements.record(response(503, false), 3, 0);
        assertThat(measurements.complete()).isZero();
        assertThat(measurements.failures()).containsEntry("200 not-run", 1L).containsEntry("503 not-run", 1L);
        assertThat(measurements.firstTokenUs().getTotalCount()).isZero();
    }

    private static StreamedResponse response(int status, boolean complete, Long... tokenTimesNs) {
        return new StreamedResponse(status, "not-run", complete, "", List.of(tokenTimesNs), 20 * MS);
    }
}
