package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.routing.BatchWork;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelcrank.batch.BatchScenario.NILAVU;

/**
 * Counts the appends of many jobs at the planned item rate of the whole system, over the partition state machine with
 * default settings.
 */
class BatchAppendCostTests {

    private static final int JOBS = 32;
    private static final int ITEMS_PER_JOB = 1_500;
    private static final int ROUND_MS = 100;
    private static final int ROUNDS = 200;
    private static final int RESPONSE_BYTES = 2_000;
    private static final int SETTLE_MS = 10_000;
    private static final int ITEMS_PER_ROUND = 140;
    private static final double MAX_APPENDS_PER_THOUSAND_ITEMS = 10;
    private static final double MAX_APPENDS_PER_SECOND = 150;

    @Test
    void fourteenHundredItemsPerSecondStayWithinTheAppendBudget() {
        String[] hosts = {"e1", "e2", "e3", "e4"};
        LogBatchFixture fixture = new LogBatchFixture(16, hosts);
        List<JobId> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            jobs.add(fixture.create("e1", NILAVU, fixture.upload("e1", NILAVU, ITEMS_PER_JOB, "d" + i))
                    .job());
        }
        int appendsBefore = fixture.cluster.appends();
        for (int round = 0; round < ROUNDS; round++) {
            int[] remaining = {ITEMS_PER_ROUND};
            fixture.capacities.forEach((host, capacity) -> fixture.cluster.inject(new HostId(host), out -> {
                capacity.grantDemand(remaining[0], fixture.cluster.nowMs(), out);
                remaining[0] -= capacity.running.size();
                capacity.endAll(BatchAppendCostTests::longResponse, fixture.cluster.nowMs(), out);
            }));
            fixture.cluster.advance(ROUND_MS);
        }
        fixture.cluster.advance(SETTLE_MS);
        int appends = fixture.cluster.appends() - appendsBefore;
        int items = jobs.stream()
                .mapToInt(job -> fixture.info("e1", job).completed())
                .sum();
        double seconds = ROUNDS * ROUND_MS / 1000.0;

        assertThat(items / seconds).as("items per second").isBetween(1_300.0, 1_400.0);
        assertThat(1000.0 * appends / items)
                .as("appends per 1,000 items")
                .isBetween(1.0, MAX_APPENDS_PER_THOUSAND_ITEMS);
        assertThat(appends / seconds).as("appends per second").isLessThan(MAX_APPENDS_PER_SECOND);
    }

    /** Returns a response of random hexadecimal digits, which hardly compresses. */
    private static AttemptOutcome longResponse(BatchWork work) {
        SplittableRandom random = new SplittableRandom(work.fingerprint().orElseThrow());
        StringBuilder body = new StringBuilder();
        while (body.length() < RESPONSE_BYTES) {
            body.append(Long.toHexString(random.nextLong()));
        }
        return new AttemptOutcome.Succeeded(200, "application/json", ByteString.copyFromUtf8(body.toString()), 1);
    }
}
