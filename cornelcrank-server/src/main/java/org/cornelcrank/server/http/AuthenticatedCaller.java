package org.cornelcrank.server.http;

import java.util.Optional;

import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TeamPath;

/**
 * An authenticated caller, with the team policy that applies to its workload.
 *
 * <p>{@code policy} is empty for operators, and for teams without settings. Immutable, thus thread-safe.
 */
record AuthenticatedCaller(Caller caller, TeamPath workload, Optional<TeamPolicy> policy) {

    /** Returns the team's policy, or fails with a refusal if there is none. */
    TeamPolicy requirePolicy() {
        return policy.orElseThrow(() -> RefusedException.notRun(
                RefusalCode.FORBIDDEN, "no settings exist for " + workload + "; an operator must create them"));
    }
}
