package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TimerKey;

/**
 * Finds out whether a target is down or only this daemon cannot reach it, and which daemon relays connections then.
 *
 * <p>A target counts as down only if this daemon cannot connect to it and neither can another one that reaches other
 * targets. If another one can connect, it relays this daemon's connections until this daemon reaches the target again.
 * While this daemon has lost targets and heard from none itself since, all its attempts are relayed. Each check ends
 * after a bounded number of rounds. Not thread-safe: confined to the daemon's event loop.
 */
final class PathMonitor {

    static final TimerKey TIMER = new TimerKey(RoutingStateMachine.NAME, "paths");

    /** How long peers have to reply, in ms: a failed attempt to connect and a round trip between regions. */
    private static final long REPLY_TIMEOUT_MS = 350;

    /** How long a daemon that has just reached other targets is waited for alone, in ms. */
    private static final long RELAY_REPLY_TIMEOUT_MS = 100;

    /** How long the result of this daemon's own attempt to connect is waited for, in ms. */
    private static final long PROBE_TIMEOUT_MS = 1_000;

    private static final int MAX_ROUNDS = 3;

    /** For how many targets other daemons are asked at once. */
    private static final int MAX_ASKING = 16;

    /** About how many silent targets a relay is asked at once. */
    private static final int MAX_RELAY_CHECKS = 4;

    /** The number of targets under check at once that makes this daemon doubt its own network. */
    private static final int DOUBTFUL_CHECKS = 2;

    /** How long a target must have sent nothing to this daemon to be checked for its silence on one attempt, in ms. */
    private static final long SILENCE_MS = 300;

    /** The minimum time between two checks of a target because of its silence, in ms. */
    private static final long SILENCE_CHECK_INTERVAL_MS = 1_000;

    /** The interval at which this daemon tries to reach relayed targets itself, in ms. */
    private static final long RESTORE_INTERVAL_MS = 250;

    /** How long this daemon must have heard from no target to doubt that it reaches any, in ms. */
    private static final long ISOLATION_MS = 500;

    /** The number of further targets that must not be reached either for this daemon to refuse requests at once. */
    private static final int ISOLATION_PROBES = 3;

    /** The retry delay for callers that another daemon may serve, in ms. */
    private static final long ELSEWHERE_RETRY_MS = 100;

    private static final long DEFAULT_RETRY_MS = 1_000;

    private static final int RESTORE_PROBES = 3;
    private static final int RESTORE_PROBES_AFTER_SUCCESS = 64;

    private final TargetDirectory directory;
    private final PeerLink peers;
    private final RelaySelector relays;
    private final MetricRegistry metrics;
    private final DueQueue<Due> due = new DueQueue<>(TIMER);
    private final Map<TargetId, PathCheck> checks = new TreeMap<>();
    private final Map<TargetId, List<PeerInquiry>> inquiries = new HashMap<>();
    private final Map<RelayedTarget, Long> relayChecks = new HashMap<>();
    private final Set<RelayedTarget> waitingRelayChecks = new LinkedHashSet<>();
    private final Map<AttemptId, SilentAttempt> silent = new LinkedHashMap<>();
    private final Map<TargetId, Probe> probing = new HashMap<>();
    private final Set<TargetId> isolationProbes = new TreeSet<>();
    private PathListener listener;
    private long lastNumber;
    private long lastContactAtMs = Long.MIN_VALUE;
    private long lostAtMs = Long.MIN_VALUE;
    private long isolatedAtMs = Long.MIN_VALUE;
    private long isolationCheckedAtMs = Long.MIN_VALUE;
    private boolean anyoneReplied;
    private boolean restoring;

    PathMonitor(TargetDirectory directory, PeerLink peers, RelaySelector relays, MetricRegistry metrics) {
        this.directory = directory;
        this.peers = peers;
        this.relays = relays;
        this.metrics = metrics;
    }

    void subscribe(PathListener newListener) {
        listener = newListener;
    }

    /** Returns whether this daemon has lost its way to targets and has reached none itself since. */
    boolean disconnected() {
        return lostAtMs > lastContactAtMs;
    }

    /** Returns whether new attempts to the target are relayed. */
    boolean relayed(TargetState target) {
        return target.path().state() == TargetPath.State.RELAYED || disconnected();
    }

    /** Returns whether the way to the target, or to all targets, has failed at the given time or later. */
    boolean failedSince(TargetState target, long sinceMs) {
        return target.path().failedSince(sinceMs) || lostAtMs >= sinceMs || isolatedAtMs >= sinceMs;
    }

