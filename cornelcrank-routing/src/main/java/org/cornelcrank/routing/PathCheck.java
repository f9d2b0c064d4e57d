package org.cornelcrank.routing;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcrank.core.HostId;

/**
 * A check of whether a target is down or only this daemon cannot reach it.
 *
 * <p>This daemon tries to connect itself, unless it has just failed to; if it cannot, other daemons are asked in rounds.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class PathCheck {

    private final TargetState target;
    private final long number;
    private final long startedAtMs;
    private final boolean relayedBefore;
    private final EnumSet<Cause> causes;
    private final Set<HostId> asked = new TreeSet<>();
    private final Set<HostId> awaited = new TreeSet<>();
    private Optional<HostId> lostThrough = Optional.empty();
    private Optional<HostId> askedRelay = Optional.empty();
    private boolean asksPeers;
    private int denials;
    private int replies;
    private int rounds;

    PathCheck(TargetState target, long number, Cause cause, boolean relayedBefore, long nowMs) {
        this.relayedBefore = relayedBefore;
        this.target = target;
        this.number = number;
        this.startedAtMs = nowMs;
        this.causes = EnumSet.of(cause);
    }

    TargetState target() {
        return target;
    }

    long number() {
        return number;
    }

    long startedAtMs() {
        return startedAtMs;
    }

    /** Returns whether another daemon already relayed to the target when the check began. */
    boolean relayedBefore() {
        return relayedBefore;
    }

    /** Records the relay through which a connection was lost. */
    void lostThrough(HostId relay) {
        lostThrough = Optional.of(relay);
    }

    Optional<HostId> lostThrough() {
        return lostThrough;
    }

    void add(Cause cause) {
        causes.add(cause);
    }

    boolean has(Cause cause) {
        return causes.contains(cause);
    }

    EnumSet<Cause> causes() {
        return EnumSet.copyOf(causes);
    }

    /** Returns whether other daemons are asked, now or after other checks, as this daemon cannot reach the target. */
    boolean asksPeers() {
        return asksPeers;
    }

    /** Returns whether other daemons have not been asked yet, as they are asked for other targets first. */
    boolean waitsForOthers() {
        return asksPeers && asked.isEmpty();
    }

    Set<HostId> asked() {
        return asked;
    }

    int rounds() {
        return rounds;
    }

    /** Records that other daemons are to be asked. */
    void needsPeers() {
        asksPeers = true;
    }

    /** Records that a daemon that has just reached other targets is asked alone, before any round. */
    void askRelay(HostId relay) {
        askedRelay = Optional.of(relay);
        asked.add(relay);
        awaited.add(relay);
    }

    /** Returns whether only the daemon that has just reached other targets has been asked so far. */
    boolean asksRelayOnly() {
        return askedRelay.isPresent() && rounds == 0;
    }

    void beginRound(Set<HostId> peers) {
        rounds++;
        asked.addAll(peers);
        awaited.clear();
        awaited.addAll(peers);
    }

    /** Records a reply that does not confirm that the target can be reached; returns whether the round is complete. */
    boolean notReached(HostId from, boolean down) {
        denials += down ? 1 : 0;
        replies++;
        awaited.remove(from);
        return awaited.isEmpty();
    }

    /** Returns the result if no daemon that was asked reaches the target. */
    Unreachable unreachable() {
        if (denials > 0) {
            return Unreachable.DOWN;
        }
        return replies > 0 || asked.isEmpty() ? Unreachable.BY_ALL : Unreachable.NO_REPLY;
    }

    /** What is known of a target that nobody reaches. */
    enum Unreachable {
        /** A daemon that reaches other targets cannot reach it. */
        DOWN,
        /** No daemon that replied reaches any target, so that this one may be down or all of them cut off. */
        BY_ALL,
        /** No other daemon has replied. */
        NO_REPLY
    }

    /** Why a target is checked. */
    enum Cause {
        /** A connection could not be established. */
        CONNECT_FAILED,
        /** A connection was lost on which a request was running. */
        CONNECTION_LOST,
        /** A request got no response in time. */
        UNRESPONSIVE,
        /** Nothing has arrived for a request for some time. */
        SILENT,
        /** Another daemon has published that the target is down. */
        TOLD_DOWN,
        /** The target's load could not be queried. */
        REPORT_FAILED
    }
}
