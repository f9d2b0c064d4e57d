package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TeamPath;

/**
 * Decides what an owner refuses before it writes anything.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class OwnerChecks {

    private static final long RETRY_AFTER_MS = 1_000;

    private final BatchContext context;
    private final PartitionId partition;

    OwnerChecks(BatchContext context, PartitionId partition) {
        this.context = context;
        this.partition = partition;
    }

    /** Returns why so many bytes cannot be written now; empty if they can. */
    Optional<Refusal> unwritable(long bytes, long nowMs) {
        if (!context.writer().logAnswers(nowMs)) {
            String message = "the log does not answer, so nothing new can be kept";
            return Optional.of(Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS));
        }
        if (!context.writer().hasCapacity(partition, bytes)) {
            String message = "too much waits for the log in partition " + partition;
            return Optional.of(Refusal.notRun(RefusalCode.OVERLOADED, message, RETRY_AFTER_MS));
        }
        return Optional.empty();
    }

    static boolean maySee(Caller caller, TeamPath team) {
        return caller.scope() == Caller.Scope.OPERATOR || caller.team().team().equals(team.team());
    }

    static Refusal notFound(Object id) {
        return Refusal.notRun(RefusalCode.NOT_FOUND, "there is no " + id);
    }

    static Refusal conflict(String message) {
        return Refusal.notRun(RefusalCode.CONFLICT, message);
    }

    static Refusal invalid(String message) {
        return Refusal.notRun(RefusalCode.INVALID_REQUEST, message);
    }
}