    /** Returns whether neither this daemon nor any that it asked reaches a target. */
    boolean isolated() {
        return isolatedAtMs > lastContactAtMs;
    }

    /** Returns whether other targets are being tried as neither this daemon nor any that it asked reaches one. */
    private boolean mayBeIsolated() {
        return !isolationProbes.isEmpty();
    }

    /** Returns how soon a request that finds no target may find one, in ms: at once if other daemons have not replied. */
    long retryAfterMs() {
        return isolated() && !anyoneReplied ? ELSEWHERE_RETRY_MS : DEFAULT_RETRY_MS;
    }

    /** Returns whether new attempts can be sent to the target now. */
    boolean usable(TargetState target, long nowMs) {
        if (isolated() || mayBeIsolated() || target.path().state() == TargetPath.State.CHECKING) {
            return false;
        }
        if (!relayed(target)) {
            return !doubtful();
        }
        return hasRelay(target, nowMs)
                || checks.isEmpty() && relays.select(target, nowMs).isPresent();
    }

    /** Returns whether a daemon relays to the target that has taken all new connections lately. */
    private boolean hasRelay(TargetState target, long nowMs) {
        return relays.select(target, nowMs)
                .filter(relay -> !relays.avoids(relay, nowMs))
                .isPresent();
    }

    /** Returns whether a check may make the target usable soon. */
    boolean mayBecomeUsable(TargetState target) {
        return !isolated()
                && (mayBeIsolated()
                        || target.path().state() == TargetPath.State.CHECKING
                        || relayed(target) && !checks.isEmpty()
                        || !disconnected() && doubtful());
    }

    /** Returns whether it is not known yet if lost connections to the target mean that it is down. */
    boolean lossUnexplained(TargetId target) {
        PathCheck check = checks.get(target);
        return check != null && check.has(PathCheck.Cause.CONNECTION_LOST)
                || directory
                        .find(target)
                        .filter(state -> state.path().lossesUnexplained())
                        .isPresent();
    }

    /** Returns the daemon that relays new attempts to the target, empty if this daemon connects to it itself. */
    Optional<HostId> relayFor(TargetState target, long nowMs) {
        return relayed(target) ? relays.select(target, nowMs) : Optional.empty();
    }

    /** Returns whether several targets have become unreachable at once and none has been heard from since. */
    private boolean doubtful() {
        if (checks.size() < DOUBTFUL_CHECKS) {
            return false;
        }
        int pending = 0;
        long sinceMs = Long.MAX_VALUE;
        for (PathCheck check : checks.values()) {
            if (check.asksPeers()) {
                pending++;
                sinceMs = Math.min(sinceMs, check.startedAtMs());
            }
        }
        return pending >= DOUBTFUL_CHECKS && lastContactAtMs < sinceMs;
    }

    /** Records that a target has sent something to this daemon itself. */
    void contact(TargetState target, long nowMs) {
        target.path().contact(nowMs);
        lastContactAtMs = Math.max(lastContactAtMs, nowMs);
    }

    /** Checks a target to which this daemon has failed to connect. */
    void connectFailed(TargetState failed, PathCheck.Cause cause, long nowMs, Effects out) {
        TargetState target = listed(failed);
        if (replaced(failed)) {
            doubted(failed, cause, nowMs, out);
        } else if (!relayed(target)) {
            PathCheck check = check(target, cause, nowMs);
            if (!check.asksPeers()) {
                askPeers(target, check, nowMs, out);
            }
        }
    }

    /** Checks a target that may be down, by connecting to it first. */
    void doubted(TargetState doubted, PathCheck.Cause cause, long nowMs, Effects out) {
        TargetState target = listed(doubted);
        if (relayed(target) || replaced(doubted) && cause == PathCheck.Cause.UNRESPONSIVE) {
            return;
        }
        boolean pending = checks.containsKey(target.id());
        check(target, cause, nowMs);
        if (!pending) {
            probe(target, nowMs, out);
        }
    }

    /** Returns whether another incarnation of the target is listed. */
    private boolean replaced(TargetState target) {
        return listed(target).incarnation() != target.incarnation();
    }

    /** Returns the listed state of a target, whose entry may have lapsed and come back, or else the given one. */
    private TargetState listed(TargetState target) {
        return directory.find(target.id()).orElse(target);
    }

    private PathCheck check(TargetState target, PathCheck.Cause cause, long nowMs) {
        PathCheck check = checks.computeIfAbsent(target.id(), id -> {
            count("paths-checked");
            return new PathCheck(target, ++lastNumber, cause, relayed(target), nowMs);
        });
        check.add(cause);
        return check;
    }

