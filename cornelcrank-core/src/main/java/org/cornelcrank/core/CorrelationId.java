package org.cornelcrank.core;

/**
 * Identifies a message to another daemon that expects a reply; the reply states it.
 *
 * <p>Invariant: never reused by its daemon, not even after a restart, so that a reply to a message of a former process
 * matches nothing. Immutable, thus thread-safe.
 *
 * @param incarnation the incarnation of the daemon that sent the message
 * @param number the number of the message within that incarnation
 */
public record CorrelationId(long incarnation, long number) {

    private static final int NUMBER_BITS = 20;

    /**
     * Returns the number after which a run of a daemon's process numbers messages whose replies state a number only.
     *
     * <p>Runs that start a second apart have a billion numbers each before they repeat one another's.
     */
    public static long numbersAfter(long incarnation) {
        return incarnation << NUMBER_BITS;
    }

    /** Returns whether the given run of this daemon's process sent the message. */
    public boolean isOf(DaemonIdentity identity) {
        return incarnation == identity.incarnation();
    }

    /** Issues the ids of one run of a daemon's process. Not thread-safe: confined to the daemon's event loop. */
    public static final class Sequence {

        private final long incarnation;
        private long lastNumber;

        /** Creates a sequence for the given run of the daemon's process. */
        public Sequence(DaemonIdentity identity) {
            this.incarnation = identity.incarnation();
        }

        /** Returns an id that has not been returned before. */
        public CorrelationId next() {
            return new CorrelationId(incarnation, ++lastNumber);
        }
    }
}
