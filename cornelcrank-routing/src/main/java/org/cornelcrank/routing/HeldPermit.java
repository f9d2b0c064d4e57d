package org.cornelcrank.routing;

import java.util.Optional;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.Urgency;

/**
 * A permit that a controller has granted and that has not been released.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class HeldPermit {

    static final long NOT_REVOKED = -1;

    private final AttemptId attempt;
    private final HostId holder;
    private final ServiceName service;
    private final Urgency urgency;
    private final Optional<RoutingMessage.BatchOwner> owner;
    private final long grantedAtMs;
    private boolean suspect;
    private long revokedAtMs = NOT_REVOKED;

    HeldPermit(RoutingMessage.RunningPermit permit, HostId holder, long nowMs) {
        this.attempt = permit.attempt();
        this.holder = holder;
        this.service = permit.service();
        this.urgency = permit.urgency();
        this.owner = permit.owner();
        this.grantedAtMs = nowMs - permit.ageMs();
        this.suspect = permit.suspect();
    }

    AttemptId attempt() {
        return attempt;
    }

    HostId holder() {
        return holder;
    }

    ServiceName service() {
        return service;
    }

    Urgency urgency() {
        return urgency;
    }

    Optional<RoutingMessage.BatchOwner> owner() {
        return owner;
    }

    long grantedAtMs() {
        return grantedAtMs;
    }

    boolean suspect() {
        return suspect;
    }

    void markSuspect() {
        suspect = true;
    }

    boolean batch() {
        return owner.isPresent();
    }

    boolean revoked() {
        return revokedAtMs != NOT_REVOKED;
    }

    long revokedAtMs() {
        return revokedAtMs;
    }

    void revoke(long nowMs) {
        revokedAtMs = nowMs;
    }
}
