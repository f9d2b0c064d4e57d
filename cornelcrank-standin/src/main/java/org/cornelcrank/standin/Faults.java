package org.cornelcrank.standin;

/**
 * Says which faults a stand-in shows; served and changed under {@code /faults}.
 *
 * <p>{@code outage} answers everything with 503; {@code delayMs} holds each request back; {@code loseAnswers} is the
 * number of further changing requests that take effect and then get no answer; {@code slowFactor} stretches an
 * engine's times; {@code leaving} lets a target report that it is leaving; {@code crashForMs} above zero cuts all
 * connections and takes the listener away for that time. Immutable, thus thread-safe.
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
