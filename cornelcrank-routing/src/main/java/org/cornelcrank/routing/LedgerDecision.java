package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;

/**
 * A decision of a permit ledger about one holder's permit.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface LedgerDecision {

    AttemptId attempt();

    HostId holder();

    /** The request may run now. */
    record Grant(AttemptId attempt, HostId holder) implements LedgerDecision {}

    /** The request waits in the queue. */
    record Queue(AttemptId attempt, HostId holder) implements LedgerDecision {}

    /** The request will not run on this target. */
    record Refuse(AttemptId attempt, HostId holder, RoutingMessage.Reason reason, long retryAfterMs)
            implements LedgerDecision {}

    /** The holder must release the batch permit at once. */
    record Revoke(AttemptId attempt, HostId holder) implements LedgerDecision {}
}
