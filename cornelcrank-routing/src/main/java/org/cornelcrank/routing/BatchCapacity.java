package org.cornelcrank.routing;

import java.util.Optional;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ResumePoint;

/**
 * Gives batch jobs what capacity online requests leave over.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
public interface BatchCapacity {

    /** States a job's demand, in place of what was stated before; a wish for none withdraws it. */
    void setDemand(BatchDemand demand, long nowMs, Effects out);

    /** Runs an item under a permit that was granted and not yet used; {@link BatchCapacityListener#workEnded} follows. */
    void run(BatchPermit permit, BatchWork work, long nowMs, Effects out);

    /** Gives back a permit that was not used. */
    void releaseUnused(BatchPermit permit, long nowMs, Effects out);

    /** Cancels the running work of a permit, as after the cancel of its job. */
    void cancel(BatchPermit permit, long nowMs, Effects out);

    /** Registers the one listener; called before the daemon starts. */
    void subscribe(BatchCapacityListener listener);

    /** Is told of permits and of the ends of their work. */
    interface BatchCapacityListener {

        /** A permit is granted; it must be used or given back in the same event or soon after. */
        void permitGranted(BatchPermit permit, long nowMs, Effects out);

        /**
         * The work of a permit ended, and the permit with it.
         *
         * <p>{@code preempted} says that online requests took the capacity back; such a run counts as no attempt of the
         * item, and {@code resume} names what the target keeps of it.
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
