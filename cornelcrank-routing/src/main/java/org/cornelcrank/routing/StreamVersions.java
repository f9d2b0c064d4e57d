package org.cornelcrank.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;

/**
 * Remembers with which version of the targets' software each stream began, at this daemon and at a few others, so that
 * its caller can take it up anywhere.
 *
 * <p>Nothing is recorded for a service whose targets have had a single version for as long as a stream can live. Holds
 * at most {@link #MAX_RECORDS} records; the oldest is evicted first. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class StreamVersions {

    /** How long a record outlives the deadline of its request, in ms. */
    private static final long GRACE_MS = 2_000;

    private static final int MAX_RECORDS = 32_768;

    private final RoutingContext context;
    private final StreamHolders holders;
    private final ServiceVersions services = new ServiceVersions();
    private final Map<Long, StreamRecord> records = new LinkedHashMap<>();

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
        if (services.sole(service, nowMs).isPresent()) {
            return;
        }
        long lifetimeMs = Math.min(remainingMs, ServiceVersions.STREAM_LIFETIME_MS) + GRACE_MS;
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

    /** Returns the version that began the stream as far as this daemon knows for sure. */
    Optional<SoftwareVersion> find(long key, ServiceName service, long nowMs) {
        return recorded(key).or(() -> services.sole(service, nowMs));
    }

    private Optional<SoftwareVersion> recorded(long key) {
        return Optional.ofNullable(records.get(key)).map(StreamRecord::version);
    }

    /**
     * Returns the version that probably began a stream of which no daemon has a record.
     *
     * @param mixedElsewhere whether another daemon has listed several versions of late
     */
    Optional<SoftwareVersion> infer(ServiceName service, boolean mixedElsewhere, long nowMs) {
        if (!mixedElsewhere && !services.mixed(service, nowMs)) {
            return services.current(service);
        }
        return services.soleUntilRecently(service, nowMs);
    }

    /** Asks the holders of the stream for its version; returns the daemons asked. */
    Set<HostId> ask(long key, ServiceName service, Effects out) {
        Set<HostId> asked = holders.toAsk(key);
        asked.forEach(host -> context.peers().send(host, new RoutingMessage.StreamVersionRequested(key, service), out));
        return asked;
    }

    void requested(HostId from, RoutingMessage.StreamVersionRequested request, long nowMs, Effects out) {
        boolean mixed = services.mixed(request.service(), nowMs);
        context.peers()
                .send(from, new RoutingMessage.StreamVersionReply(request.key(), recorded(request.key()), mixed), out);
    }

    void expire(long nowMs) {
        records.values().removeIf(stored -> stored.expiresAtMs() <= nowMs);
    }

    int size() {
        return records.size();
    }

    private record StreamRecord(SoftwareVersion version, long expiresAtMs) {}
}
