package org.cornelcrank.routing;

/**
 * Tracks the failures of one target, ejects it after several consecutive ones, and lets it return gradually.
 *
 * <p>Each further ejection without a success in between lasts twice as long as the last, up to a maximum. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class TargetHealth {

    private static final int MAX_DOUBLINGS = 4;
    private static final double FIRST_ADMITTED_SHARE = 0.1;
    private static final double START_LATENCY_SMOOTHING_FACTOR = 0.1;
    private static final int MIN_LATENCY_SAMPLES = 5;

    private final RoutingSettings.Ejection settings;
    private int failuresInRow;
    private int ejections;
    private long ejectedUntilMs;
    private long downUntilMs;
    private boolean toldDown;
    private double startLatencyMs;
    private int latencySamples;

    TargetHealth(RoutingSettings.Ejection settings) {
        this.settings = settings;
    }

    void attemptSucceeded() {
        failuresInRow = 0;
        ejections = 0;
    }

    void attemptStarted(long latencyMs) {
        startLatencyMs = latencySamples == 0
                ? latencyMs
                : startLatencyMs + START_LATENCY_SMOOTHING_FACTOR * (latencyMs - startLatencyMs);
        latencySamples++;
    }

    /** Counts a failure; returns whether it ejects the target. */
    boolean attemptFailed(long nowMs) {
        failuresInRow++;
        return failuresInRow >= settings.failuresInRow() && eject(nowMs);
    }

    /**
     * Ejects the target at once, for example because nothing listens at its address; returns whether it was not ejected
     * before.
     */
    boolean eject(long nowMs) {
        if (ejected(nowMs)) {
            return false;
        }
        int doublings = Math.min(ejections, MAX_DOUBLINGS);
        ejectedUntilMs = nowMs + (settings.ejectionMs() << doublings);
        ejections++;
        failuresInRow = 0;
        toldDown = false;
        return true;
    }

    /** Does the same as {@link #eject} for a target that a second daemon, or the target itself, has confirmed to be down. */
    boolean ejectDown(long nowMs) {
        boolean newlyEjected = eject(nowMs);
        downUntilMs = ejectedUntilMs;
        return newlyEjected;
    }

    /** Ejects the target once without making later ejections longer; returns whether it was not ejected before. */
    boolean ejectBriefly(long nowMs) {
        if (ejected(nowMs)) {
            return false;
        }
        ejectedUntilMs = nowMs + settings.ejectionMs();
        return true;
    }

    /**
     * Ejects the target as another daemon has found it to be down, until it responds to this one; returns whether it was
     * not ejected before.
     */
    boolean ejectAsTold(long nowMs) {
        boolean newlyEjected = ejectDown(nowMs);
        toldDown |= newlyEjected;
        return newlyEjected;
    }

    /** Records that the target has responded to this daemon, which refutes that it is down. */
    void responded() {
        downUntilMs = 0;
        if (toldDown) {
            reinstate();
        }
    }

    /** Takes back failures that were not the target's fault. */
    void reinstate() {
        failuresInRow = 0;
        ejections = Math.max(0, ejections - (ejectedUntilMs > 0 ? 1 : 0));
        ejectedUntilMs = 0;
        downUntilMs = 0;
        toldDown = false;
    }

    boolean ejected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /** Returns whether the target is ejected for everybody, and not only for what this daemon alone has seen. */
    boolean down(long nowMs) {
        return nowMs < downUntilMs;
    }

    /** Returns the share of its normal requests that the target may get, 0 while it is ejected. */
    double admittedShare(long nowMs) {
        if (ejected(nowMs)) {
            return 0;
        }
        long sinceReturnMs = nowMs - ejectedUntilMs;
        if (ejectedUntilMs == 0 || sinceReturnMs >= settings.returnMs()) {
            return 1;
        }
        return FIRST_ADMITTED_SHARE + (1 - FIRST_ADMITTED_SHARE) * sinceReturnMs / settings.returnMs();
    }

    /** Returns the average time in ms from dispatch to the start of the response, 0 until there are enough samples. */
    double startLatencyMs() {
        return latencySamples < MIN_LATENCY_SAMPLES ? 0 : startLatencyMs;
    }
}
