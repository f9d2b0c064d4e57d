package org.cornelcrank.routing;

/**
 * Settings of the routing of requests.
 *
 * <p>Immutable, thus thread-safe.
 */
public record RoutingSettings(
        Permits permits,
        Queues queues,
        Retries retries,
        Ejection ejection,
        Quarantine quarantine,
        PromptParts promptParts,
        Link link) {

    /** Returns settings for a deployment of any size up to hundreds of daemons. */
    public static RoutingSettings defaults() {
        return new RoutingSettings(
                new Permits(8, 3, 10, 0, 1_000, 5_000, 1_000, 3_000, 100, 8),
                new Queues(20_000, 4, 5_000, 20_000, 0.01, 5),
                new Retries(4, 0.2, 20),
                new Ejection(3, 5_000, 10_000),
                new Quarantine(2_000, 600_000, 2, 3_600_000),
                PromptParts.DEFAULTS,
                new Link(500_000, 2_048, 6));
    }

    /**
     * Returns settings for targets that admit a request as soon as another one has been cancelled, and for callers to
     * whom a response is worth most within a fraction of a second.
     *
     * <p>A waiting request queues at several targets. A request is quarantined only after its third death, as it may
     * not have caused the first two, and only for a short time.
     */
    public static RoutingSettings forLatencyObjectives() {
        return new RoutingSettings(
                new Permits(15, 4, 10, 2, 1_000, 2_000, 500, 3_000, 100, 8),
                new Queues(20_000, 8, 2_000, 8_000, 0.01, 5),
                new Retries(4, 0.5, 50),
                new Ejection(3, 500, 1_000),
                new Quarantine(2_000, 20_000, 3, 600_000),
                PromptParts.DEFAULTS,
                new Link(500_000, 2_048, 60));
    }

    /**
     * Settings of the permits.
     *
     * <p>{@code patienceMs} is how long an urgent request waits for any reply of a controller before it is dispatched
     * without a permit. {@code maxAsks} limits the number of targets that may refuse a permit for one attempt,
     * {@code maxMoves} the number of times that a waiting request moves to a target that seems to have capacity.
     * {@code maxHedgedRequests} limits the number of further targets at which a waiting request is queued at the same
     * time. {@code handoverMs} is how long a new controller collects the running permits before it grants any to batch
     * work. {@code announceIntervalMs} is the interval at which a holder advertises its running permits.
     * {@code occupancyIntervalMs} is the minimum interval between publications of a target's occupancy,
     * {@code occupancyStaleMs} the time after which a received occupancy is ignored. {@code revokePatienceMs} is how
     * long the release of a revoked permit may take. {@code unreportedSlots} is the capacity of a target that reports
     * none.
     */
    public record Permits(
            long patienceMs,
            int maxAsks,
            int maxMoves,
            int maxHedgedRequests,
            long handoverMs,
            long announceIntervalMs,
            long occupancyIntervalMs,
            long occupancyStaleMs,
            long revokePatienceMs,
            int unreportedSlots) {

        public Permits {
            requirePositive(patienceMs, "patienceMs");
            requirePositive(maxAsks, "maxAsks");
            requirePositive(maxMoves, "maxMoves");
            if (maxHedgedRequests < 0) {
                throw new IllegalArgumentException(
                        "maxHedgedRequests must not be negative but was " + maxHedgedRequests);
            }
            requirePositive(handoverMs, "handoverMs");
            requirePositive(announceIntervalMs, "announceIntervalMs");
            requirePositive(occupancyIntervalMs, "occupancyIntervalMs");
            requirePositive(occupancyStaleMs, "occupancyStaleMs");
            requirePositive(revokePatienceMs, "revokePatienceMs");
            requirePositive(unreportedSlots, "unreportedSlots");
        }
    }

    /**
     * Settings of queues and of batch demand.
     *
     * <p>{@code maxOpenRequests} limits the open requests of one daemon, {@code maxWaitersPerSlot} the requests that
     * wait for one slot of a target. {@code demandRefreshMs} is the interval at which batch demand is advertised again,
     * {@code demandLifetimeMs} the time after which it expires. {@code reserveMissShare} is the share of online
     * requests that may find no reserved slot and wait longer than {@code toleratedWaitMs} until batch work is
     * preempted.
     */
    public record Queues(
            int maxOpenRequests,
            int maxWaitersPerSlot,
            long demandRefreshMs,
            long demandLifetimeMs,
            double reserveMissShare,
            long toleratedWaitMs) {

        public Queues {
            requirePositive(maxOpenRequests, "maxOpenRequests");
            requirePositive(maxWaitersPerSlot, "maxWaitersPerSlot");
            requirePositive(demandRefreshMs, "demandRefreshMs");
            requirePositive(demandLifetimeMs, "demandLifetimeMs");
            requirePositive(toleratedWaitMs, "toleratedWaitMs");
            if (!(reserveMissShare > 0 && reserveMissShare < 1)) {
                throw new IllegalArgumentException(
                        "reserveMissShare must lie between 0 and 1 but was " + reserveMissShare);
            }
        }
    }

    /** Limits retries: attempts per request, and retries as a share of requests beyond a burst. */
    public record Retries(int maxAttempts, double budgetShare, int budgetBurst) {

        public Retries {
            requirePositive(maxAttempts, "maxAttempts");
            requirePositive(budgetBurst, "budgetBurst");
            if (!(budgetShare >= 0 && budgetShare <= 1)) {
                throw new IllegalArgumentException("budgetShare must be 0 to 1 but was " + budgetShare);
            }
        }
    }

    /**
     * Specifies after how many consecutive failures a target is ejected, for how long, and how gradually it returns.
     */
    public record Ejection(int failuresInRow, long ejectionMs, long returnMs) {

        public Ejection {
            requirePositive(failuresInRow, "failuresInRow");
            requirePositive(ejectionMs, "ejectionMs");
            requirePositive(returnMs, "returnMs");
        }
    }

    /**
     * Settings of the quarantine of requests that crash their targets.
     *
     * <p>{@code deathWindowMs} is the time within which signs of a target's death count as the same death. After
     * {@code deathsToQuarantine} deaths, a request is refused for {@code quarantineMs}, and
     * for three times as long after each further one. Its deaths are forgotten {@code memoryMs} after the last.
     */
    public record Quarantine(long deathWindowMs, long quarantineMs, int deathsToQuarantine, long memoryMs) {

        public Quarantine {
            requirePositive(deathWindowMs, "deathWindowMs");
            requirePositive(quarantineMs, "quarantineMs");
            requirePositive(deathsToQuarantine, "deathsToQuarantine");
            requirePositive(memoryMs, "memoryMs");
        }
    }

    /**
     * Settings of the quarantine of prompt parts that crash their targets.
     *
     * <p>A part is quarantined after {@code crashesToQuarantine} crashes under at least {@code requestsToQuarantine}
     * different requests. Since the first, {@code successesWithout} requests of one daemon without it must have
     * succeeded, and {@code successesPerCrash} times as many as lost their target in other crashes; or the part was in
     * flight at all of at least {@code explainedCrashes} crashes that one daemon has seen, while at least half of its
     * requests, and {@code arrivalsWithout} of them, lacked it. A part of a request that has succeeded within
     * {@code recentSuccessMs} is not accused. A quarantine expires {@code lifetimeMs} after the last request with the
     * part. The first trial begins after {@code firstTrialMs}, with the daemons' times for it spread over
     * {@code trialSpreadMs}; for each further one, both are {@code trialFactor} times as long.
     */
    public record PromptParts(
            int crashesToQuarantine,
            int requestsToQuarantine,
            int successesWithout,
            int successesPerCrash,
            int explainedCrashes,
            int arrivalsWithout,
            long recentSuccessMs,
            long lifetimeMs,
            long firstTrialMs,
            int trialFactor,
            long trialSpreadMs) {

        private static final long RECENT_SUCCESS_MS = 10_000;
        private static final long LIFETIME_MS = 600_000;
        private static final long FIRST_TRIAL_MS = 3_000;
        private static final long TRIAL_SPREAD_MS = 12_000;

        /** The settings for a deployment of any size up to hundreds of daemons. */
        static final PromptParts DEFAULTS =
                new PromptParts(4, 3, 1, 3, 3, 3, RECENT_SUCCESS_MS, LIFETIME_MS, FIRST_TRIAL_MS, 10, TRIAL_SPREAD_MS);

        public PromptParts {
            requirePositive(crashesToQuarantine, "crashesToQuarantine");
            requirePositive(requestsToQuarantine, "requestsToQuarantine");
            requirePositive(successesWithout, "successesWithout");
            requirePositive(successesPerCrash, "successesPerCrash");
            requirePositive(explainedCrashes, "explainedCrashes");
            requirePositive(arrivalsWithout, "arrivalsWithout");
            requirePositive(recentSuccessMs, "recentSuccessMs");
            requirePositive(lifetimeMs, "lifetimeMs");
            requirePositive(firstTrialMs, "firstTrialMs");
            requirePositive(trialFactor, "trialFactor");
            requirePositive(trialSpreadMs, "trialSpreadMs");
        }
    }

    /**
     * Limits the traffic of one daemon's requests over the paid link between regions, and estimates that of one
     * request.
     */
    public record Link(long bytesPerSecond, int requestBytes, int bytesPerToken) {

        public Link {
            requirePositive(bytesPerSecond, "bytesPerSecond");
            requirePositive(requestBytes, "requestBytes");
            requirePositive(bytesPerToken, "bytesPerToken");
        }
    }

    private static void requirePositive(long value, String name) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be above zero but was " + value);
        }
    }
}
