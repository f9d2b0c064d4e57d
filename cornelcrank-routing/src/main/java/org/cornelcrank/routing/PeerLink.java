package org.cornelcrank.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;

/**
 * Sends messages about permits; those to this daemon itself are queued until the current step has ended.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class PeerLink {

    private final HostId self;
    private final Deque<RoutingMessage> toSelf = new ArrayDeque<>();
    private final Set<TargetId> touched = new TreeSet<>();
    private boolean delivering;

    PeerLink(HostId self) {
        this.self = self;
    }

    void send(HostId to, RoutingMessage message, Effects out) {
        if (message instanceof RoutingMessage.PermitRequested request) {
            touched.add(request.target());
        } else if (message instanceof RoutingMessage.PermitReleased released) {
            touched.add(released.target());
        }
        if (to.equals(self)) {
            toSelf.add(message);
        } else {
            out.send(to, message);
        }
    }

    /** Returns the targets for which permits were requested or released since the last call. */
    Set<TargetId> takeTouched() {
        Set<TargetId> taken = new TreeSet<>(touched);
        touched.clear();
        return taken;
    }

    /**
     * Delivers the messages queued for this daemon, including those sent while they are handled; does nothing while a
     * delivery is already in progress.
     */
    void deliver(Receiver receiver) {
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            while (!toSelf.isEmpty()) {
                receiver.received(self, toSelf.remove());
            }
        } finally {
            delivering = false;
        }
    }

    /** Handles one message. */
    interface Receiver {
        void received(HostId from, RoutingMessage message);
    }
}
