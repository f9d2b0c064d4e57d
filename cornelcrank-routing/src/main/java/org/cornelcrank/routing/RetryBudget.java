package org.cornelcrank.routing;

/**
 * Bounds retries to a share of the requests, so that a failing fleet is not given several times its load.
 *
 * <p>Invariant: holds at most the burst. Not thread-safe: confined to the daemon's event loop.
 */
final class RetryBudget {

    private final RoutingSettings.Retries settings;
    private double tokens;

    RetryBudget(RoutingSettings.Retries settings) {
        this.settings = settings;
        this.tokens = settings.budgetBurst();
    }

    void requestArrived() {
        tokens = Math.min(settings.budgetBurst(), tokens + settings.budgetShare());
    }

    /** Takes one retry from the budget; false if it is spent. */
    boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    double tokens() {
        return tokens;
    }
}
