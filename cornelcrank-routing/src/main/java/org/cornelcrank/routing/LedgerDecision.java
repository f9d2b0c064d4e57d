package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;

/**
 * What a permit ledger decides about one holder's permit.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface LedgerDecision {

    AttemptId attempt();

    HostId holder();

    /** The request may run now. */
    record Grant(AttemptId attempt, HostId holder) implements LedgerDecision {}

    /** The request waits. */
    record Queue(AttemptId attempt, HostId holder) implements LedgerDecision {}

    /** The request will not run here. */
    record Refuse(AttemptId attempt, HostId holder, RoutingMessage.Reason reason, long retryAfterMs)
            implements LedgerDecision {}

    /** The batch permit has to come back at once. */
    record Revoke(AttemptId attempt, HostId holder) implements LedgerDecision {}
}