    private void probe(TargetState target, long nowMs, Effects out) {
        Probe pending = probing.get(target.id());
        if (pending != null && pending.address().equals(target.address())) {
            return;
        }
        Probe probe = new Probe(target.address(), ++lastNumber);
        probing.put(target.id(), probe);
        out.add(new Effect.ProbeTarget(target.id(), target.address()));
        due.put(new Due.ProbeTimeout(target.id(), probe), nowMs + PROBE_TIMEOUT_MS, out);
    }

    private void askPeers(TargetState target, PathCheck check, long nowMs, Effects out) {
        target.path().checking(nowMs);
        check.needsPeers();
        if (check.waitsForOthers() && asking() >= MAX_ASKING) {
            return;
        }
        Optional<HostId> relay = check.waitsForOthers() ? relays.provenRelay(target, nowMs) : Optional.empty();
        if (relay.isPresent()) {
            check.askRelay(relay.get());
            ask(target, check, Set.of(relay.get()), RELAY_REPLY_TIMEOUT_MS, nowMs, out);
            return;
        }
        Set<HostId> selected =
                check.rounds() < MAX_ROUNDS ? relays.selectPeers(check.asked(), nowMs) : Set.<HostId>of();
        if (selected.isEmpty()) {
            conclude(target, check, check.unreachable(), nowMs, out);
            return;
        }
        check.beginRound(selected);
        ask(target, check, selected, REPLY_TIMEOUT_MS, nowMs, out);
    }

    private void ask(TargetState target, PathCheck check, Set<HostId> hosts, long timeoutMs, long nowMs, Effects out) {
        RoutingMessage request = new RoutingMessage.ReachabilityRequested(check.number(), target.id());
        hosts.forEach(host -> peers.send(host, request, out));
        due.put(new Due.CheckTimeout(target.id(), check.number()), nowMs + timeoutMs, out);
    }

    private long asking() {
        return checks.values().stream()
                .filter(check -> !check.asked().isEmpty())
                .count();
    }

    /** Goes on with the checks that wait for others, whose results may decide them as well. */
    private void continueWaiting(long nowMs, Effects out) {
        List<PathCheck> waiting = checks.values().stream()
                .filter(PathCheck::waitsForOthers)
                .sorted(Comparator.comparingLong(PathCheck::number))
                .toList();
        long free = MAX_ASKING - asking();
        for (PathCheck check : waiting) {
            if (disconnected() && !check.relayedBefore()) {
                concludeDisconnected(check, nowMs, out);
            } else if (isolated()) {
                PathCheck.Unreachable result =
                        anyoneReplied ? PathCheck.Unreachable.BY_ALL : PathCheck.Unreachable.NO_REPLY;
                conclude(check.target(), check, result, nowMs, out);
            } else if (replacesRelay(check, nowMs)) {
                concludeReplaced(check, nowMs, out);
            } else if (free-- > 0) {
                askPeers(check.target(), check, nowMs, out);
            }
        }
    }

    /** Ends a check that nobody has been asked about, as this daemon reaches no target itself. */
    private void concludeDisconnected(PathCheck check, long nowMs, Effects out) {
        TargetState target = check.target();
        checks.remove(target.id());
        target.path().direct();
        count("paths-lost");
        explain(target, nowMs, "relayed", check, "no target is reached", out);
        if (check.has(PathCheck.Cause.CONNECTION_LOST)) {
            listener.lossesExplained(target, false, nowMs, out);
        }
        listener.relayed(target, nowMs, out);
    }

    /** Returns whether another relay can be used without asking, as no lost connection has to be explained. */
    private boolean replacesRelay(PathCheck check, long nowMs) {
        return check.relayedBefore()
                && !check.has(PathCheck.Cause.CONNECTION_LOST)
                && relays.provenRelay(check.target(), nowMs).isPresent();
    }

    /** Ends a check that nobody has been asked about, as another relay has just reached other targets. */
    private void concludeReplaced(PathCheck check, long nowMs, Effects out) {
        TargetState target = check.target();
        checks.remove(target.id());
        useRelay(target, nowMs, out);
        explain(target, nowMs, "relayed", check, "another relay reaches other targets", out);
        listener.relayed(target, nowMs, out);
    }

