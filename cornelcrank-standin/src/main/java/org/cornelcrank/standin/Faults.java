package org.cornelcrank.standin;

/**
 * The faults that a stand-in simulates, read and changed at {@code /faults}.
 *
 * <p>With {@code outage} every request gets status 503; {@code delayMs} delays each request; {@code loseAnswers} is the
 * number of further modifying requests that take effect but get no response; {@code slowFactor} multiplies the times of
 * an engine; with {@code leaving} a target reports that it is leaving; {@code crashForMs} above zero closes all
 * connections and stops listening for that time. Immutable, thus thread-safe.
 */
public record Faults(
        boolean outage, long delayMs, int loseAnswers, double slowFactor, boolean leaving, long crashForMs) {

    public static final Faults NONE = new Faults(false, 0, 0, 1.0, false, 0);

    public Faults {
        if (delayMs < 0 || loseAnswers < 0 || crashForMs < 0) {
            throw new IllegalArgumentException("delayMs, loseAnswers and crashForMs must not be negative");
        }
        if (!(slowFactor > 0)) {
            throw new IllegalArgumentException("slowFactor must be above zero but was " + slowFactor);
        }
    }

    public Faults withOutage(boolean newOutage) {
        return new Faults(newOutage, delayMs, loseAnswers, slowFactor, leaving, crashForMs);
    }

    public Faults withDelayMs(long newDelayMs) {
        return new Faults(outage, newDelayMs, loseAnswers, slowFactor, leaving, crashForMs);
    }

    public Faults withLoseAnswers(int newLoseAnswers) {
        return new Faults(outage, delayMs, newLoseAnswers, slowFactor, leaving, crashForMs);
    }

    public Faults withSlowFactor(double newSlowFactor) {
        return new Faults(outage, delayMs, loseAnswers, newSlowFactor, leaving, crashForMs);
    }

    public Faults withLeaving(boolean newLeaving) {
        return new Faults(outage, delayMs, loseAnswers, slowFactor, newLeaving, crashForMs);
    }

    public Faults withCrashForMs(long newCrashForMs) {
        return new Faults(outage, delayMs, loseAnswers, slowFactor, leaving, newCrashForMs);
    }
}
