package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Subject;

/**
 * Chooses the target of a request: near targets before far ones, and among equally near ones by the selector.
 *
 * <p>For a request with a cacheable prompt, all data centres of a region count as equally near, since a cache hit saves
 * far more than the network round trip costs. A target in the other region is chosen only if no target in this
 * daemon's region can meet the request's latency objective, or its deadline if it has no objective, and only if the
 * link budget allows it. Not thread-safe: confined to the daemon's event loop.
 */
final class TargetChoice {

    private static final int MAX_EXPLAINED = 6;
    private static final double SLOW_FACTOR = 3;
    private static final double SLOW_MARGIN_MS = 100;
    private static final double SLOW_SHARE = 0.1;

    /** The number of crossings between regions to a target of this region through a relay of another one. */
    private static final int MAX_CROSSINGS = 2;

    /** The extra latency of a target in the other region in ms: the round trips of a permit and of a response. */
    private static final long OTHER_REGION_COST_MS = 150;

    private final RoutingContext context;
    private final LinkBudget link;

    TargetChoice(RoutingContext context, LinkBudget link) {
        this.context = context;
        this.link = link;
    }

    Optional<TargetState> choose(RoutedRequest request, TeamPolicy team, TargetFilter filter, long nowMs, Effects out) {
        List<TargetState> eligible = eligible(request, team, filter, nowMs);
        Optional<TargetCandidate> chosen = chooseByDistance(request, candidates(eligible, request, nowMs), nowMs);
        chosen.ifPresent(candidate -> explain(request, candidate, eligible, nowMs, out));
        return chosen.flatMap(candidate -> context.directory().find(candidate.target()));
    }

    /** Returns another target that seems to have a free slot, for a request that would have to wait. */
    Optional<TargetState> chooseWithCapacity(RoutedRequest request, TeamPolicy team, TargetFilter filter, long nowMs) {
        List<TargetState> eligible = eligible(request, team, filter, nowMs);
        List<TargetCandidate> candidates = withCapacity(inOwnRegion(candidates(eligible, request, nowMs)));
        return select(candidates, request)
                .flatMap(candidate -> context.directory().find(candidate.target()));
    }

    /**
     * Returns a further target at which a waiting request may queue as well: the one with the lowest expected wait plus
     * network latency.
     */
    Optional<TargetState> chooseForHedge(RoutedRequest request, TeamPolicy team, TargetFilter filter, long nowMs) {
        List<TargetState> eligible = eligible(request, team, filter, nowMs);
        Optional<TargetState> best =
                eligible.stream().min(Comparator.comparingLong(target -> hedgeCostMs(target, nowMs)));
        return best.filter(target ->
                context.regionCrossings(target, nowMs) == 0 || link.tryTake(LinkBudget.Purpose.ONLINE, nowMs));
    }

    private List<TargetState> eligible(RoutedRequest request, TeamPolicy team, TargetFilter filter, long nowMs) {
        return context.directory().eligible(request, team, filter, nowMs).stream()
                .filter(target -> context.paths().usable(target, nowMs))
                .toList();
    }

    /** Returns whether any target may run the request now. */
    boolean exists(RoutedRequest request, TeamPolicy team, TargetFilter filter, long nowMs) {
        return !eligible(request, team, filter, nowMs).isEmpty();
    }

    /** Returns whether a target that may run the request is being checked, and may be usable after that. */
    boolean mayFindTarget(RoutedRequest request, TeamPolicy team, TargetFilter filter, long nowMs) {
        return context.directory().eligible(request, team, filter, nowMs).stream()
                .anyMatch(target -> context.paths().mayBecomeUsable(target)
                        || context.paths().lossUnexplained(target.id()));
    }

    private long hedgeCostMs(TargetState target, long nowMs) {
        return target.expectedWaitMs(nowMs, staleMs()) + context.regionCrossings(target, nowMs) * OTHER_REGION_COST_MS;
    }

    private Optional<TargetCandidate> chooseByDistance(
            RoutedRequest request, List<TargetCandidate> candidates, long nowMs) {
        if (context.policy().admission() == AdmissionOrder.ARRIVAL) {
            List<TargetCandidate> ownRegion = inOwnRegion(candidates);
            return select(ownRegion.isEmpty() ? candidates : ownRegion, request);
        }
        List<TargetCandidate> sameDataCentre = atDistance(candidates, Location.Distance.SAME_DATA_CENTRE);
        List<TargetCandidate> ownRegion = inOwnRegion(candidates);
        List<TargetCandidate> otherRegion = atDistance(candidates, Location.Distance.OTHER_REGION);
        boolean prefersCached = !request.prefixHashes().isEmpty();
        Optional<TargetCandidate> nearby =
                prefersCached ? Optional.empty() : select(withCapacity(sameDataCentre), request);
        if (nearby.isPresent()) {
            return nearby;
        }
        Optional<TargetCandidate> regional = select(withCapacity(ownRegion), request);
        if (regional.isPresent()) {
            return regional;
        }
        boolean regionMeetsObjective =
                ownRegion.stream().anyMatch(candidate -> meetsObjective(candidate, request, nowMs));
        if (!regionMeetsObjective) {
            List<TargetCandidate> alternatives = ownRegion.isEmpty() ? otherRegion : withCapacity(otherRegion);
            if (!alternatives.isEmpty() && link.tryTake(LinkBudget.Purpose.ONLINE, nowMs)) {
                return select(alternatives, request);
            }
        }
        return select(ownRegion, request);
    }

