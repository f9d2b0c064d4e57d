package org.cornelcrank.routing;

import java.util.Optional;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ResumePoint;

/**
 * Gives batch jobs the capacity that online requests do not use.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
public interface BatchCapacity {

    /** Sets a job's demand, replacing any earlier one; a demand of zero items withdraws it. */
    void setDemand(BatchDemand demand, long nowMs, Effects out);

    /** Runs an item under an unused permit; {@link BatchCapacityListener#workEnded} follows. */
    void run(BatchPermit permit, BatchWork work, long nowMs, Effects out);

    /** Releases a permit that was not used. */
    void releaseUnused(BatchPermit permit, long nowMs, Effects out);

    /** Cancels the work that runs under a permit, for example because its job was cancelled. */
    void cancel(BatchPermit permit, long nowMs, Effects out);

    /** Registers the only listener; to be called before the daemon starts. */
    void subscribe(BatchCapacityListener listener);

    /** Is notified of granted permits and of the ends of their work. */
    interface BatchCapacityListener {

        /** Called when a permit is granted; it must be used or released in the same event or soon after. */
        void permitGranted(BatchPermit permit, long nowMs, Effects out);

        /**
         * Called when the work of a permit has ended, and the permit with it.
         *
         * <p>{@code preempted} indicates that online requests took the capacity back; such a run does not count as an
         * attempt of the item, and {@code resume} refers to the part of the generation that the target has kept.
         */
        void workEnded(
                BatchPermit permit,
                BatchWork work,
                AttemptOutcome outcome,
                boolean preempted,
                Optional<ResumePoint> resume,
                long nowMs,
                Effects out);
    }
}
