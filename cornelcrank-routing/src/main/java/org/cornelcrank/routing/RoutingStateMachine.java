package org.cornelcrank.routing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.Names;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TargetReport;
import org.cornelcrank.core.TimerKey;

/**
 * Routes requests to targets, grants the permits of the targets that this daemon controls, and grants idle capacity to
 * batch jobs.
 *
 * <p>Invariant: urgent requests have priority over batch work everywhere. Not thread-safe: confined to the daemon's
 * event loop.
 */
public final class RoutingStateMachine implements StateMachine, RequestRouter, BatchCapacity {

    public static final String NAME = "routing";

    private static final TimerKey TICK = new TimerKey(NAME, "tick");
    private static final long TICK_INTERVAL_MS = 1_000;

    /** How recently a daemon must have heard from a target to check itself whether it is down, in ms. */
    private static final long RECENT_CONTACT_MS = 10_000;

    private final RoutingContext context;
    private final MembershipView membership;
    private final TargetStatusPublisher statusPublisher;
    private final RateLimitPublisher rateLimitPublisher;
    private final TargetController controller;
    private final PathMonitor paths;
    private final StreamVersions streams;
    private final OnlineRouter online;
    private final BatchRunner batch;
    private final PermitAdvertiser permitAdvertiser;
    private final OnlineRequestHandler onlineRequests;
    private final RoutingDump dump;
    private long seenMembershipVersion = -1;
    private long seenDirectoryVersion = -1;
    private long permitsAdvertisedAtMs;
    private long demandAdvertisedAtMs;

