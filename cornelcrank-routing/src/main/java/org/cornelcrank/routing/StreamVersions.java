package org.cornelcrank.routing;

import java.util.HashSet;
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
     * Returns the version that began a stream of which no daemon has a record, empty if that is not certain.
     *
     * <p>What this daemon has listed counts only if another daemon has listed the same, or if it has listed all targets
     * of late: it may have stood still, or have been cut off, while targets of another version joined.
     */
    Optional<SoftwareVersion> infer(ServiceName service, VersionInquiry others, long nowMs) {
        Optional<SoftwareVersion> own = services.sole(service, nowMs);
        if (others.mixed() || services.mixed(service, nowMs)) {
            return Optional.empty();
        }
        Set<SoftwareVersion> versions = new HashSet<>(others.sole());
        own.ifPresent(versions::add);
        boolean confirmed = !others.sole().isEmpty() || services.upToDate(nowMs);
        return confirmed && versions.size() == 1
                ? Optional.of(versions.iterator().next())
                : Optional.empty();
    }

    /** Describes what is known of a stream without a record, and its age, for the log. */
    String describe(ServiceName service, VersionInquiry others, long nowMs) {
        return services.describe(service, nowMs) + "; " + others.describe();
    }

    /** Returns whether what this daemon has listed and the replies so far agree on the version. */
    boolean settled(ServiceName service, VersionInquiry others, long nowMs) {
        return others.settled()
                && services.sole(service, nowMs).filter(others.sole()::contains).isPresent();
    }

    /** Asks the holders of the stream for its version; returns the daemons asked. */
    Set<HostId> ask(long key, ServiceName service, Effects out) {
        Set<HostId> asked = holders.toAsk(key);
        asked.forEach(host -> context.peers().send(host, new RoutingMessage.StreamVersionRequested(key, service), out));
        return asked;
    }

    void requested(HostId from, RoutingMessage.StreamVersionRequested request, long nowMs, Effects out) {
        Optional<SoftwareVersion> sole = services.sole(request.service(), nowMs);
        boolean mixed = services.mixed(request.service(), nowMs);
        RoutingMessage reply =
                new RoutingMessage.StreamVersionReply(request.key(), recorded(request.key()), sole, mixed);
        context.peers().send(from, reply, out);
    }

    void expire(long nowMs) {
        records.values().removeIf(stored -> stored.expiresAtMs() <= nowMs);
    }

    int size() {
        return records.size();
    }

    private record StreamRecord(SoftwareVersion version, long expiresAtMs) {}
}