    /** Ends a check whose target nobody reaches. */
    private void conclude(TargetState target, PathCheck check, PathCheck.Unreachable result, long nowMs, Effects out) {
        checks.remove(target.id());
        target.path().includeAllRelays();
        if (check.relayedBefore() || disconnected()) {
            useRelay(target, nowMs, out);
        } else {
            target.path().direct();
        }
        if (result != PathCheck.Unreachable.DOWN && lastContactAtMs < nowMs - ISOLATION_MS) {
            anyoneReplied = result == PathCheck.Unreachable.BY_ALL;
            checkIsolation(target, nowMs, out);
            scheduleRestore(nowMs, out);
        }
        explain(target, nowMs, "unreachable, " + result, check, "asked " + check.asked(), out);
        listener.unreachable(target, check.causes(), result, nowMs, out);
    }

    /** Tries other targets, unless this daemon is isolated already: the one may be down, and the daemon have been idle. */
    private void checkIsolation(TargetState unreachable, long nowMs, Effects out) {
        if (isolated() || mayBeIsolated()) {
            return;
        }
        List<TargetState> others = directory.all().stream()
                .filter(target -> target != unreachable)
                .sorted(Comparator.comparing(
                                (TargetState target) -> target.health().ejected(nowMs))
                        .thenComparing(target -> checks.containsKey(target.id()))
                        .thenComparing(target -> target.path().contactAtMs(), Comparator.reverseOrder()))
                .limit(ISOLATION_PROBES)
                .toList();
        isolationCheckedAtMs = nowMs;
        if (others.isEmpty()) {
            isolate(unreachable.id(), nowMs, out);
        }
        others.forEach(target -> {
            isolationProbes.add(target.id());
            probe(target, nowMs, out);
        });
    }

    private void isolationProbed(TargetId target, long nowMs, Effects out) {
        if (!isolationProbes.remove(target)) {
            return;
        }
        if (lastContactAtMs >= isolationCheckedAtMs) {
            isolationProbes.clear();
        } else if (isolationProbes.isEmpty()) {
            isolate(target, nowMs, out);
        }
        if (isolationProbes.isEmpty()) {
            listener.isolationChecked(nowMs, out);
        }
    }

    private void isolate(TargetId lastTried, long nowMs, Effects out) {
        isolatedAtMs = nowMs;
        out.explain(Subject.Kind.TARGET, lastTried, nowMs, "isolated", "no target that was tried is reached");
    }

    private void concludeReachable(TargetState target, PathCheck check, long nowMs, Effects out) {
        checks.remove(target.id());
        if (check.relayedBefore()) {
            restored(target, nowMs, out);
            if (check.lostThrough().isPresent()) {
                listener.relayReplaced(target, nowMs, out);
            } else {
                listener.relayed(target, nowMs, out);
            }
            return;
        }
        target.path().direct();
        if (check.asksPeers() && check.has(PathCheck.Cause.CONNECTION_LOST)) {
            listener.lossesExplained(target, true, nowMs, out);
        }
        listener.reachable(target, check.causes(), nowMs, out);
    }

    private void concludeRelayed(TargetState target, PathCheck check, HostId relay, long nowMs, Effects out) {
        checks.remove(target.id());
        useRelay(target, nowMs, out);
        isolatedAtMs = Long.MIN_VALUE;
        isolationProbes.clear();
        if (check.relayedBefore()) {
            if (check.lostThrough().filter(lost -> !lost.equals(relay)).isPresent()) {
                listener.relayReplaced(target, nowMs, out);
            } else {
                listener.reachable(target, check.causes(), nowMs, out);
            }
            return;
        }
        if (lastContactAtMs < check.startedAtMs()) {
            boolean newlyLost = !disconnected();
            lostAtMs = nowMs;
            if (newlyLost) {
                probeLost(RESTORE_PROBES, nowMs, out);
            }
        }
        count("paths-lost");
        String reason = relay + " reaches it" + (disconnected() ? "; no other target is reached either" : "");
        explain(target, nowMs, "reached through other daemons", check, reason, out);
        abandonSilent(out);
        if (check.has(PathCheck.Cause.CONNECTION_LOST)) {
            target.path().explainLosses();
            probe(target, nowMs, out);
        }
        listener.relayed(target, nowMs, out);
    }

    private void useRelay(TargetState target, long nowMs, Effects out) {
        target.path().relayed();
        scheduleRestore(nowMs, out);
    }

    /**
     * Decides what the lost connections to a target mean that another daemon reaches: if this daemon reaches it as well by
     * now, the target was down for a moment.
     */
    private void explainLosses(TargetState target, boolean reachable, long nowMs, Effects out) {
        if (target.path().takeUnexplainedLosses()) {
            listener.lossesExplained(target, reachable, nowMs, out);
        }
    }

