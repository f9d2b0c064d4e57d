package org.cornelcrank.batch;

import java.util.Optional;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TeamPath;

/**
 * Checks that an owner makes before it writes anything; a failed check results in a refusal.
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

    /** Returns the refusal if the given number of bytes cannot be written now. */
    Optional<Refusal> checkWritable(long bytes, long nowMs) {
        if (!context.writer().logAvailable(nowMs)) {
            String message = "the log does not respond, so nothing new can be stored";
            return Optional.of(Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS));
        }
        if (!context.writer().hasCapacity(partition, bytes)) {
            String message = "too many bytes wait to be appended to the log in partition " + partition;
            return Optional.of(Refusal.notRun(RefusalCode.OVERLOADED, message, RETRY_AFTER_MS));
        }
        return Optional.empty();
    }

    static boolean mayAccess(Caller caller, TeamPath team) {
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
