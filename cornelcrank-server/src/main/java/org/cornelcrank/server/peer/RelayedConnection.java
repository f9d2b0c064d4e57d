package org.cornelcrank.server.peer;

import io.netty.channel.WriteBufferWaterMark;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.wire.RelayRefused;

/**
 * One connection to a target that this daemon relays for a peer: its place, its log lines and its part in the metrics.
 *
 * <p>Invariant: its place is free once it was refused or has ended, whichever comes first. Not thread-safe: confined to
 * the event loop of the connection.
 */
final class RelayedConnection {

    /** Limits what is buffered in each direction. */
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    /** Maximum number of bytes that are read at once, which may exceed the water mark by as much. */
    static final int MAX_READ_BYTES = 32 * 1024;

    private final RelayedConnections relays;
    private final HostId peer;
    private final String target;
    private final long openedAtMs;
    private long lastByteAtMs;
    private long carriedBytes;
    private long takenBytes;
    private boolean awaitsTarget;
    private boolean ended;

    RelayedConnection(RelayedConnections relays, HostId peer, String target, long openedAtMs) {
        this.relays = relays;
        this.peer = peer;
        this.target = target;
        this.openedAtMs = openedAtMs;
        this.lastByteAtMs = openedAtMs;
    }

    HostId peer() {
        return peer;
    }

    String target() {
        return target;
    }

    long openedAtMs() {
        return openedAtMs;
    }

    long lastByteAtMs() {
        return lastByteAtMs;
    }

    /** Returns for how long nothing was carried, in ms. */
    long idleMs() {
        return relays.nowMs() - lastByteAtMs;
    }

    long carriedBytes() {
        return carriedBytes;
    }

    /** Records that the target is connected. */
    void opened() {
        relays.opened(this);
    }

    /** Returns whether the target has sent nothing since the peer has. */
    boolean awaitsTarget() {
        return awaitsTarget;
    }

    /** Records bytes that were received from the peer. */
    void carriedToTarget(int bytes) {
        awaitsTarget = true;
        carried(bytes);
    }

    /** Records bytes that the connection to the target has taken. */
    void takenByTarget(int bytes) {
        takenBytes += bytes;
    }

    /** Returns how many bytes from the peer the connection to the target has taken. */
    long takenBytes() {
        return takenBytes;
    }

    /** Records bytes that were received from the target. */
    void carriedToPeer(int bytes) {
        awaitsTarget = false;
        carried(bytes);
    }

    private void carried(int bytes) {
        carriedBytes += bytes;
        lastByteAtMs = relays.carried(bytes);
    }

    /** Frees the place of a connection that is not relayed. */
    void refuse(RelayRefused.Reason reason) {
        if (!ended) {
            ended = true;
            relays.refused(this, reason);
        }
    }

    /** Frees the place; only the first reason counts. */
    void end(String reason) {
        if (!ended) {
            ended = true;
            relays.ended(this, reason);
        }
    }
}
