package org.cornelcrank.routing;

import java.util.LinkedHashMap;
import java.util.Map;

import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.TeamPath;

/**
 * Limits the rates of requests and tokens of each team.
 *
 * <p>The limits apply to the whole deployment; each daemon allows an equal part of them, with bursts of
 * {@link #BURST_SECONDS} and of at least {@link #MIN_BURST_REQUESTS} requests, as the platform's load balancer spreads
 * requests unevenly over short periods. A limit of zero means unlimited. Invariant: tracks at most {@link #MAX_TEAMS}
 * teams; the least recently seen ones are evicted. Not thread-safe: confined to the daemon's event loop.
 */
final class TeamLimiter {

    private static final int MAX_TEAMS = 8_192;
    private static final double BURST_SECONDS = 10;
    private static final double MIN_BURST_REQUESTS = 4;

    private final MembershipView membership;
    private final Map<TeamPath, Buckets> buckets = new LinkedHashMap<>(16, 0.75f, true);

    TeamLimiter(MembershipView membership) {
        this.membership = membership;
    }

    /** Counts a request; returns 0 if it may run, or else the time in ms after which the team may retry. */
    long tryTake(TeamPolicy team, long nowMs) {
        if (team.maxRequestsPerSecond() <= 0 && team.maxTokensPerSecond() <= 0) {
            return 0;
        }
        Buckets teamBuckets = buckets.computeIfAbsent(team.team(), path -> new Buckets(team, daemons(), nowMs));
        evictExcess();
        long tokenWaitMs = 0;
        if (team.maxTokensPerSecond() > 0) {
            double rate = (double) team.maxTokensPerSecond() / daemons();
            tokenWaitMs = teamBuckets.tokens.tryTake(1, rate, rate * BURST_SECONDS, nowMs);
        }
        if (tokenWaitMs > 0 || team.maxRequestsPerSecond() <= 0) {
            return tokenWaitMs;
        }
        double rate = team.maxRequestsPerSecond() / daemons();
        return teamBuckets.requests.tryTake(1, rate, requestDepth(rate), nowMs);
    }

    /** Counts the tokens of a response, which are known only after it has ended. */
    void countTokens(TeamPath team, int tokens) {
        Buckets teamBuckets = buckets.get(team);
        if (teamBuckets != null) {
            teamBuckets.tokens.take(tokens);
        }
    }

    int size() {
        return buckets.size();
    }

    private int daemons() {
        return Math.max(1, membership.members().size());
    }

    private void evictExcess() {
        if (buckets.size() > MAX_TEAMS) {
            buckets.remove(buckets.keySet().iterator().next());
        }
    }

    private static double requestDepth(double rate) {
        return Math.max(MIN_BURST_REQUESTS, rate * BURST_SECONDS);
    }

    private static final class Buckets {

        private final TokenBucket requests;
        private final TokenBucket tokens;

        Buckets(TeamPolicy team, int daemons, long nowMs) {
            requests = new TokenBucket(requestDepth(team.maxRequestsPerSecond() / daemons), nowMs);
            tokens = new TokenBucket(team.maxTokensPerSecond() * BURST_SECONDS / daemons, nowMs);
        }
    }
}
