package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;

/**
 * Remembers with which version of the targets' software each stream began, at this daemon and at a few others, so that
 * its caller can take it up anywhere.
 *
 * <p>Nothing is recorded for a service whose targets have had a single version for as long as a stream can live, as long
 * as the directory is within reach: whoever has to know the version then finds it in the directory. Holds
 * at most {@link #MAX_RECORDS} records; the oldest is evicted first. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class StreamVersions {

    /** How long a record outlives the deadline of its request, in ms. */
    private static final long GRACE_MS = 2_000;

    private static final int MAX_RECORDS = 32_768;

    /** How long a reply waits for a read of the directory, in ms; the daemon that asked does not wait longer. */
    private static final long MAX_REPLY_DELAY_MS = 1_000;

    private static final int MAX_PENDING_REPLIES = 1_024;

    private final RoutingContext context;
    private final StreamHolders holders;
    private final ServiceVersions services = new ServiceVersions();
    private final Map<Long, StreamRecord> records = new LinkedHashMap<>();
    private final List<PendingReply> pendingReplies = new ArrayList<>();
    private boolean withinReach;

    StreamVersions(RoutingContext context, MembershipView membership) {
        this.context = context;
        this.holders = new StreamHolders(
                membership, context.identity().host(), context.identity().location());
    }

    /** Returns which versions each service has had. */
    ServiceVersions services() {
        return services;
    }

    /** Records that the stream's next events come from the version, here and at its holders. */
    void begun(long key, ServiceName service, SoftwareVersion version, long remainingMs, long nowMs, Effects out) {
        if (services.sole(service, nowMs).isPresent() && services.withinReach(nowMs)) {
            return;
        }
        long lifetimeMs = Math.min(remainingMs, SoftwareVersion.STREAM_LIFETIME_MS) + GRACE_MS;
        record(key, version, lifetimeMs, nowMs);
        for (HostId holder : holders.toTell(key)) {
            context.count("stream-records-sent");
            context.peers().send(holder, new RoutingMessage.StreamBegun(key, version, lifetimeMs), out);
        }
    }

    void received(RoutingMessage.StreamBegun begun, long nowMs) {
        record(begun.key(), begun.version(), begun.lifetimeMs(), nowMs);
    }

    private void record(long key, SoftwareVersion version, long lifetimeMs, long nowMs) {
        records.remove(key);
        records.put(key, new StreamRecord(version, nowMs + lifetimeMs));
        if (records.size() > MAX_RECORDS) {
            records.remove(records.keySet().iterator().next());
        }
    }

    /** Returns the version that began the stream, empty if this daemon has no record of it. */
    Optional<SoftwareVersion> recorded(long key) {
        return Optional.ofNullable(records.get(key)).map(StreamRecord::version);
    }

    /**
     * Returns the services whose open streams have to be recorded, as the directory has just gone out of reach; empty in
     * all other cases.
     */
    Set<ServiceName> noLongerWithinReach(long nowMs) {
        boolean before = withinReach;
        withinReach = services.withinReach(nowMs);
        return before && !withinReach ? services.soleServices(nowMs) : Set.of();
    }

    /**
     * Returns the version that began a stream of which no daemon has a record, empty if that is not proved.
     *
     * <p>Only a read of the directory that began after the caller took the stream up proves that no other version was
     * listed as the stream began. It counts wherever it was made; listings that are older do not, as any number of daemons
     * may be out of step together.
     */
    Optional<SoftwareVersion> proven(ServiceName service, VersionInquiry others, long nowMs) {
        if (!provable(service, others, nowMs)) {
            return Optional.empty();
        }
        Set<SoftwareVersion> versions = new HashSet<>(others.confirmed());
        if (services.confirmedSince(others.sinceMs())) {
            services.sole(service, nowMs).ifPresent(versions::add);
        }
        return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
    }

    /** Returns whether a read of the directory may still prove the version: nobody knows of several. */
    boolean provable(ServiceName service, VersionInquiry others, long nowMs) {
        return !others.mixed() && !services.mixed(service, nowMs);
    }

    /** Describes what is known of a stream without a record, and its age, for the log. */
    String describe(ServiceName service, VersionInquiry others, long nowMs) {
        return services.describe(service, nowMs) + "; " + others.describe();
    }

    /** Returns the daemons that may hold the record of a stream. */
    Set<HostId> holders(long key) {
        return holders.toAsk(key);
    }

    /** Asks daemons for the version of a stream; {@code confirm} makes them read the directory if none has a record. */
    void ask(long key, ServiceName service, Set<HostId> asked, boolean confirm, Effects out) {
        RoutingMessage request = new RoutingMessage.StreamVersionRequested(key, service, confirm);
        asked.forEach(host -> context.peers().send(host, request, out));
    }

    void requested(HostId from, RoutingMessage.StreamVersionRequested request, long nowMs, Effects out) {
        boolean mayConfirm = recorded(request.key()).isEmpty()
                && services.sole(request.service(), nowMs).isPresent();
        if (request.confirm() && mayConfirm && pendingReplies.size() < MAX_PENDING_REPLIES) {
            pendingReplies.add(new PendingReply(from, request, nowMs));
            out.add(new Effect.Raise(new Event.HostListConfirmationRequested()));
        } else {
            reply(from, request, false, nowMs, out);
        }
    }

    /** Sends the replies for which a read of the directory has ended. */
    void sendPendingReplies(long nowMs, Effects out) {
        pendingReplies.removeIf(pending -> {
            boolean ended = services.confirmationEnded(pending.sinceMs());
            if (ended) {
                boolean confirmed = services.confirmedSince(pending.sinceMs())
                        && services.sole(pending.request().service(), nowMs).isPresent();
                reply(pending.from(), pending.request(), confirmed, nowMs, out);
            }
            return ended;
        });
    }

    private void reply(
            HostId to, RoutingMessage.StreamVersionRequested request, boolean confirmed, long nowMs, Effects out) {
        RoutingMessage reply = new RoutingMessage.StreamVersionReply(
                request.key(),
                recorded(request.key()),
                confirmed ? services.sole(request.service(), nowMs) : Optional.empty(),
                services.mixed(request.service(), nowMs),
                request.confirm(),
                confirmed);
        context.peers().send(to, reply, out);
    }

    void expire(long nowMs) {
        records.values().removeIf(stored -> stored.expiresAtMs() <= nowMs);
        pendingReplies.removeIf(pending -> nowMs - pending.sinceMs() > MAX_REPLY_DELAY_MS);
    }

    int size() {
        return records.size();
    }

    private record StreamRecord(SoftwareVersion version, long expiresAtMs) {}

    /** A request whose reply waits for a read of the directory that began at {@code sinceMs} or later. */
    private record PendingReply(HostId from, RoutingMessage.StreamVersionRequested request, long sinceMs) {}
}
