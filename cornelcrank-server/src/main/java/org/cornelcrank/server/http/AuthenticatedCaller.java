package org.cornelcrank.server.http;

import java.util.Optional;

import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.TeamPath;

/**
 * A caller whose key was accepted, with what the settings say of its workload.
 *
 * <p>{@code policy} is empty for operators, and for teams without settings. Immutable, thus thread-safe.
 */
record AuthenticatedCaller(Caller caller, TeamPath workload, Optional<TeamPolicy> policy) {

    /** Returns the policy of a caller's team. */
    TeamPolicy requirePolicy() {
        return policy.orElseThrow(() -> RefusedException.notRun(
                RefusalCode.FORBIDDEN, "no settings are in force for " + workload + "; an operator creates them"));
    }
}