    private void explain(TargetState target, long nowMs, String decision, PathCheck check, String reason, Effects out) {
        long ageMs = nowMs - check.startedAtMs();
        out.explain(
                Subject.Kind.TARGET, target.id(), nowMs, decision, check.causes() + " " + ageMs + " ms ago; " + reason);
        out.add(new Effect.StateChanged(RoutingStateMachine.NAME, "target " + target.id() + " " + decision));
    }

    /** Handles the end of this daemon's own attempt to connect to a target, which may have got another address since. */
    void probed(TargetId id, String address, boolean reachable, long nowMs, Effects out) {
        Probe pending = probing.get(id);
        if (pending != null && pending.address().equals(address)) {
            probing.remove(id);
            due.remove(new Due.ProbeTimeout(id, pending));
        }
        Optional<TargetState> found = directory.find(id);
        if (found.isPresent() && !found.get().address().equals(address)) {
            probe(found.get(), nowMs, out);
            return;
        }
        replyToPeers(id, reachable, nowMs, out);
        if (reachable && found.isPresent()) {
            contact(found.get(), nowMs);
        }
        isolationProbed(id, nowMs, out);
        if (found.isEmpty()) {
            checks.remove(id);
            return;
        }
        TargetState target = found.get();
        explainLosses(target, reachable, nowMs, out);
        PathCheck check = checks.get(id);
        if (check != null && reachable) {
            concludeReachable(target, check, nowMs, out);
        } else if (check != null && !check.asksPeers()) {
            if (check.causes().equals(EnumSet.of(PathCheck.Cause.TOLD_DOWN))) {
                checks.remove(id);
                listener.toldDownConfirmed(target, nowMs, out);
            } else {
                askPeers(target, check, nowMs, out);
            }
        } else if (check == null && reachable && target.path().state() == TargetPath.State.RELAYED) {
            restored(target, nowMs, out);
            listener.relayed(target, nowMs, out);
        }
        continueWaiting(nowMs, out);
    }

    private void restored(TargetState target, long nowMs, Effects out) {
        target.path().direct();
        count("paths-restored");
        out.explain(Subject.Kind.TARGET, target.id(), nowMs, "reached directly again", "connecting succeeded");
        probeLost(RESTORE_PROBES_AFTER_SUCCESS, nowMs, out);
    }

    /** Checks a target on behalf of another daemon. */
    void requested(HostId from, RoutingMessage.ReachabilityRequested request, long nowMs, Effects out) {
        Optional<TargetState> target = directory.find(request.target());
        if (target.isEmpty()) {
            reply(from, request.number(), request.target(), RoutingMessage.Reachability.UNSURE, out);
            return;
        }
        await(target.get(), new PeerInquiry(from, request.number(), request.target(), false), nowMs, out);
    }

    /**
     * Replies to the daemons that asked for a target. If this daemon does not reach it, it first tries another target, as
     * it may have lost its own way to all of them, and then the target once more, as it may have got it back meanwhile.
     */
    private void replyToPeers(TargetId probed, boolean reachable, long nowMs, Effects out) {
        List<PeerInquiry> waiting = inquiries.remove(probed);
        if (waiting == null) {
            return;
        }
        for (PeerInquiry inquiry : waiting) {
            boolean control = !inquiry.target().equals(probed);
            if (reachable && !control) {
                reply(inquiry, RoutingMessage.Reachability.REACHABLE, out);
            } else if (control ? !reachable : inquiry.controlled()) {
                reply(
                        inquiry,
                        control ? RoutingMessage.Reachability.UNSURE : RoutingMessage.Reachability.UNREACHABLE,
                        out);
            } else {
                Optional<TargetState> next = control ? directory.find(inquiry.target()) : controlTarget(probed, nowMs);
                if (next.isEmpty()) {
                    reply(inquiry, RoutingMessage.Reachability.UNSURE, out);
                } else {
                    await(next.get(), control ? inquiry.withControl() : inquiry, nowMs, out);
                }
            }
        }
    }

    private void await(TargetState target, PeerInquiry inquiry, long nowMs, Effects out) {
        inquiries.computeIfAbsent(target.id(), id -> new ArrayList<>()).add(inquiry);
        probe(target, nowMs, out);
    }

    /** Returns a target that this daemon has heard from lately, to find out whether it reaches any. */
    private Optional<TargetState> controlTarget(TargetId except, long nowMs) {
        return directory.all().stream()
                .filter(target -> !target.id().equals(except)
                        && !target.health().ejected(nowMs)
                        && target.path().state() == TargetPath.State.DIRECT)
                .max(Comparator.comparingLong(target -> target.path().contactAtMs()));
    }

    private void reply(PeerInquiry inquiry, RoutingMessage.Reachability reachability, Effects out) {
        reply(inquiry.from(), inquiry.number(), inquiry.target(), reachability, out);
    }

