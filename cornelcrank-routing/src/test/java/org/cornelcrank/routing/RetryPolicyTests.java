package org.cornelcrank.routing;

import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.RequestId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryPolicyTests {

    private static final int MAX_RUNS = 2;

    private final RetryPolicy policy = new RetryPolicy(3);
    private final Route route = new Route(request(), null, Optional.empty(), 0);

    private static RoutedRequest request() {
        return new RoutedRequest(
                new RequestId(new HostId("host"), 1, 1),
                null,
                null,
                null,
                100_000,
                true,
                true,
                List.of(),
                List.of(),
                1,
                null,
                new RequestOptions(MAX_RUNS, true, 0));
    }

    /** Guards against streams that are abandoned for a silence although no attempt is left, only runs. */
    @Test
    void attemptAfterWhichAllAttemptsAreUsedUpIsTheLast() {
        route.attempts = 1;
        assertThat(policy.isLastRun(route)).isFalse();
        route.attempts = MAX_RUNS + RetryPolicy.MAX_NOT_RUN_ATTEMPTS;
        assertThat(policy.isLastRun(route)).isTrue();
    }

    @Test
    void lastPermittedRunIsTheLast() {
        route.attempts = MAX_RUNS;
        route.runs = MAX_RUNS - 1;
        assertThat(policy.isLastRun(route)).isTrue();
    }
}
