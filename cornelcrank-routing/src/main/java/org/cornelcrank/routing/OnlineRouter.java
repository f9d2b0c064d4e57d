package org.cornelcrank.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcrank.config.ServicePolicy;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ResumePoint;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.core.Verdict;

/**
 * Routes each online request from its arrival to its end: chooses a target, obtains a permit, dispatches the attempt
 * and retries where that is allowed.
 *
 * <p>Invariant: a request's listener is notified of its end exactly once, also if an event of the request could not be
 * handled; later events for the request are ignored, and permits that arrive too late are released. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class OnlineRouter implements RequestRouter {

    static final TimerKey TIMER = new TimerKey(RoutingStateMachine.NAME, "requests");

    private static final long DEFAULT_RETRY_AFTER_MS = 1_000;
    private static final long CAPACITY_CHECK_INTERVAL_MS = 250;
    private static final long PERMIT_REQUEST_INTERVAL_MS = 1_000;

    /** How long a request stays in the queue of a controller that has not replied to it again, in ms. */
    private static final long QUEUE_SILENCE_MS = 2 * PERMIT_REQUEST_INTERVAL_MS;

    private static final long DEFAULT_ATTEMPT_TIMEOUT_MS = 120_000;
    private static final int MAX_REDIRECTS = 2;

    /** The pause before the next permit request if the daemons disagree on the target's controller, in ms. */
    private static final long DISPUTE_PAUSE_MS = 50;

    /** How long a request waits for the daemons to agree on the target's controller, in ms. */
    private static final long DISPUTE_TIMEOUT_MS = 500;

    /** How long after its deadline a request is ended that is still open, in ms: attempts end at the deadline. */
    private static final long OVERDUE_MS = 1_000;

    /** How long a request waits for the end of a check of its targets, in ms: all rounds of one. */
    private static final long PATH_CHECK_TIMEOUT_MS = 1_200;

    /** How long a request that must not run without a permit asks controllers while none of them replies, in ms. */
    private static final long MAX_CONTROLLER_SILENCE_MS = 1_000;

    /** How many attempts of a request may fail before they reach their target without counting as attempts. */
    private static final int MAX_PATH_FAILURES = 4;

    /** The number of tokens, or events, up to which a response counts as just begun. */
    private static final int MAX_FIRST_TOKENS = 8;

    private final RoutingContext context;
    private final TeamLimiter limiter;
    private final LinkBudget link;
    private final StreamVersions streams;
    private final StreamResolver resolver;
    private final TargetChoice choice;
    private final PermitRequests permits;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget;
    private final HedgedPermitRequests hedges;
    private final DueQueue<RequestId> wakeups = new DueQueue<>(TIMER);
    private final Map<RequestId, Route> routes = new LinkedHashMap<>();
    private final Map<AttemptId, Route> byAttempt = new LinkedHashMap<>();
    private Optional<Refusal> closedWith = Optional.empty();

    OnlineRouter(RoutingContext context, TeamLimiter limiter, LinkBudget link, StreamVersions streams) {
        this.context = context;
        this.limiter = limiter;
        this.link = link;
        this.streams = streams;
        this.resolver = new StreamResolver(context, streams, wakeups, new ResolvedStreams());
        this.choice = new TargetChoice(context, link);
        this.permits = new PermitRequests(context);
        this.hedges = new HedgedPermitRequests(context, choice, permits, byAttempt);
        this.retryPolicy = new RetryPolicy(context.routing().retries().maxAttempts());
        this.retryBudget = new RetryBudget(context.routing().retries());
    }

    @Override
    public void route(RoutedRequest request, RouteListener listener, long nowMs, Effects out) {
        Optional<TeamPolicy> team =
                request.options().admittedUnder().or(() -> context.settings().team(request.team()));
        Route route = new Route(request, listener, team, nowMs);
        context.count("requests");
        if (routes.containsKey(request.id())) {
            throw new IllegalArgumentException(
                    "request must be routed only once but was routed again: " + request.id());
        }
        Optional<Refusal> refusal = refusalOnArrival(request, team, nowMs).or(() -> admitParts(route, nowMs, out));
        if (refusal.isPresent()) {
            end(route, new RouteOutcome.GivenUp(refusal.get()), nowMs, out);
            return;
        }
        retryBudget.requestArrived();
        context.promptParts().arrived(request.sharedParts());
        route.suspect = route.trial || context.suspects().suspected(request.fingerprint(), nowMs);
        routes.put(request.id(), route);
        if (request.options().stream().filter(StreamIdentity::resumed).isPresent()) {
            resolver.resolve(route, nowMs, out);
        } else {
            chooseTarget(route, nowMs, out);
        }
    }

    void streamVersionReplied(HostId from, RoutingMessage.StreamVersionReply reply, long nowMs, Effects out) {
        resolver.replied(from, reply, nowMs, out);
    }

    /** Decides on the streams whose version may be known now, as the directory or the recorded versions were read. */
    void versionsChanged(long nowMs, Effects out) {
        resolver.versionsChanged(nowMs, out);
    }

    private Optional<Refusal> refusalOnArrival(RoutedRequest request, Optional<TeamPolicy> team, long nowMs) {
        if (closedWith.isPresent()) {
            return closedWith;
        }
        if (!context.settings().ready()) {
            return Optional.of(Refusal.notRun(
                    RefusalCode.NOT_READY, "the settings have not been loaded yet", DEFAULT_RETRY_AFTER_MS));
        }
        if (context.suspects().quarantined(request.fingerprint(), nowMs)) {
            return Optional.of(Refusal.notRun(RefusalCode.QUARANTINED, "the request has crashed targets before"));
        }
        if (team.isEmpty()
                || !team.get().services().isEmpty() && !team.get().services().contains(request.service())) {
            return Optional.of(Refusal.notRun(
                    RefusalCode.FORBIDDEN, "team " + request.team() + " may not use " + request.service()));
        }
        if (routes.size() >= context.routing().queues().maxOpenRequests()) {
            return Optional.of(Refusal.notRun(
                    RefusalCode.OVERLOADED, "too many open requests at this daemon", DEFAULT_RETRY_AFTER_MS));
        }
        long waitMs = limiter.tryTake(team.get(), nowMs);
        if (waitMs > 0) {
            context.count("requests-over-limit");
            return Optional.of(Refusal.notRun(
                    RefusalCode.LIMIT_EXCEEDED, "team " + request.team() + " exceeds its rate limit", waitMs));
        }
        return Optional.empty();
    }

    /** Refuses a request with a quarantined prompt part, unless a trial is due, for which it is admitted. */
    private Optional<Refusal> admitParts(Route route, long nowMs, Effects out) {
        List<Long> parts = route.request.sharedParts();
        if (!context.promptParts().quarantined(parts)) {
            return Optional.empty();
        }
        long retryAfterMs = context.promptParts().retryAfterMs(parts, nowMs);
        route.trial = retryAfterMs == 0;
        if (route.trial) {
            return Optional.empty();
        }
        context.promptParts().refused(parts, nowMs, out);
        return Optional.of(Refusal.notRun(
                RefusalCode.QUARANTINED, "a part of the prompt has crashed targets before", retryAfterMs));
    }

    @Override
    public void cancel(RequestId request, long nowMs, Effects out) {
        Route route = routes.get(request);
        if (route == null) {
            return;
        }
        interrupt(route, out);
        giveUp(route, RefusalCode.CANCELLED, "cancelled by the caller", nowMs, out);
    }

    private void interrupt(Route route, Effects out) {
        if (route.phase == Route.Phase.RUNNING) {
            route.verdict = route.verdict.and(Verdict.MAY_HAVE_RUN);
            out.add(new Effect.CancelAttempt(route.attempt));
        } else if (route.phase == Route.Phase.RESOLVING) {
            resolver.end(route);
        } else if (!route.awaitsTarget()) {
            withdraw(route, out);
        }
    }

    /** Ends all requests because the daemon stops, each with its verdict, and refuses those that arrive later. */
    void endAll(Refusal notRun, long nowMs, Effects out) {
        closedWith = Optional.of(notRun);
        for (Route route : List.copyOf(routes.values())) {
            interrupt(route, out);
            Refusal refusal = route.verdict instanceof Verdict.NotRun
                    ? notRun
                    : new Refusal(route.verdict, RefusalCode.TARGET_FAILED, notRun.message(), 0);
            end(route, new RouteOutcome.GivenUp(refusal), nowMs, out);
        }
    }

    /** Ends the requests that are open long after their deadline, as an event of theirs could not be handled. */
    void endOverdue(long nowMs, Effects out) {
        for (Route route : List.copyOf(routes.values())) {
            if (nowMs >= route.request.deadlineAtMs() + OVERDUE_MS) {
                context.count("requests-overdue");
                interrupt(route, out);
                giveUp(route, RefusalCode.DEADLINE_EXCEEDED, "no outcome is known after the deadline", nowMs, out);
            }
        }
    }

    private void chooseTarget(Route route, long nowMs, Effects out) {
        RoutedRequest request = route.request;
        route.phase = Route.Phase.CHOOSING;
        if (nowMs >= request.deadlineAtMs()) {
            giveUp(route, RefusalCode.DEADLINE_EXCEEDED, "deadline passed before a target was free", nowMs, out);
            return;
        }
        Optional<TargetState> chosen = choose(route, nowMs, out);
        if (chosen.isEmpty() && askAgain(route, nowMs)) {
            chosen = choose(route, nowMs, out);
        }
        if (chosen.isPresent()) {
            route.target = chosen.get();
            obtainPermit(route, nowMs, out);
        } else if (mayFindTarget(route, nowMs)) {
            awaitPath(route, nowMs, out);
        } else {
            giveUpWithoutTarget(route, nowMs, out);
        }
    }

    private Optional<TargetState> choose(Route route, long nowMs, Effects out) {
        return route.team(context.settings())
                .flatMap(team -> choice.choose(route.request, team, route.filter(), nowMs, out));
    }

    /** Lets a request use the targets again whose controllers were silent, for a limited time. */
    private static boolean askAgain(Route route, long nowMs) {
        if (route.unanswered.isEmpty() || route.asksInVain(nowMs, MAX_CONTROLLER_SILENCE_MS)) {
            return false;
        }
        route.unanswered.clear();
        route.repeatedAsks++;
        return true;
    }

    private boolean mayFindTarget(Route route, long nowMs) {
        Set<TargetId> explained = new TreeSet<>(route.lossesAt);
        explained.removeIf(context.paths()::lossUnexplained);
        return route.team(context.settings())
                .filter(team -> choice.mayFindTarget(route.request, team, route.filter(explained), nowMs))
                .isPresent();
    }

    private void awaitPath(Route route, long nowMs, Effects out) {
        context.count("requests-awaiting-path");
        route.awaitedPath = true;
        awaitCheck(route, nowMs, out);
    }

    private void awaitCheck(Route route, long nowMs, Effects out) {
        route.phase = Route.Phase.AWAITING_PATH;
        route.awaitsPathUntilMs = nowMs + PATH_CHECK_TIMEOUT_MS;
        wakeups.put(route.request.id(), Math.min(route.request.deadlineAtMs(), route.awaitsPathUntilMs), out);
    }

    /** Goes on with the requests that wait for a way to a target. */
    void pathsChanged(long nowMs, Effects out) {
        for (Route route : List.copyOf(routes.values())) {
            if (route.phase == Route.Phase.AWAITING_PATH) {
                findPath(route, nowMs, out);
            }
        }
    }

    /**
     * Lets requests that lost their target only because this daemon lost its way to it use the target again, and clears
     * the suspicion against them.
     */
    void lossesForgotten(TargetId target, long nowMs) {
        for (Route route : routes.values()) {
            if (route.lossesAt.remove(target) && route.lossesAt.isEmpty()) {
                route.suspect = route.trial || context.suspects().suspected(route.request.fingerprint(), nowMs);
            }
        }
    }

    private void findPath(Route route, long nowMs, Effects out) {
        if (route.unexplainedLoss.isPresent()) {
            awaitExplanation(route, nowMs, out);
            return;
        }
        wakeups.remove(route.request.id());
        if (!route.boundToTarget()) {
            chooseTarget(route, nowMs, out);
        } else if (nowMs >= route.request.deadlineAtMs()) {
            giveUp(route, RefusalCode.DEADLINE_EXCEEDED, "deadline passed before the target was reached", nowMs, out);
        } else if (context.paths().usable(route.target, nowMs)) {
            obtainPermit(route, nowMs, out);
        } else if (context.directory().lists(route.target) && context.paths().mayBecomeUsable(route.target)) {
            awaitPath(route, nowMs, out);
        } else {
            giveUpWithoutTarget(route, nowMs, out);
        }
    }

    /**
     * Lets a stream whose caller has a part of it wait for targets that had no room for it, whose controllers were
     * silent, or of which none is reached, as ending it now would break the response; returns whether it waits.
     */
    private boolean awaitRoom(Route route, long nowMs, Effects out) {
        boolean isolated = context.paths().isolated()
                && (!route.boundToTarget() || context.directory().lists(route.target));
        boolean mayBeResumed =
                isolated || !route.full.isEmpty() || !route.unanswered.isEmpty() || mayGoOnWhereItStalled(route, nowMs);
        if (!route.bytesReachedCaller || !mayBeResumed) {
            return false;
        }
        out.explain(
                Subject.Kind.REQUEST,
                route.request.id(),
                nowMs,
                "waits to be resumed",
                "no room now: " + route.full + ", no reply: " + route.unanswered
                        + (isolated ? ", no target is reached" : ""));
        route.phase = Route.Phase.AWAITING_ROOM;
        wakeups.put(
                route.request.id(), Math.min(route.request.deadlineAtMs(), nowMs + CAPACITY_CHECK_INTERVAL_MS), out);
        return true;
    }

    /** Returns whether a target that the stream left is still listed, though it may not be usable yet. */
    private boolean mayGoOnWhereItStalled(Route route, long nowMs) {
        return route.stalled.stream()
                .flatMap(target -> context.directory().find(target).stream())
                .anyMatch(target -> target.offers(route.request.service())
                        && !context.directory().leaving(target, nowMs));
    }

    private void lookForTargetAgain(Route route, long nowMs, Effects out) {
        if (route.phase == Route.Phase.AWAITING_ROOM) {
            route.full.clear();
            route.excluded.removeAll(route.stalled);
            route.forgetSilence();
            route.permitRefusals = 0;
        }
        findPath(route, nowMs, out);
    }

    private void giveUpWithoutTarget(Route route, long nowMs, Effects out) {
        if (awaitRoom(route, nowMs, out)) {
            return;
        }
        if (route.retryAfterMs > 0) {
            giveUp(route, RefusalCode.OVERLOADED, "no target can meet the deadline", nowMs, out);
            return;
        }
        String version = route.version.map(text -> " of version " + text).orElse("");
        if (route.version.isEmpty() || context.directory().lists(route.request.service(), route.version.get())) {
            route.retryAfterMs = context.paths().retryAfterMs();
        }
        giveUp(route, RefusalCode.NO_TARGET, "no target" + version + " serves " + route.request.service(), nowMs, out);
    }

    private void obtainPermit(Route route, long nowMs, Effects out) {
        route.attempt = context.attempts().next();
        route.permitted = false;
        route.redirects = 0;
        byAttempt.put(route.attempt, route);
        if (context.policy().admission() == AdmissionOrder.ARRIVAL) {
            dispatch(route, nowMs, out);
            return;
        }
        Optional<HostId> controller = context.controllers().controllerOf(route.target);
        route.controller = controller.orElse(null);
        if (controller.isEmpty()) {
            dispatchWithoutPermit(route, "no live daemon controls the target", nowMs, out);
            return;
        }
        requestPermit(route, nowMs, out);
    }

    private void requestPermit(Route route, long nowMs, Effects out) {
        route.phase = Route.Phase.ASKED;
        RoutedRequest request = route.request;
        permits.request(route, nowMs, out);
        wakeups.put(request.id(), Math.min(request.deadlineAtMs(), nowMs + permits.replyTimeoutMs(route)), out);
    }

    void granted(HostId from, RoutingMessage.PermitGranted granted, long nowMs, Effects out) {
        Route route = byAttempt.get(granted.attempt());
        if (route == null || route.phase == Route.Phase.ENDED) {
            permits.releaseUnused(from, granted.attempt(), granted.target(), out);
            return;
        }
        if (route.awaitsPermit() && !granted.attempt().equals(route.attempt)) {
            switchToHedged(route, granted.attempt(), out);
        }
        route.target.occupancyReceived(granted.occupancy(), nowMs);
        route.permitted = true;
        if (route.awaitsPermit()) {
            route.target.countedBeforeDispatch();
            dispatch(route, nowMs, out);
        }
    }

    void queued(HostId from, RoutingMessage.PermitQueued queued, long nowMs, Effects out) {
        Route route = byAttempt.get(queued.attempt());
        if (route == null || !route.awaitsPermit()) {
            if (route == null) {
                permits.releaseUnused(from, queued.attempt(), queued.target(), out);
            }
            return;
        }
        Optional<HedgedPermitRequest> hedge = HedgedPermitRequests.find(route, queued.attempt());
        hedge.map(HedgedPermitRequest::target).orElse(route.target).occupancyReceived(queued.occupancy(), nowMs);
        if (hedge.isPresent() || route.phase == Route.Phase.ASKED && moveToTargetWithCapacity(route, nowMs, out)) {
            return;
        }
        hedges.requestElsewhere(route, nowMs, out);
        route.phase = Route.Phase.QUEUED;
        route.queuedAtMs = nowMs;
        route.redirects = 0;
        wakeups.put(
                route.request.id(), Math.min(route.request.deadlineAtMs(), nowMs + CAPACITY_CHECK_INTERVAL_MS), out);
    }

    private boolean moveToTargetWithCapacity(Route route, long nowMs, Effects out) {
        if (route.boundToTarget()
                || route.permitRefusals + 1 >= context.routing().permits().maxAsks()) {
            return false;
        }
        TargetFilter others = route.filter().without(route.target.id());
        Optional<TargetState> other = route.team(context.settings())
                .flatMap(team -> choice.chooseWithCapacity(route.request, team, others, nowMs));
        if (other.isEmpty()) {
            return false;
        }
        route.moves++;
        withdraw(route, out);
        route.target = other.get();
        obtainPermit(route, nowMs, out);
        return true;
    }

    /** Makes a hedged permit request the current one and releases the previous one. */
    private void switchToHedged(Route route, AttemptId attempt, Effects out) {
        HedgedPermitRequest hedge = hedges.remove(route, attempt).orElseThrow();
        byAttempt.remove(route.attempt);
        permits.release(route, route.attempt, RoutingMessage.Use.UNUSED, out);
        useHedgedRequest(route, hedge);
    }

    private static void useHedgedRequest(Route route, HedgedPermitRequest hedge) {
        route.attempt = hedge.attempt();
        route.target = hedge.target();
        route.controller = hedge.controller();
    }

    void refused(RoutingMessage.PermitRefused refused, long nowMs, Effects out) {
        Route route = byAttempt.get(refused.attempt());
        if (route == null || !route.awaitsPermit()) {
            return;
        }
        if (hedges.remove(route, refused.attempt()).isPresent()) {
            byAttempt.remove(refused.attempt());
            return;
        }
        if (refused.reason() == RoutingMessage.Reason.NOT_CONTROLLER) {
            redirect(route, refused.controller(), nowMs, out);
            return;
        }
        out.explain(
                Subject.Kind.REQUEST,
                route.request.id(),
                nowMs,
                "permit refused by " + refused.target(),
                refused.reason().name());
        byAttempt.remove(route.attempt);
        route.permitRefusals++;
        boolean resumesLater = route.bytesReachedCaller && refused.reason() == RoutingMessage.Reason.OVERLOADED;
        (resumesLater ? route.full : route.excluded).add(route.target.id());
        if (refused.retryAfterMs() > 0) {
            route.retryAfterMs = route.retryAfterMs == 0
                    ? refused.retryAfterMs()
                    : Math.min(route.retryAfterMs, refused.retryAfterMs());
        }
        if (!route.hedgedRequests.isEmpty()) {
            useHedgedRequest(route, route.hedgedRequests.remove(0));
            return;
        }
        boolean mayRequestAgain =
                route.permitRefusals < context.routing().permits().maxAsks()
                        || refused.reason() == RoutingMessage.Reason.UNAVAILABLE;
        if (!route.boundToTarget() && mayRequestAgain) {
            chooseTarget(route, nowMs, out);
        } else if (!awaitRoom(route, nowMs, out)) {
            giveUp(route, RefusalCode.OVERLOADED, "no target can meet the deadline", nowMs, out);
        }
    }

    private void redirect(Route route, Optional<HostId> controller, long nowMs, Effects out) {
        if (route.redirects == 0) {
            route.redirectedAtMs = nowMs;
        }
        route.redirects++;
        if (controller.isEmpty() || nowMs - route.redirectedAtMs >= DISPUTE_TIMEOUT_MS) {
            dispatchWithoutPermit(route, "the daemons disagree on the target's controller", nowMs, out);
            return;
        }
        route.controller = controller.get();
        if (route.redirects <= MAX_REDIRECTS) {
            requestPermit(route, nowMs, out);
            return;
        }
        context.count("permits-disputed");
        route.phase = Route.Phase.DISPUTED;
        wakeups.put(route.request.id(), Math.min(route.request.deadlineAtMs(), nowMs + DISPUTE_PAUSE_MS), out);
    }

    /**
     * Handles the requests whose wake-up time has come: the deadline, the reply timeout of a controller, or the next
     * check for capacity elsewhere.
     */
    void timerDue(long nowMs, Effects out) {
        for (RequestId id : wakeups.takeDue(nowMs, out)) {
            Route route = routes.get(id);
            if (route != null && route.phase == Route.Phase.RESOLVING) {
                resolver.decide(route, nowMs, out);
                continue;
            }
            if (route != null && route.awaitsTarget()) {
                lookForTargetAgain(route, nowMs, out);
                continue;
            }
            if (route == null || !route.awaitsPermit()) {
                continue;
            }
            if (nowMs >= route.request.deadlineAtMs()) {
                withdraw(route, out);
                giveUp(route, RefusalCode.DEADLINE_EXCEEDED, "deadline passed before a slot was free", nowMs, out);
            } else if (route.phase == Route.Phase.ASKED) {
                dispatchWithoutPermit(
                        route, "the controller " + route.controller + " did not reply in time", nowMs, out);
            } else if (route.phase == Route.Phase.DISPUTED) {
                requestPermit(route, nowMs, out);
            } else {
                recheck(route, nowMs, out);
            }
        }
    }

    /**
     * Moves a waiting request to a target that now seems to have capacity, or else sends its permit request again from
     * time to time, in case the controller has lost it.
     */
    private void recheck(Route route, long nowMs, Effects out) {
        if (moveToTargetWithCapacity(route, nowMs, out)) {
            return;
        }
        long silenceMs = nowMs - route.queuedAtMs;
        if (silenceMs >= QUEUE_SILENCE_MS) {
            dispatchWithoutPermit(route, "the controller " + route.controller + " no longer replies", nowMs, out);
            return;
        }
        if (silenceMs >= PERMIT_REQUEST_INTERVAL_MS) {
            permits.request(route, nowMs, out);
        }
        wakeups.put(
                route.request.id(), Math.min(route.request.deadlineAtMs(), nowMs + CAPACITY_CHECK_INTERVAL_MS), out);
    }

    private void dispatchWithoutPermit(Route route, String reason, long nowMs, Effects out) {
        boolean limited = route.target.maxRequestsPerSecond().isPresent();
        if (route.request.urgency() == Urgency.BATCH || limited && !route.bytesReachedCaller) {
            withdraw(route, out);
            route.excluded.add(route.target.id());
            if (limited) {
                route.retryAfterMs = DEFAULT_RETRY_AFTER_MS;
            }
            chooseTarget(route, nowMs, out);
            return;
        }
        if (route.suspect || limited) {
            askElsewhere(route, reason, nowMs, out);
            return;
        }
        context.count("permits-skipped");
        out.explain(Subject.Kind.REQUEST, route.request.id(), nowMs, "dispatched without a permit", reason);
        dispatch(route, nowMs, out);
    }

    /** Requests a permit elsewhere, and where no controller has replied once more if no other target is left. */
    private void askElsewhere(Route route, String reason, long nowMs, Effects out) {
        out.explain(
                Subject.Kind.REQUEST, route.request.id(), nowMs, "no permit obtained for " + route.target.id(), reason);
        withdraw(route, out);
        (route.controller == null ? route.excluded : route.unanswered).add(route.target.id());
        route.controllerSilent(nowMs);
        if (route.asksInVain(nowMs, MAX_CONTROLLER_SILENCE_MS)) {
            giveUpWithoutTarget(route, nowMs, out);
        } else if (!route.boundToTarget()) {
            chooseTarget(route, nowMs, out);
        } else if (askAgain(route, nowMs)) {
            findPath(route, nowMs, out);
        } else {
            giveUpWithoutTarget(route, nowMs, out);
        }
    }

    private void dispatch(Route route, long nowMs, Effects out) {
        RoutedRequest request = route.request;
        if (context.directory().listsOtherVersion(route.target)) {
            leaveChangedTarget(route, nowMs, out);
            return;
        }
        if (!context.paths().usable(route.target, nowMs)) {
            withdraw(route, out);
            findPath(route, nowMs, out);
            return;
        }
        route.relay = context.paths().relayFor(route.target, nowMs);
        route.crossesRegions = context.regionCrossings(route.target, nowMs) > 0;
        if (context.promptParts().quarantined(request.sharedParts())) {
            route.retryAfterMs = context.promptParts().retryAfterMs(request.sharedParts(), nowMs);
            if (!route.trial || route.retryAfterMs > 0) {
                withdraw(route, out);
                giveUp(route, RefusalCode.QUARANTINED, "a part of the prompt crashed targets meanwhile", nowMs, out);
                return;
            }
            context.promptParts().beginTrial(request.sharedParts(), nowMs, out);
        }
        hedges.withdraw(route, out);
        wakeups.remove(request.id());
        route.phase = Route.Phase.RUNNING;
        route.attempts++;
        route.responding = false;
        route.dispatchedAtMs = nowMs;
        route.target.attemptDispatched();
        recordStream(route, nowMs, out);
        route.target.cache().sent(request.prefixHashes());
        long timeoutMs = Math.max(1, Math.min(request.deadlineAtMs() - nowMs, attemptTimeoutMs(request)));
        out.add(new Effect.Dispatch(
                route.attempt,
                route.target.id(),
                route.target.address(),
                route.relay,
                request.source(),
                resumePoint(route),
                timeoutMs));
        if (route.relay.isPresent()) {
            context.count("attempts-relayed");
            out.explain(Subject.Kind.REQUEST, request.id(), nowMs, "relayed by " + route.relay.get(), "path lost");
        }
        route.listener.routeDispatched(request, route.target.id(), nowMs, out);
    }

    /** Chooses again, as the target has started with another version since it was chosen. */
    private void leaveChangedTarget(Route route, long nowMs, Effects out) {
        out.explain(
                Subject.Kind.REQUEST,
                route.request.id(),
                nowMs,
                "not dispatched to " + route.target.id(),
                "it no longer has version " + route.target.softwareVersion());
        withdraw(route, out);
        if (route.boundToTarget()) {
            giveUpWithoutTarget(route, nowMs, out);
        } else {
            chooseTarget(route, nowMs, out);
        }
    }

    private void recordStream(Route route, long nowMs, Effects out) {
        route.request.options().stream()
                .ifPresent(stream -> streams.begun(
                        stream.key(),
                        route.request.service(),
                        route.target.softwareVersion(),
                        route.request.deadlineAtMs() - nowMs,
                        nowMs,
                        out));
    }

    /** Records the streams that run when a service gets targets of a second version. */
    void recordStreams(ServiceName service, long nowMs, Effects out) {
        for (Route route : routes.values()) {
            if (route.phase == Route.Phase.RUNNING && route.request.service().equals(service)) {
                recordStream(route, nowMs, out);
            }
        }
    }

    private Optional<ResumePoint> resumePoint(Route route) {
        if (!route.request.resumable()) {
            return Optional.empty();
        }
        route.resumedFrom = route.bytesReachedCaller ? route.deliveredTokens : 0;
        if (!route.bytesReachedCaller) {
            route.generation = route.attempts;
        }
        return Optional.of(new ResumePoint(route.resumeKey + "-" + route.generation, route.resumedFrom));
    }

    private long attemptTimeoutMs(RoutedRequest request) {
        return context.settings()
                .service(request.service())
                .map(ServicePolicy::attemptTimeoutMs)
                .filter(timeoutMs -> timeoutMs > 0)
                .orElse(DEFAULT_ATTEMPT_TIMEOUT_MS);
    }

    void attemptStarted(AttemptId attempt, long nowMs) {
        Route route = byAttempt.get(attempt);
        if (route != null) {
            route.responding = true;
            route.target.health().attemptStarted(nowMs - route.dispatchedAtMs);
            recordContact(route, nowMs);
        }
    }

    private void recordContact(Route route, long nowMs) {
        if (route.relay.isEmpty()) {
            context.paths().contact(route.target, nowMs);
        }
        route.target.health().responded();
    }

    /** Handles the silence of an attempt's target; returns whether the attempt belongs to this router. */
    boolean attemptSilent(AttemptId attempt, long nowMs, Effects out) {
        Route route = byAttempt.get(attempt);
        if (route == null) {
            return false;
        }
        boolean wouldBeCut = route.responseBegun() && retryPolicy.isLastRun(route);
        if (route.request.repeatable() && !wouldBeCut) {
            context.paths().attemptSilent(attempt, route.target, route.relay, nowMs, out);
        }
        return true;
    }

    /** Ends an attempt that makes no progress on a stream under way only if another target may resume the stream. */
    void attemptStalled(AttemptId attempt, long nowMs, Effects out) {
        Route route = byAttempt.get(attempt);
        if (route == null || route.phase != Route.Phase.RUNNING) {
            return;
        }
        boolean affordable = !retryBudget.exhausted();
        boolean elsewhere = route.team(context.settings())
                .filter(team -> choice.exists(route.request, team, route.resumableElsewhere(), nowMs))
                .isPresent();
        boolean leaves = affordable && elsewhere;
        out.explain(
                Subject.Kind.REQUEST,
                route.request.id(),
                nowMs,
                (leaves ? "leaves " : "waits for ") + route.target.id(),
                "no progress, " + (elsewhere ? "another target" : "no other target") + " may resume the stream, "
                        + (affordable ? "a retry" : "no retry") + " is affordable");
        if (leaves) {
            out.add(new Effect.EndStalledAttempt(attempt));
        }
    }

    /** Handles the end of an attempt; returns whether the attempt belongs to this router. */
    boolean attemptEnded(AttemptId attempt, AttemptOutcome outcome, long nowMs, Effects out) {
        Route route = byAttempt.remove(attempt);
        if (route == null) {
            return false;
        }
        route.target.attemptEnded();
        context.paths().attemptEnded(attempt);
        permits.release(route, attempt, FailureMapping.permitUse(outcome), out);
        countTokens(route, outcome);
        if (outcome instanceof AttemptOutcome.Succeeded succeeded) {
            attemptSucceeded(route, succeeded, nowMs, out);
        } else if (outcome instanceof AttemptOutcome.Failed failed) {
            attemptFailed(route, failed, nowMs, out);
        }
        return true;
    }

    private void countTokens(Route route, AttemptOutcome outcome) {
        int tokens = outcome instanceof AttemptOutcome.Succeeded succeeded
                ? succeeded.tokens()
                : ((AttemptOutcome.Failed) outcome).tokens();
        limiter.countTokens(route.request.team(), tokens);
        if (route.crossesRegions) {
            link.countResponse(LinkBudget.Purpose.ONLINE, tokens);
        }
    }

    private void attemptSucceeded(Route route, AttemptOutcome.Succeeded outcome, long nowMs, Effects out) {
        route.target.health().attemptSucceeded();
        recordContact(route, nowMs);
        if (context.suspects().suspected(route.request.fingerprint(), nowMs)) {
            context.suspects().clear(route.request.fingerprint(), nowMs, out);
        }
        context.promptParts().succeeded(route.request.sharedParts(), route.request.service(), nowMs, out);
        if (route.phase != Route.Phase.ENDED) {
            route.verdict = Verdict.COMPLETED;
            end(route, new RouteOutcome.TargetResponded(route.target.id(), outcome, route.attempts), nowMs, out);
        }
    }

    private void attemptFailed(Route route, AttemptOutcome.Failed failure, long nowMs, Effects out) {
        boolean ownDeadline = failure.kind() == FailureKind.TIMED_OUT && nowMs >= route.request.deadlineAtMs();
        boolean wayLost = route.relay.isEmpty() && context.paths().relayed(route.target);
        if (!ownDeadline) {
            TargetFailures.FailedAttempt failed = new TargetFailures.FailedAttempt(
                    route.target, route.relay, route.dispatchedAtMs, failure, suspectRun(route, failure));
            TargetFailures.apply(context, failed, nowMs, out);
        }
        if (route.phase == Route.Phase.ENDED) {
            return;
        }
        route.verdict = route.verdict.and(failure.verdict());
        route.countRun(failure);
        out.explain(
                Subject.Kind.REQUEST,
                route.request.id(),
                nowMs,
                "attempt " + route.attempts + " failed on " + route.target.id(),
                failure.kind() + ", " + failure.verdict().headerValue());
        if (failure.kind() == FailureKind.REJECTED && route.resumedFrom == 0) {
            end(route, new RouteOutcome.TargetResponded(route.target.id(), failure, route.attempts), nowMs, out);
            return;
        }
        route.bytesReachedCaller |= failure.bytesReachedCaller();
        if (route.bytesReachedCaller && route.version.isEmpty()) {
            route.version = Optional.of(route.target.softwareVersion());
        }
        route.deliveredTokens = route.resumedFrom + failure.tokens();
        boolean suspectBefore = route.suspect;
        if (isLoss(failure) && !wayLost) {
            route.suspect = true;
            route.lossesAt.add(route.target.id());
        }
        boolean unexplained = isLoss(failure) && context.paths().lossUnexplained(route.target.id());
        if (unexplained && (suspectBefore && route.relay.isPresent() || retryBudget.exhausted())) {
            postponeRetry(route, failure, nowMs, out);
        } else {
            retry(route, failure, nowMs, out);
        }
    }

    private static SuspectRun suspectRun(Route route, AttemptOutcome.Failed failure) {
        boolean longBegun = failure.tokens() > MAX_FIRST_TOKENS;
        return new SuspectRun(
                OptionalLong.of(route.request.fingerprint()),
                route.request.service(),
                longBegun || route.awaitedPath ? List.of() : route.request.sharedParts(),
                route.suspect);
    }

    /** Lets a request wait until it is known why it has lost its target, and retries it then. */
    private void postponeRetry(Route route, AttemptOutcome.Failed loss, long nowMs, Effects out) {
        route.unexplainedLoss = Optional.of(loss);
        awaitCheck(route, nowMs, out);
    }

    private void awaitExplanation(Route route, long nowMs, Effects out) {
        boolean timedOut = nowMs >= Math.min(route.request.deadlineAtMs(), route.awaitsPathUntilMs);
        if (timedOut || !context.paths().lossUnexplained(route.target.id())) {
            wakeups.remove(route.request.id());
            AttemptOutcome.Failed loss = route.unexplainedLoss.get();
            route.unexplainedLoss = Optional.empty();
            retry(route, loss, nowMs, out);
        }
    }

    private void retry(Route route, AttemptOutcome.Failed failure, long nowMs, Effects out) {
        boolean neverReached = countPathFailure(route, failure);
        boolean resumesLater = resumesLater(route, failure);
        if (resumesLater) {
            route.attempts--;
        }
        RetryPolicy.Step step = retryPolicy.after(route, failure);
        if (route.trial && failure.verdict().equals(Verdict.NOT_RUN)) {
            context.promptParts().trialNotRun(route.request.sharedParts(), nowMs, out);
        }
        if (context.suspects().quarantined(route.request.fingerprint(), nowMs)
                || context.promptParts().quarantined(route.request.sharedParts())) {
            giveUp(route, RefusalCode.QUARANTINED, "the request crashed targets", nowMs, out);
        } else if (step == RetryPolicy.Step.GIVE_UP
                || !neverReached && !isWayLost(route, failure) && !resumesLater && !retryBudget.tryTake()) {
            route.retryAfterMs = failure.retryAfterMs();
            giveUp(
                    route,
                    FailureMapping.refusalCode(failure.kind()),
                    "target " + route.target.id() + " failed: " + failure.kind(),
                    nowMs,
                    out);
        } else {
            context.count("retries");
            route.permitRefusals = 0;
            route.forgetSilence();
            if (!resumesLater) {
                route.full.clear();
            }
            route.moves = 0;
            if (step == RetryPolicy.Step.RESUME_SAME_TARGET) {
                findPath(route, nowMs, out);
            } else {
                if (!isPathFailure(failure) && !isLoss(failure)) {
                    boolean stalled = route.bytesReachedCaller && failure.kind() == FailureKind.TIMED_OUT;
                    (stalled || resumesLater ? route.full : route.excluded).add(route.target.id());
                    if (stalled) {
                        route.stalled.add(route.target.id());
                    }
                }
                chooseTarget(route, nowMs, out);
            }
        }
    }

    /** Returns whether a target has refused a stream under way that it may resume later; this is no attempt. */
    private static boolean resumesLater(Route route, AttemptOutcome.Failed failure) {
        return route.bytesReachedCaller
                && route.request.options().resumableAnywhere()
                && failure.kind() == FailureKind.OVERLOADED;
    }

    /** Returns whether the attempt did not reach its target, and does not count; only a few of a request do not. */
    private static boolean countPathFailure(Route route, AttemptOutcome.Failed failure) {
        boolean neverReached = isPathFailure(failure) && failure.verdict().equals(Verdict.NOT_RUN);
        if (!neverReached || route.pathFailures >= MAX_PATH_FAILURES) {
            return false;
        }
        route.pathFailures++;
        route.attempts--;
        return true;
    }

    /** Returns whether the attempt ended only as the way to its target was lost, which is no sign of a failing fleet. */
    private static boolean isWayLost(Route route, AttemptOutcome.Failed failure) {
        return switch (failure.kind()) {
            case PATH_LOST, RELAY_FAILED -> true;
            case CONNECTION_LOST, TARGET_GONE -> !route.lossesAt.contains(route.target.id());
            default -> false;
        };
    }

    private static boolean isLoss(AttemptOutcome.Failed failure) {
        return failure.kind() == FailureKind.CONNECTION_LOST || failure.kind() == FailureKind.TARGET_GONE;
    }

    /** Returns whether the way to the target has failed, so that the target may serve the request another way. */
    private static boolean isPathFailure(AttemptOutcome.Failed failure) {
        return switch (failure.kind()) {
            case PATH_LOST, RELAY_FAILED -> true;
            case CONNECTION_REFUSED -> failure.status() == 0;
            default -> false;
        };
    }

    private void giveUp(Route route, RefusalCode code, String message, long nowMs, Effects out) {
        Refusal refusal = new Refusal(route.verdict, code, message, route.retryAfterMs);
        end(route, new RouteOutcome.GivenUp(refusal), nowMs, out);
    }

    private void end(Route route, RouteOutcome outcome, long nowMs, Effects out) {
        route.phase = Route.Phase.ENDED;
        routes.remove(route.request.id());
        wakeups.remove(route.request.id());
        if (outcome instanceof RouteOutcome.GivenUp givenUp) {
            Refusal refusal = givenUp.refusal();
            context.count("given-up-" + refusal.code().errorCode());
            out.explain(
                    Subject.Kind.REQUEST,
                    route.request.id(),
                    nowMs,
                    "given up, " + refusal.verdict().headerValue(),
                    refusal.code() + ": " + refusal.message());
        }
        route.listener.routeEnded(route.request, outcome, nowMs, out);
    }

    /** Withdraws the request from the controller's queue, or releases a permit that is already in flight. */
    private void withdraw(Route route, Effects out) {
        hedges.withdraw(route, out);
        byAttempt.remove(route.attempt);
        permits.release(route, route.attempt, RoutingMessage.Use.UNUSED, out);
    }

    /** Moves waiting and running requests to the new controllers of their targets after a change of the membership. */
    void controllersChanged(long nowMs, Effects out) {
        for (Route route : new LinkedHashSet<>(byAttempt.values())) {
            hedges.withdrawMoved(route, out);
            Optional<HostId> controller = context.controllers().controllerOf(route.target);
            if (controller.isEmpty() || controller.get().equals(route.controller)) {
                continue;
            }
            route.controller = controller.get();
            if (route.awaitsPermit()) {
                requestPermit(route, nowMs, out);
            }
        }
    }

    /** Returns the requests with a dispatched attempt, which are advertised to the controllers. */
    Collection<Route> running() {
        return byAttempt.values().stream()
                .filter(route -> !route.awaitsPermit())
                .toList();
    }

    Collection<Route> openRoutes() {
        return routes.values();
    }

    double retryTokens() {
        return retryBudget.tokens();
    }

    private final class ResolvedStreams implements StreamResolver.Listener {

        @Override
        public void resolved(Route route, long nowMs, Effects out) {
            chooseTarget(route, nowMs, out);
        }

        @Override
        public void unresolved(Route route, String reason, long nowMs, Effects out) {
            giveUp(route, RefusalCode.NO_TARGET, reason, nowMs, out);
        }
    }
}
