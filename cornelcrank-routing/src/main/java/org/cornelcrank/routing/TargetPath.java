package org.cornelcrank.routing;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcrank.core.HostId;

/**
 * How this daemon reaches one target.
 *
 * <p>A property of the pair of daemon and target: a target that this daemon cannot reach may well serve others. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class TargetPath {

    private static final long NONE_SELECTED = -1;

    private final Set<HostId> unusableRelays = new TreeSet<>();
    private Optional<HostId> selectedRelay = Optional.empty();
    private long selectedVersion = NONE_SELECTED;
    private State state = State.DIRECT;
    private long contactAtMs = Long.MIN_VALUE;
    private long failedAtMs = Long.MIN_VALUE;
    private long silenceCheckedAtMs;
    private long probedAtMs;
    private boolean lossesUnexplained;

    State state() {
        return state;
    }

    void direct() {
        state = State.DIRECT;
        includeAllRelays();
    }

    void checking(long nowMs) {
        state = State.CHECKING;
        failedAtMs = nowMs;
    }

    /** Returns whether the way to the target, or that of its relay, has failed at the given time or later. */
    boolean failedSince(long sinceMs) {
        return failedAtMs >= sinceMs;
    }

    void relayed() {
        state = State.RELAYED;
    }

    /** Records that the target sent something to this daemon itself. */
    void contact(long nowMs) {
        contactAtMs = nowMs;
    }

    long contactAtMs() {
        return contactAtMs;
    }

    /** Returns whether the target has sent something to this daemon itself at the given time or later. */
    boolean contactSince(long sinceMs) {
        return contactAtMs >= sinceMs;
    }

    /** Records that a daemon cannot reach the target, and so cannot relay to it. */
    void excludeRelay(HostId relay) {
        unusableRelays.add(relay);
        selectedVersion = NONE_SELECTED;
    }

    void includeRelay(HostId relay) {
        unusableRelays.remove(relay);
        selectedVersion = NONE_SELECTED;
    }

    /** Forgets which daemons cannot reach the target, for example because the target itself was down. */
    void includeAllRelays() {
        unusableRelays.clear();
        selectedVersion = NONE_SELECTED;
    }

    /** Returns the relay selected under a version of the known relays, empty if there is no selection under it. */
    Optional<Optional<HostId>> relay(long version) {
        return version == selectedVersion ? Optional.of(selectedRelay) : Optional.empty();
    }

    void relaySelected(Optional<HostId> relay, long version) {
        selectedRelay = relay;
        selectedVersion = version;
    }

    boolean excludes(HostId relay) {
        return unusableRelays.contains(relay);
    }

    long silenceCheckedAtMs() {
        return silenceCheckedAtMs;
    }

    void silenceChecked(long nowMs) {
        silenceCheckedAtMs = nowMs;
    }

    /** Records that the cause of lost connections is not known until this daemon has tried to connect again. */
    void explainLosses() {
        lossesUnexplained = true;
    }

    boolean lossesUnexplained() {
        return lossesUnexplained;
    }

    boolean takeUnexplainedLosses() {
        boolean taken = lossesUnexplained;
        lossesUnexplained = false;
        return taken;
    }

    /** Returns when this daemon last tried to reach the target itself again. */
    long probedAtMs() {
        return probedAtMs;
    }

    void probed(long nowMs) {
        probedAtMs = nowMs;
    }

    /** The ways to a target. */
    enum State {
        /** This daemon connects to the target itself. */
        DIRECT,
        /** This daemon has failed to reach the target, and other daemons are asked whether they can. */
        CHECKING,
        /** Another daemon relays the connections. */
        RELAYED
    }
}