    private void reply(HostId to, long number, TargetId target, RoutingMessage.Reachability reachability, Effects out) {
        peers.send(to, new RoutingMessage.ReachabilityReply(number, target, reachability), out);
    }

    void replied(HostId from, RoutingMessage.ReachabilityReply reply, long nowMs, Effects out) {
        boolean reachable = reply.reachability() == RoutingMessage.Reachability.REACHABLE;
        Optional<TargetState> target = directory.find(reply.target());
        if (reachable) {
            relays.reaches(from, nowMs);
        }
        if (relayChecks.remove(new RelayedTarget(from, reply.target()), reply.number())) {
            sendRelayChecks(from, nowMs, out);
            if (!reachable && target.isPresent()) {
                relayLostTarget(target.get(), from, nowMs, out);
                return;
            }
        }
        PathCheck check = checks.get(reply.target());
        if (target.isEmpty() || check == null || check.number() != reply.number()) {
            return;
        }
        if (reachable) {
            target.get().path().includeRelay(from);
            concludeRelayed(target.get(), check, from, nowMs, out);
            continueWaiting(nowMs, out);
            return;
        }
        target.get().path().excludeRelay(from);
        boolean down = reply.reachability() == RoutingMessage.Reachability.UNREACHABLE;
        if (check.notReached(from, down)) {
            roundEnded(target.get(), check, nowMs, out);
            continueWaiting(nowMs, out);
        }
    }

    /** Ends the silent attempts through a relay that no longer reaches their target. */
    private void relayLostTarget(TargetState target, HostId relay, long nowMs, Effects out) {
        target.path().excludeRelay(relay);
        silent.forEach((attempt, state) -> {
            if (listed(state.target()) == target && state.relay().equals(Optional.of(relay))) {
                out.add(new Effect.AbandonAttempt(attempt));
            }
        });
        recheck(target, Optional.empty(), PathCheck.Cause.CONNECT_FAILED, nowMs, out);
    }

    private void roundEnded(TargetState target, PathCheck check, long nowMs, Effects out) {
        if (check.unreachable() == PathCheck.Unreachable.DOWN && !check.asksRelayOnly()) {
            conclude(target, check, PathCheck.Unreachable.DOWN, nowMs, out);
        } else {
            askPeers(target, check, nowMs, out);
        }
    }

    /** Checks a target that another daemon has found to be down. */
    void toldDown(TargetState target, long nowMs, Effects out) {
        if (!checks.containsKey(target.id())) {
            doubted(target, PathCheck.Cause.TOLD_DOWN, nowMs, out);
        }
    }

    /** Handles the failure of an attempt that another daemon was to relay. */
    void relayFailed(TargetState target, HostId relay, FailureKind kind, long nowMs, Effects out) {
        if (kind == FailureKind.RELAY_FAILED) {
            count("relays-failed");
            relays.avoid(relay, nowMs);
        } else {
            target.path().excludeRelay(relay);
        }
        if (relayed(target) && (kind == FailureKind.PATH_LOST || !hasRelay(target, nowMs))) {
            recheck(target, Optional.empty(), PathCheck.Cause.CONNECT_FAILED, nowMs, out);
        }
    }

    /** Checks a target to which a relay has lost a connection. */
    void lostThroughRelay(TargetState target, HostId relay, long nowMs, Effects out) {
        if (relayed(target)) {
            recheck(target, Optional.of(relay), PathCheck.Cause.CONNECTION_LOST, nowMs, out);
        } else {
            doubted(target, PathCheck.Cause.CONNECTION_LOST, nowMs, out);
        }
    }

    private void recheck(
            TargetState target, Optional<HostId> lostThrough, PathCheck.Cause cause, long nowMs, Effects out) {
        PathCheck check = check(target, cause, nowMs);
        lostThrough.ifPresent(check::lostThrough);
        if (!check.asksPeers()) {
            probe(target, nowMs, out);
            askPeers(target, check, nowMs, out);
        }
    }

    /** Handles the silence of a target on an attempt that may be made again elsewhere. */
    void attemptSilent(AttemptId attempt, TargetState used, Optional<HostId> relay, long nowMs, Effects out) {
        TargetState target = listed(used);
        silent.put(attempt, new SilentAttempt(used, relay));
        if (replaced(used)) {
            out.add(new Effect.AbandonAttempt(attempt));
        } else if (relay.isPresent()) {
            checkRelay(attempt, target, relay.get(), nowMs, out);
        } else if (relayed(target)) {
            out.add(new Effect.AbandonAttempt(attempt));
        } else if (!target.path().contactSince(nowMs - SILENCE_MS)
                && nowMs - target.path().silenceCheckedAtMs() >= SILENCE_CHECK_INTERVAL_MS) {
            target.path().silenceChecked(nowMs);
            doubted(target, PathCheck.Cause.SILENT, nowMs, out);
        }
    }

