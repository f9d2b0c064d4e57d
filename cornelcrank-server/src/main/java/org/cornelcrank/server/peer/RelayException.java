package org.cornelcrank.server.peer;

import java.io.IOException;

/** The failure of a connection that a peer relays. */
public final class RelayException extends IOException {

    private static final long serialVersionUID = 1L;

    /** What has failed. */
    public enum Cause {
        /** The peer is unreachable, refuses to relay, or does not know how to. */
        RELAY_FAILED,
        /** The peer cannot reach the target, or does not know it. */
        TARGET_UNREACHABLE,
        /** The connection to the peer was lost, so that bytes of the target may be missing. */
        PEER_LOST,
        /** The target has reset its connection, or closed it before it had taken all bytes, or the peer has lost it. */
        TARGET_RESET
    }

    private final Cause failed;

    RelayException(Cause failed, String message) {
        super(message);
        this.failed = failed;
    }

    /** Returns what has failed. */
    public Cause failed() {
        return failed;
    }
}
