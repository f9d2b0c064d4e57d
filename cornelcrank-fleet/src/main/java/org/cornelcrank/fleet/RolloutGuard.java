package org.cornelcrank.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TargetId;

/**
 * Rolls out a new version of a service to one target after another, and watches each before the next one.
 *
 * <p>A version fails if a target is lost while the version is watched there, or if its targets fail a clearly larger
 * share of their attempts than those with another version. Not thread-safe: confined to the daemon's event loop.
 */
final class RolloutGuard {

    private static final double FAILURE_SHARE_FACTOR = 2;
    private static final double FAILURE_SHARE_MARGIN = 0.05;

    private final FleetSettings settings;
    private final TargetTable targets;
    private final Map<ServiceName, Step> steps = new TreeMap<>();

    RolloutGuard(FleetSettings settings, TargetTable targets) {
        this.settings = settings;
        this.targets = targets;
    }

    /** Returns the reason why the target may not get the desired version now, empty if it may. */
    Optional<String> objection(ServiceName service, TargetId target, FleetPlan plan, FleetState state) {
        String version = plan.managed().get(service).version();
        if (state.isHalted(service, version)) {
            return Optional.of("roll-out of " + service + " " + version + " is halted");
        }
        if (!replacesOtherVersion(service, plan)) {
            return Optional.empty();
        }
        return Optional.ofNullable(steps.get(service))
                .filter(step -> step.watchedSinceMs >= 0 || !step.target.equals(target))
                .map(step -> "roll-out of " + service + " " + version + " is watched on " + step.target);
    }

    /** Records that an order to load the desired version is being sent to the target. */
    void ordered(ServiceName service, TargetId target, FleetPlan plan) {
        if (replacesOtherVersion(service, plan)) {
            steps.put(service, new Step(target, plan.managed().get(service).version(), -1, Map.of()));
        }
    }

    /** Handles an order that failed. */
    void orderFailed(TargetId target) {
        steps.values().removeIf(step -> step.target.equals(target) && step.watchedSinceMs < 0);
    }

    /** Starts to watch the version on the target, which now has it loaded. */
    void orderConfirmed(TargetId target, FleetPlan plan, long nowMs) {
        steps.replaceAll((service, step) -> step.target.equals(target) && step.watchedSinceMs < 0
                ? new Step(target, step.version, nowMs, countsOf(plan.serving(service)))
                : step);
    }

    /**
     * Ends the watch of versions that performed well for long enough, and returns those that failed, with the reason.
     */
    List<FleetRecord.RolloutHalted> review(FleetPlan plan, long nowMs) {
        List<FleetRecord.RolloutHalted> failed = new ArrayList<>();
        for (ServiceName service : new TreeSet<>(steps.keySet())) {
            Step step = steps.get(service);
            boolean outdated = !plan.managed().containsKey(service)
                    || !plan.managed().get(service).version().equals(step.version);
            if (outdated) {
                steps.remove(service);
                continue;
            }
            if (step.watchedSinceMs < 0) {
                continue;
            }
            Optional<String> fault = findFault(service, step, plan);
            if (fault.isPresent()) {
                failed.add(new FleetRecord.RolloutHalted(service, step.version, fault.get()));
                steps.remove(service);
            } else if (nowMs - step.watchedSinceMs >= settings.bakeMs()) {
                steps.remove(service);
            }
        }
        return failed;
    }

    private Optional<String> findFault(ServiceName service, Step step, FleetPlan plan) {
        boolean lost = targets.find(step.target)
                .filter(target -> target.wasLostSince(step.watchedSinceMs))
                .isPresent();
        if (lost) {
            return Optional.of("target " + step.target + " was lost after loading it");
        }
        List<TargetId> others = new ArrayList<>(plan.serving(service));
        List<TargetId> desired = plan.servingDesiredVersion(service);
        others.removeAll(desired);
        AttemptStatistics.Counts previous = countsSince(step, others);
        AttemptStatistics.Counts current = countsSince(step, desired);
        boolean worse = current.failures() >= settings.minFailures()
                && current.failureShare() > previous.failureShare() * FAILURE_SHARE_FACTOR + FAILURE_SHARE_MARGIN;
        return worse
                ? Optional.of(current.failures() + " of " + current.attempts() + " attempts failed with it, "
                        + previous.failures() + " of " + previous.attempts() + " with the other version")
                : Optional.empty();
    }

    private AttemptStatistics.Counts countsSince(Step step, List<TargetId> ids) {
        AttemptStatistics.Counts sum = AttemptStatistics.Counts.NONE;
        for (TargetId id : ids) {
            AttemptStatistics.Counts baseline = step.baseline.getOrDefault(id, AttemptStatistics.Counts.NONE);
            sum = sum.plus(countsOf(id).minus(baseline));
        }
        return sum;
    }

    private Map<TargetId, AttemptStatistics.Counts> countsOf(List<TargetId> ids) {
        Map<TargetId, AttemptStatistics.Counts> counts = new TreeMap<>();
        ids.forEach(id -> counts.put(id, countsOf(id)));
        return counts;
    }

    private AttemptStatistics.Counts countsOf(TargetId id) {
        return targets.find(id).map(TargetTable.ListedTarget::counts).orElse(AttemptStatistics.Counts.NONE);
    }

    private static boolean replacesOtherVersion(ServiceName service, FleetPlan plan) {
        return plan.serving(service).size()
                > plan.servingDesiredVersion(service).size();
    }

    /**
     * The latest step of a roll-out: a target that gets the version; {@code watchedSinceMs} is negative until its
     * report confirms the version.
     */
    private record Step(
            TargetId target, String version, long watchedSinceMs, Map<TargetId, AttemptStatistics.Counts> baseline) {}
}