    private void checkRelay(AttemptId attempt, TargetState target, HostId relay, long nowMs, Effects out) {
        RelayedTarget checked = new RelayedTarget(relay, target.id());
        if (relays.hasFailed(relay, nowMs)) {
            out.add(new Effect.AbandonAttempt(attempt));
        } else if (!relayChecks.containsKey(checked)) {
            waitingRelayChecks.add(checked);
            sendRelayChecks(relay, nowMs, out);
        }
    }

    /** Asks a relay about the next silent targets, as far as it has replied about those before. */
    private void sendRelayChecks(HostId relay, long nowMs, Effects out) {
        long pending = relayChecks.keySet().stream()
                .filter(checked -> checked.relay().equals(relay))
                .count();
        Iterator<RelayedTarget> waiting = waitingRelayChecks.iterator();
        while (pending < MAX_RELAY_CHECKS && waiting.hasNext()) {
            RelayedTarget next = waiting.next();
            if (!next.relay().equals(relay)) {
                continue;
            }
            waiting.remove();
            if (silentThrough(next)) {
                pending++;
                long number = ++lastNumber;
                relayChecks.put(next, number);
                peers.send(relay, new RoutingMessage.ReachabilityRequested(number, next.target()), out);
                due.put(new Due.RelayTimeout(next, number), nowMs + REPLY_TIMEOUT_MS, out);
            }
        }
    }

    private boolean silentThrough(RelayedTarget checked) {
        return silent.values().stream()
                .anyMatch(state -> state.relay().equals(Optional.of(checked.relay()))
                        && state.target().id().equals(checked.target()));
    }

    void attemptEnded(AttemptId attempt) {
        silent.remove(attempt);
    }

    private void abandonSilent(Effects out) {
        silent.forEach((attempt, state) -> {
            if (state.relay().isEmpty() && relayed(listed(state.target()))) {
                out.add(new Effect.AbandonAttempt(attempt));
            }
        });
    }

    void timerDue(long nowMs, Effects out) {
        for (Due entry : due.takeDue(nowMs, out)) {
            if (entry instanceof Due.CheckTimeout timeout) {
                checkTimedOut(timeout, nowMs, out);
            } else if (entry instanceof Due.RelayTimeout timeout) {
                relayTimedOut(timeout, nowMs, out);
            } else if (entry instanceof Due.ProbeTimeout timeout) {
                probeTimedOut(timeout, nowMs, out);
            } else {
                restore(nowMs, out);
            }
        }
        continueWaiting(nowMs, out);
    }

    private void checkTimedOut(Due.CheckTimeout timeout, long nowMs, Effects out) {
        PathCheck check = checks.get(timeout.target());
        Optional<TargetState> target = directory.find(timeout.target());
        if (check == null || check.number() != timeout.number()) {
            return;
        }
        if (target.isEmpty()) {
            checks.remove(timeout.target());
        } else {
            roundEnded(target.get(), check, nowMs, out);
        }
    }

    /** Goes on without the result of a probe, which says nothing about the target to other daemons. */
    private void probeTimedOut(Due.ProbeTimeout timeout, long nowMs, Effects out) {
        TargetId target = timeout.target();
        if (!timeout.probe().equals(probing.get(target))) {
            return;
        }
        out.explain(Subject.Kind.TARGET, target, nowMs, "counts as not reached", "no result of the probe");
        List<PeerInquiry> waiting = inquiries.remove(target);
        if (waiting != null) {
            waiting.forEach(inquiry -> reply(inquiry, RoutingMessage.Reachability.UNSURE, out));
        }
        probed(target, timeout.probe().address(), false, nowMs, out);
    }

    private void relayTimedOut(Due.RelayTimeout timeout, long nowMs, Effects out) {
        if (!relayChecks.remove(timeout.checked(), timeout.number())) {
            return;
        }
        HostId relay = timeout.checked().relay();
        count("relays-failed");
        relays.failed(relay, nowMs);
        waitingRelayChecks.removeIf(checked -> checked.relay().equals(relay));
        silent.forEach((attempt, state) -> {
            if (state.relay().equals(Optional.of(relay))) {
                out.add(new Effect.AbandonAttempt(attempt));
            }
        });
    }