    private boolean meetsObjective(TargetCandidate candidate, RoutedRequest request, long nowMs) {
        long waitMs = context.directory()
                .find(candidate.target())
                .map(target -> target.expectedWaitMs(nowMs, staleMs()))
                .orElse(0L);
        long objectiveMs = request.options().objectiveMs();
        return objectiveMs > 0 ? waitMs < objectiveMs / 2 : nowMs + waitMs < request.deadlineAtMs();
    }

    private Optional<TargetCandidate> select(List<TargetCandidate> candidates, RoutedRequest request) {
        List<TargetCandidate> admitted = new ArrayList<>();
        for (TargetCandidate candidate : candidates) {
            if (candidate.admittedShare() >= 1 || context.random().nextDouble() < candidate.admittedShare()) {
                admitted.add(candidate);
            }
        }
        return context.policy()
                .selector()
                .select(admitted.isEmpty() ? candidates : admitted, request, context.random());
    }

    private List<TargetCandidate> candidates(List<TargetState> targets, RoutedRequest request, long nowMs) {
        double medianStartMs = medianStartLatencyMs(targets);
        List<TargetCandidate> candidates = new ArrayList<>(targets.size());
        for (TargetState target : withFewestCrossings(targets, nowMs)) {
            double startMs = target.health().startLatencyMs();
            boolean slow = medianStartMs > 0 && startMs > SLOW_FACTOR * medianStartMs + SLOW_MARGIN_MS;
            double share = target.health().admittedShare(nowMs) * (slow ? SLOW_SHARE : 1);
            candidates.add(new TargetCandidate(
                    target.id(),
                    context.distanceTo(target, nowMs),
                    target.slots(context.routing().permits().unreportedSlots()),
                    target.inUse(nowMs, staleMs()),
                    target.waiting(nowMs, staleMs()),
                    target.reportedLoad(),
                    target.cache().held(request.prefixHashes()),
                    share));
        }
        return candidates;
    }

    /** Leaves out the targets that are reached by a detour through another region, if others have free slots. */
    private List<TargetState> withFewestCrossings(List<TargetState> targets, long nowMs) {
        List<TargetState> onTheWay = targets.stream()
                .filter(target -> context.regionCrossings(target, nowMs) < MAX_CROSSINGS)
                .toList();
        boolean free = onTheWay.stream()
                .anyMatch(target -> target.inUse(nowMs, staleMs())
                        < target.slots(context.routing().permits().unreportedSlots()));
        return free ? onTheWay : targets;
    }

    private static double medianStartLatencyMs(List<TargetState> targets) {
        double[] known = targets.stream()
                .mapToDouble(target -> target.health().startLatencyMs())
                .filter(latency -> latency > 0)
                .sorted()
                .toArray();
        return known.length < 2 ? 0 : known[(known.length - 1) / 2];
    }

    private static List<TargetCandidate> atDistance(List<TargetCandidate> candidates, Location.Distance distance) {
        return candidates.stream()
                .filter(candidate -> candidate.distance() == distance)
                .toList();
    }

    private static List<TargetCandidate> inOwnRegion(List<TargetCandidate> candidates) {
        return candidates.stream()
                .filter(candidate -> candidate.distance() != Location.Distance.OTHER_REGION)
                .toList();
    }

    private static List<TargetCandidate> withCapacity(List<TargetCandidate> candidates) {
        return candidates.stream().filter(TargetCandidate::hasCapacity).toList();
    }

    private long staleMs() {
        return context.routing().permits().occupancyStaleMs();
    }

    private void explain(
            RoutedRequest request, TargetCandidate chosen, List<TargetState> eligible, long nowMs, Effects out) {
        StringBuilder considered = new StringBuilder();
        eligible.stream().limit(MAX_EXPLAINED).forEach(target -> considered
                .append(considered.isEmpty() ? "" : ", ")
                .append(target.id())
                .append(' ')
                .append(target.inUse(nowMs, staleMs()))
                .append('/')
                .append(target.slots(context.routing().permits().unreportedSlots())));
        String version = context.directory()
                .find(chosen.target())
                .map(target -> target.softwareVersion().toString())
                .orElse("");
        String reason = context.policy().selector().name() + ", " + chosen.distance() + ", version " + version
                + ", cached prefixes "
                + chosen.cachedPrefixes() + "; of " + eligible.size() + ": " + considered;
        out.explain(Subject.Kind.REQUEST, request.id(), nowMs, "target " + chosen.target() + " chosen", reason);
    }
}