    /** Creates the state machine; it is idle until it receives {@link Event.Started}. */
    public RoutingStateMachine(
            DaemonIdentity identity,
            MembershipView membership,
            Dissemination dissemination,
            Settings settings,
            RoutingPolicy policy,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.membership = Objects.requireNonNull(membership, "membership must not be null");
        RoutingSettings routing = policy.settings();
        statusPublisher = new TargetStatusPublisher(
                identity.host(), dissemination, routing.quarantine().deathWindowMs());
        rateLimitPublisher = new RateLimitPublisher(dissemination);
        PromptPartRegistry promptParts = new PromptPartRegistry(routing, identity, membership, dissemination, metrics);
        TargetDirectory directory = new TargetDirectory(settings, routing);
        PeerLink peers = new PeerLink(identity.host());
        paths = new PathMonitor(directory, peers, new RelaySelector(membership, identity, random), metrics);
        context = new RoutingContext(
                identity,
                settings,
                policy,
                directory,
                new ControllerMap(membership),
                peers,
                new AttemptIdGenerator(identity),
                new SuspectRegistry(routing.quarantine(), dissemination, promptParts),
                promptParts,
                statusPublisher,
                paths,
                random,
                metrics);
        TeamLimiter limiter = new TeamLimiter(membership);
        LinkBudget link = new LinkBudget(routing.link());
        controller = new TargetController(context, new OccupancyPublisher(routing.permits(), dissemination));
        streams = new StreamVersions(context, membership);
        online = new OnlineRouter(context, limiter, link, streams);
        batch = new BatchRunner(context, new BatchDemandAdvertiser(context));
        paths.subscribe(new PathChangeHandler(context, controller, online));
        permitAdvertiser = new PermitAdvertiser(context, online, batch);
        onlineRequests = new OnlineRequestHandler(online);
        dump = new RoutingDump(context, controller, online, batch, limiter, link);
        dissemination.subscribe(NAME, this::factReceived);
        settings.subscribe(this::settingsChanged);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        applyMembershipChange(nowMs, out);
        if (event instanceof Event.Started) {
            out.schedule(TICK, nowMs + TICK_INTERVAL_MS);
        } else if (event instanceof Event.TimerDue due) {
            timerDue(due.key(), nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof RoutingMessage message) {
            receive(received.from(), message, nowMs, out);
        } else if (event instanceof Event.CommandReceived received) {
            commandReceived(received.request(), received.caller(), received.command(), nowMs, out);
        } else if (event instanceof Event.CallerDisconnected disconnected) {
            online.cancel(disconnected.request(), nowMs, out);
        } else if (event instanceof Event.StopTimedOut timedOut) {
            online.endAll(timedOut.notRun(), nowMs, out);
        } else if (event instanceof Event.AttemptStarted started) {
            online.attemptStarted(started.attempt(), nowMs);
            batch.attemptStarted(started.attempt(), nowMs);
        } else if (event instanceof Event.AttemptSilent silent) {
            if (!online.attemptSilent(silent.attempt(), nowMs, out)) {
                batch.attemptSilent(silent.attempt(), nowMs, out);
            }
        } else if (event instanceof Event.AttemptStalled stalled) {
            online.attemptStalled(stalled.attempt(), nowMs, out);
        } else if (event instanceof Event.AttemptEnded ended) {
            attemptEnded(ended, nowMs, out);
        } else {
            targetEvent(event, nowMs, out);
        }
        deliverToSelf(nowMs, out);
    }

    private void timerDue(TimerKey key, long nowMs, Effects out) {
        if (key.equals(OnlineRouter.TIMER)) {
            online.timerDue(nowMs, out);
        } else if (key.equals(TargetController.TIMER)) {
            controller.timerDue(nowMs, out);
        } else if (key.equals(PathMonitor.TIMER)) {
            paths.timerDue(nowMs, out);
        } else if (key.equals(TICK)) {
            out.schedule(TICK, nowMs + TICK_INTERVAL_MS);
            tick(nowMs, out);
        }
    }

    private void tick(long nowMs, Effects out) {
        context.suspects().expire(nowMs);
        context.promptParts().expire(nowMs);
        streams.expire(nowMs);
        recordStreamsOutOfReach(nowMs, out);
        online.endOverdue(nowMs, out);
        controller.refresh(List.of(), nowMs, out);
        boolean readvertise =
                nowMs - demandAdvertisedAtMs >= context.routing().queues().demandRefreshMs();
        batch.refresh(readvertise, nowMs, out);
        if (readvertise) {
            demandAdvertisedAtMs = nowMs;
        }
        if (nowMs - permitsAdvertisedAtMs >= context.routing().permits().announceIntervalMs()) {
            permitAdvertiser.advertiseAll(nowMs, out);
            permitsAdvertisedAtMs = nowMs;
        }
    }

    private void recordStreamsOutOfReach(long nowMs, Effects out) {
        for (ServiceName service : streams.noLongerWithinReach(nowMs)) {
            out.add(new Effect.StateChanged(
                    NAME, "open streams of " + service + " are recorded, as the directory is out of reach"));
            online.recordStreams(service, nowMs, out);
        }
    }

    private void attemptEnded(Event.AttemptEnded ended, long nowMs, Effects out) {
        if (!online.attemptEnded(ended.attempt(), ended.outcome(), nowMs, out)) {
            batch.attemptEnded(ended.attempt(), ended.outcome(), nowMs, out);
        }
    }

    private void targetEvent(Event event, long nowMs, Effects out) {
        if (event instanceof Event.HostListRead read) {
            context.directory().listRead(read.hosts()).forEach(target -> statusPublisher.leaving(target, nowMs, out));
            streams.services()
                    .listed(context.directory().all(), nowMs)
                    .forEach(service -> online.recordStreams(service, nowMs, out));
            applyMembershipChange(nowMs, out);
            controller.refresh(List.of(), nowMs, out);
        } else if (event instanceof Event.HostListConfirmed confirmed) {
            streams.services().confirmed(confirmed.asOfMs(), nowMs);
            versionsChanged(nowMs, out);
        } else if (event instanceof Event.HostListUnconfirmed unconfirmed) {
            streams.services().unconfirmed(unconfirmed.asOfMs());
            recordStreamsOutOfReach(nowMs, out);
            versionsChanged(nowMs, out);
        } else if (event instanceof Event.HostListGap) {
            streams.services().gap(nowMs);
        } else if (event instanceof Event.VersionsRecorded versions) {
            streams.services()
                    .recorded(versions.versions(), versions.asOfMs(), nowMs)
                    .forEach(service -> online.recordStreams(service, nowMs, out));
            versionsChanged(nowMs, out);
        } else if (event instanceof Event.TargetReported reported) {
            reported(reported.report(), nowMs, out);
        } else if (event instanceof Event.TargetUnreachable unreachable && unreachable.refused()) {
            context.directory()
                    .find(unreachable.target())
                    .ifPresent(target -> paths.connectFailed(target, PathCheck.Cause.REPORT_FAILED, nowMs, out));
        } else if (event instanceof Event.TargetProbed probed) {
            paths.probed(probed.target(), probed.address(), probed.reachable(), nowMs, out);
        } else if (event instanceof Event.TargetGone gone) {
            context.directory()
                    .find(gone.target())
                    .ifPresent(target -> TargetFailures.targetGone(context, target, nowMs, out));
        } else if (event instanceof Event.TargetResponded responded) {
            context.directory()
                    .find(responded.target())
                    .ifPresent(target -> rateLimitPublisher.responded(target, responded, nowMs, out));
        } else if (event instanceof Event.CacheChanged changed) {
            context.directory().find(changed.target()).ifPresent(target -> target.cache()
                    .changed(changed.changes(), changed.gap()));
        }
    }

    private void versionsChanged(long nowMs, Effects out) {
        online.versionsChanged(nowMs, out);
        streams.sendPendingReplies(nowMs, out);
    }

    private void reported(TargetReport report, long nowMs, Effects out) {
        Optional<TargetState> target = context.directory().find(report.target());
        if (target.isEmpty()) {
            return;
        }
        target.get().reported(report);
        if (report.leaving()) {
            statusPublisher.leaving(target.get(), nowMs, out);
        }
        controller.reported(report, nowMs, out);
    }

    private void commandReceived(RequestId id, Caller caller, CallerCommand command, long nowMs, Effects out) {
        if (command instanceof OnlineRequest request) {
            onlineRequests.requestReceived(id, request, nowMs, out);
        } else if (command instanceof ListQuarantine || command instanceof LiftQuarantine) {
            quarantineCommand(id, caller, command, nowMs, out);
        }
    }

    private void quarantineCommand(RequestId id, Caller caller, CallerCommand command, long nowMs, Effects out) {
        if (caller.scope() != Caller.Scope.OPERATOR) {
            out.reply(id, Refusal.notRun(RefusalCode.FORBIDDEN, "only operators may read or lift the quarantine"));
            return;
        }
        if (command instanceof LiftQuarantine lift) {
            context.suspects().clear(lift.fingerprint(), nowMs, out);
            context.promptParts().lift(lift.fingerprint(), nowMs, out);
        }
        out.reply(
                id,
                new QuarantineListed(
                        context.suspects().quarantine(nowMs),
                        context.promptParts().quarantine()));
    }

    private void receive(HostId from, RoutingMessage message, long nowMs, Effects out) {
        if (message instanceof RoutingMessage.PermitRequested request) {
            controller.permitRequested(from, request, nowMs, out);
        } else if (message instanceof RoutingMessage.PermitGranted granted) {
            if (!batch.suspectAllowed(granted.attempt(), nowMs, out)) {
                online.granted(from, granted, nowMs, out);
            }
        } else if (message instanceof RoutingMessage.PermitQueued queued) {
            online.queued(from, queued, nowMs, out);
        } else if (message instanceof RoutingMessage.PermitRefused refused) {
            if (!batch.suspectRefused(refused.attempt(), nowMs, out)) {
                online.refused(refused, nowMs, out);
            }
        } else if (message instanceof RoutingMessage.PermitReleased released) {
            controller.released(released, nowMs, out);
        } else if (message instanceof RoutingMessage.PermitRevoked revoked) {
            batch.revoked(revoked, nowMs, out);
        } else if (message instanceof RoutingMessage.BatchDemandAdvertised advertised) {
            controller.demandAdvertised(from, advertised, nowMs, out);
        } else if (message instanceof RoutingMessage.BatchGranted granted) {
            batch.granted(from, granted, nowMs, out);
        } else if (message instanceof RoutingMessage.RunningPermits running) {
            controller.runningPermitsReceived(from, running, nowMs, out);
        } else if (message instanceof RoutingMessage.StreamBegun begun) {
            streams.received(begun, nowMs);
        } else if (message instanceof RoutingMessage.StreamVersionRequested request) {
            streams.requested(from, request, nowMs, out);
        } else if (message instanceof RoutingMessage.StreamVersionReply reply) {
            online.streamVersionReplied(from, reply, nowMs, out);
        } else if (message instanceof RoutingMessage.ReachabilityRequested request) {
            paths.requested(from, request, nowMs, out);
        } else if (message instanceof RoutingMessage.ReachabilityReply reply) {
            paths.replied(from, reply, nowMs, out);
        }
    }

    private void factReceived(Fact fact, long nowMs, Effects out) {
        String key = fact.key();
        String name = key.substring(key.indexOf('/') + 1);
        if (key.startsWith(SuspectRegistry.DEATH_PREFIX) || key.startsWith(SuspectRegistry.CLEARED_PREFIX)) {
            context.suspects().factReceived(fact, nowMs, out);
            return;
        }
        if (key.startsWith(PromptPartRegistry.CRASH_PREFIX) || key.startsWith(PromptPartRegistry.STATE_PREFIX)) {
            context.promptParts().factReceived(fact, nowMs, out);
            return;
        }
        Optional<TargetState> target =
                Names.isName(name) ? context.directory().find(new TargetId(name)) : Optional.empty();
        if (target.isEmpty()) {
            return;
        }
        if (key.startsWith(OccupancyPublisher.KEY_PREFIX)) {
            OccupancyPublisher.occupancyOf(fact)
                    .ifPresent(occupancy -> target.get().occupancyReceived(occupancy, nowMs));
        } else if (key.startsWith(TargetStatusPublisher.LEAVING_PREFIX)) {
            TargetStatusPublisher.leavingReceived(target.get(), fact, nowMs, out);
        } else if (key.startsWith(RateLimitPublisher.KEY_PREFIX)) {
            if (RateLimitPublisher.factReceived(target.get(), fact, nowMs, out)) {
                controller.rateLimitChanged(target.get().id(), nowMs, out);
            }
        } else if (key.startsWith(TargetStatusPublisher.DOWN_PREFIX)) {
            downReceived(target.get(), fact, nowMs, out);
        }
    }

    /** Ejects a target that a daemon found to be down, and checks that if this daemon has heard from it lately. */
    private void downReceived(TargetState target, Fact fact, long nowMs, Effects out) {
        if (target.health().ejectAsTold(nowMs)) {
            out.explain(Subject.Kind.TARGET, target.id(), nowMs, "ejected", "found to be down by another daemon");
        }
        if (statusPublisher.refutable(fact) && target.path().contactSince(nowMs - RECENT_CONTACT_MS)) {
            paths.toldDown(target, nowMs, out);
        } else {
            context.suspects().targetDown(target.id(), nowMs, out);
        }
    }

    private void settingsChanged(long nowMs, Effects out) {
        controller.refresh(List.of(), nowMs, out);
        deliverToSelf(nowMs, out);
    }

    private void applyMembershipChange(long nowMs, Effects out) {
        long membershipVersion = membership.version();
        long directoryVersion = context.directory().version();
        if (membershipVersion == seenMembershipVersion && directoryVersion == seenDirectoryVersion) {
            return;
        }
        seenMembershipVersion = membershipVersion;
        seenDirectoryVersion = directoryVersion;
        paths.targetsChanged(nowMs, out);
        controller.assignTargets(nowMs, out);
        controller.refresh(controller.holders().stream().filter(this::lost).toList(), nowMs, out);
        online.controllersChanged(nowMs, out);
        batch.controllersChanged();
        permitAdvertiser.advertiseToNewControllers(nowMs, out);
        batch.refresh(true, nowMs, out);
        online.pathsChanged(nowMs, out);
    }

    private boolean lost(HostId holder) {
        Optional<Member> member = membership.find(holder);
        return !holder.equals(context.identity().host())
                && (member.isEmpty() || member.get().state() == MemberState.DEAD);
    }

    private void deliverToSelf(long nowMs, Effects out) {
        context.peers().deliver((from, message) -> receive(from, message, nowMs, out));
    }

    /** Returns the address of a target; empty if it is not in the directory. */
    public Optional<String> targetAddress(TargetId target) {
        return context.directory().find(target).map(TargetState::address);
    }

    @Override
    public void route(RoutedRequest request, RouteListener listener, long nowMs, Effects out) {
        online.route(request, listener, nowMs, out);
        deliverToSelf(nowMs, out);
    }

    @Override
    public void cancel(RequestId request, long nowMs, Effects out) {
        online.cancel(request, nowMs, out);
        deliverToSelf(nowMs, out);
    }

    @Override
    public void setDemand(BatchDemand demand, long nowMs, Effects out) {
        batch.setDemand(demand, nowMs, out);
        deliverToSelf(nowMs, out);
    }

    @Override
    public void run(BatchPermit permit, BatchWork work, long nowMs, Effects out) {
        batch.run(permit, work, nowMs, out);
        deliverToSelf(nowMs, out);
    }

    @Override
    public void releaseUnused(BatchPermit permit, long nowMs, Effects out) {
        batch.releaseUnused(permit, nowMs, out);
        deliverToSelf(nowMs, out);
    }

    @Override
    public void cancel(BatchPermit permit, long nowMs, Effects out) {
        batch.cancel(permit, nowMs, out);
        deliverToSelf(nowMs, out);
    }

    @Override
    public void subscribe(BatchCapacityListener listener) {
        batch.subscribe(listener);
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        dump.write(writer, nowMs);
    }
}