    private void scheduleRestore(long nowMs, Effects out) {
        if (!restoring) {
            restoring = true;
            due.put(new Due.Restore(), nowMs + RESTORE_INTERVAL_MS, out);
        }
    }

    /** Tries to reach some of the relayed targets, and finds new relays if there is none. */
    private void restore(long nowMs, Effects out) {
        restoring = false;
        relays.forgetExpired(nowMs);
        List<TargetState> lost = lostTargets();
        if (lost.isEmpty()) {
            return;
        }
        scheduleRestore(nowMs, out);
        probeLost(RESTORE_PROBES, nowMs, out);
        lost.stream()
                .filter(target -> !checks.containsKey(target.id()) && (isolated() || !hasRelay(target, nowMs)))
                .findFirst()
                .ifPresent(target -> {
                    target.path().includeAllRelays();
                    recheck(target, Optional.empty(), PathCheck.Cause.CONNECT_FAILED, nowMs, out);
                });
    }

    private void probeLost(int limit, long nowMs, Effects out) {
        lostTargets().stream().limit(limit).forEach(target -> {
            target.path().probed(nowMs);
            probe(target, nowMs, out);
        });
    }

    /** Returns the targets that this daemon does not reach itself, the one first that was tried the longest time ago. */
    private List<TargetState> lostTargets() {
        return directory.all().stream()
                .filter(target -> isolated() || disconnected() || target.path().state() == TargetPath.State.RELAYED)
                .sorted(Comparator.comparingLong(target -> target.path().probedAtMs()))
                .toList();
    }

    /** Forgets what is known about targets that are gone, and ends the silent attempts on those that were replaced. */
    void targetsChanged(long nowMs, Effects out) {
        Set<TargetId> listed = directory.ids();
        checks.values().removeIf(check -> !directory.lists(check.target()));
        silent.values().removeIf(state -> !listed.contains(state.target().id()));
        silent.forEach((attempt, state) -> {
            if (replaced(state.target())) {
                out.add(new Effect.AbandonAttempt(attempt));
            }
        });
        continueWaiting(nowMs, out);
    }

    private void count(String name) {
        metrics.counter(RoutingStateMachine.NAME + "." + name).inc();
    }

    Optional<Location> locationOf(HostId relay) {
        return relays.locationOf(relay);
    }

    Set<HostId> relays() {
        return relays.relays();
    }

    /** A check that another daemon has asked for; it waits for the probe of that target, or of a control target. */
    private record PeerInquiry(HostId from, long number, TargetId target, boolean controlled) {

        /** Returns the inquiry after a control target has been reached. */
        PeerInquiry withControl() {
            return new PeerInquiry(from, number, target, true);
        }
    }

    /** An attempt whose target has sent nothing for some time, empty relay if this daemon is connected to it itself. */
    private record SilentAttempt(TargetState target, Optional<HostId> relay) {}

    /** A target as it is reached through a daemon. */
    private record RelayedTarget(HostId relay, TargetId target) {}

    /** This daemon's own attempt to connect to a target. */
    private record Probe(String address, long number) {}

    /** What is due at some time. */
    private sealed interface Due {

        record CheckTimeout(TargetId target, long number) implements Due {}

        record RelayTimeout(RelayedTarget checked, long number) implements Due {}

        record ProbeTimeout(TargetId target, Probe probe) implements Due {}

        record Restore() implements Due {}
    }

    /** Is notified of the results of checks. */
    interface PathListener {

        /** This daemon reaches the target after all. */
        void reachable(TargetState target, EnumSet<PathCheck.Cause> causes, long nowMs, Effects out);

        /** Another daemon has found the target to be down, and this one does not reach it either. */
        void toldDownConfirmed(TargetState target, long nowMs, Effects out);

        /** The way to the target has changed: another daemon relays now, or no longer. */
        void relayed(TargetState target, long nowMs, Effects out);

        /** A relay has lost its connections to the target, and another one or this daemon reaches it. */
        void relayReplaced(TargetState target, long nowMs, Effects out);

        /**
         * The cause of lost connections to a target is known: the target was down for a moment, or this daemon has lost
         * its way to it.
         */
        void lossesExplained(TargetState target, boolean wasDown, long nowMs, Effects out);

        /** It is known whether this daemon reaches any of the targets that it has tried. */
        void isolationChecked(long nowMs, Effects out);

        /** Neither this daemon nor any that was asked reaches the target. */
        void unreachable(
                TargetState target,
                EnumSet<PathCheck.Cause> causes,
                PathCheck.Unreachable result,
                long nowMs,
                Effects out);
    }
}
