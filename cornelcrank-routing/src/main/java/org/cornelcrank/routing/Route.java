package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcrank.config.Settings;
import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;

/**
 * The current state of one request that this daemon routes.
 *
 * <p>Invariant: {@code verdict} covers all attempts that have ended. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class Route {

    final RoutedRequest request;
    final RequestRouter.RouteListener listener;
    final long arrivedAtMs;
    private final Optional<TeamPolicy> admittedUnder;
    final List<HedgedPermitRequest> hedgedRequests = new ArrayList<>();
    final Set<TargetId> excluded = new TreeSet<>();

    /** The targets whose controllers have not replied in time, which are asked again if there is no other target. */
    final Set<TargetId> unanswered = new TreeSet<>();

    /** The targets that had no room for a stream whose caller has a part of it, which are asked again later. */
    final Set<TargetId> full = new TreeSet<>();

    /** The targets that the stream left as they made no progress; they may go on. */
    final Set<TargetId> stalled = new TreeSet<>();

    int repeatedAsks;
    private OptionalLong silentSinceMs = OptionalLong.empty();

    /** The targets whose connections the request has lost, except those that were lost only with the way to them. */
    final Set<TargetId> lossesAt = new TreeSet<>();

    final String resumeKey;
    Phase phase = Phase.CHOOSING;
    Verdict verdict = Verdict.NOT_RUN;
    AttemptId attempt;
    TargetState target;
    HostId controller;
    Optional<HostId> relay = Optional.empty();
    boolean crossesRegions;
    int pathFailures;

    /** Whether the request has waited for a target: many such requests run at once as soon as one can be reached. */
    boolean awaitedPath;

    long awaitsPathUntilMs;

    /** The loss of the target that is to be explained before the request is retried. */
    Optional<AttemptOutcome.Failed> unexplainedLoss = Optional.empty();

    boolean permitted;
    boolean suspect;
    boolean trial;
    int permitRefusals;
    int moves;
    int redirects;
    long redirectedAtMs;
    long queuedAtMs;
    int attempts;
    int runs;
    private boolean goneTargetIgnored;
    int deliveredTokens;
    int resumedFrom;
    int generation;
    boolean bytesReachedCaller;

    /** Whether the target has begun to respond to the running attempt. */
    boolean responding;

    long dispatchedAtMs;
    long retryAfterMs;
    Optional<SoftwareVersion> version = Optional.empty();
    VersionInquiry inquiry = new VersionInquiry(Set.of(), 0, 0);

    Route(
            RoutedRequest request,
            RequestRouter.RouteListener listener,
            Optional<TeamPolicy> admittedUnder,
            long arrivedAtMs) {
        this.request = request;
        this.admittedUnder = admittedUnder;
        this.arrivedAtMs = arrivedAtMs;
        this.listener = listener;
        this.resumeKey = "online-" + Long.toHexString(StableHash.of(request.id().toString()));
    }

    /**
     * Counts a failed run. The first run whose target is gone does not count, as the target may have failed for another
     * reason; any later one does, as the request itself may crash its targets.
     */
    void countRun(AttemptOutcome.Failed failure) {
        if (failure.verdict().equals(Verdict.NOT_RUN)) {
            return;
        }
        if (failure.kind() == FailureKind.TARGET_GONE && !goneTargetIgnored) {
            goneTargetIgnored = true;
        } else {
            runs++;
        }
    }

    /**
     * Returns the policy of the request's team: the one in effect, or if the team has been removed since, the one under
     * which the request was admitted.
     */
    Optional<TeamPolicy> team(Settings settings) {
        return settings.team(request.team()).or(() -> admittedUnder);
    }

    /** Records that a controller has not replied in time. */
    void controllerSilent(long nowMs) {
        if (silentSinceMs.isEmpty()) {
            silentSinceMs = OptionalLong.of(nowMs);
        }
    }

    /** Returns whether no controller has replied for at least the given time. */
    boolean asksInVain(long nowMs, long silenceMs) {
        return silentSinceMs.isPresent() && nowMs - silentSinceMs.getAsLong() >= silenceMs;
    }

    /** Lets the request ask all controllers anew. */
    void forgetSilence() {
        unanswered.clear();
        repeatedAsks = 0;
        silentSinceMs = OptionalLong.empty();
    }

    /** Returns whether only the target that began the request's stream can resume it. */
    boolean boundToTarget() {
        return bytesReachedCaller && !request.options().resumableAnywhere();
    }

    /** Returns the targets that the request may still use. */
    TargetFilter filter() {
        return filter(lossesAt);
    }

    /** Returns the same targets except that only some of the losses exclude theirs. */
    TargetFilter filter(Set<TargetId> excludingLosses) {
        Set<TargetId> unusable = new TreeSet<>(excluded);
        unusable.addAll(unanswered);
        unusable.addAll(full);
        unusable.addAll(excludingLosses);
        return new TargetFilter(unusable, version);
    }

    /** Returns whether the caller may have a part of the response. */
    boolean responseBegun() {
        return responding || bytesReachedCaller;
    }

    /** Returns the targets that may resume the stream if the running attempt ends. */
    TargetFilter resumableElsewhere() {
        Set<TargetId> unusable = new TreeSet<>(excluded);
        unusable.addAll(lossesAt);
        unusable.add(target.id());
        return new TargetFilter(unusable, version.or(() -> Optional.of(target.softwareVersion())));
    }

    /** Returns whether the request has requested a permit and no attempt is running. */
    boolean awaitsPermit() {
        return phase == Phase.ASKED || phase == Phase.QUEUED || phase == Phase.DISPUTED;
    }

    /** Returns whether the request waits until it may look for a target again, without a permit request. */
    boolean awaitsTarget() {
        return phase == Phase.AWAITING_PATH || phase == Phase.AWAITING_ROOM;
    }

    enum Phase {
        CHOOSING,
        /** Other daemons are asked for the version that began the stream. */
        RESOLVING,
        /** This daemon reaches no target that may run the request, and waits for the end of a check. */
        AWAITING_PATH,
        /** No target has room to resume the stream now, as far as controllers reply. */
        AWAITING_ROOM,
        /** A permit is requested and the controller has not replied yet. */
        ASKED,
        /** The request waits in the controller's queue. */
        QUEUED,
        /** The request waits until the daemons agree on the target's controller. */
        DISPUTED,
        RUNNING,
        ENDED
    }
}
