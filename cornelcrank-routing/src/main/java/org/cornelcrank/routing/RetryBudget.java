package org.cornelcrank.routing;

/**
 * Limits retries to a share of the requests, so that retries do not multiply the load on a failing fleet.
 *
 * <p>Invariant: holds at most {@code budgetBurst} tokens. Not thread-safe: confined to the daemon's event loop.
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

    /** Takes one retry from the budget; returns false if it is exhausted. */
    boolean tryTake() {
        if (exhausted()) {
            return false;
        }
        tokens--;
        return true;
    }

    boolean exhausted() {
        return tokens < 1;
    }

    double tokens() {
        return tokens;
    }
}
