package org.cornelcrank.job;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Names;

/**
 * Tracks the published owners of partitions, and publishes which partitions this daemon owns.
 *
 * <p>Ownership is published under the owner's epoch, so that a later owner wins. It is only a hint: the store decides
 * who owns a partition. A host that has not replied in time stays the owner, as silence says nothing about ownership.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class PartitionOwners {

    private static final String OWNER_FACT = "owner/";

    /** How long published ownership is valid, in ms; it is published again after a third of this time. */
    private static final long FACT_LIFETIME_MS = 60_000;

    private final HostId self;
    private final Dissemination dissemination;
    private final Listener listener;
    private final Map<Integer, Owner> owners = new HashMap<>();
    private long lastOrder;

    PartitionOwners(HostId self, Dissemination dissemination, Listener listener) {
        this.self = Objects.requireNonNull(self, "self must not be null");
        this.dissemination = Objects.requireNonNull(dissemination, "dissemination must not be null");
        this.listener = Objects.requireNonNull(listener, "listener must not be null");
        dissemination.subscribe(JobStateMachine.NAME, this::factReceived);
    }

    private void factReceived(Fact fact, long nowMs, Effects out) {
        String host = fact.value().toStringUtf8();
        if (!fact.key().startsWith(OWNER_FACT) || !Names.isName(host)) {
            return;
        }
        int partition = Integer.parseInt(fact.key().substring(OWNER_FACT.length()));
        Owner current = owners.get(partition);
        if (current != null && current.version > fact.version()) {
            return;
        }
        HostId owner = new HostId(host);
        owners.put(partition, new Owner(owner, fact.version(), ++lastOrder, Reply.IN_TIME));
        if (!owner.equals(self)) {
            listener.ownerPublished(partition, owner, fact.version(), nowMs, out);
        }
    }

    /** Publishes that this daemon owns a partition. */
    void publish(OwnedPartition partition, long nowMs, Effects out) {
        partition.ownershipPublishedAtMs(nowMs);
        Fact fact = new Fact(
                JobStateMachine.NAME,
                OWNER_FACT + partition.number(),
                partition.version(),
                ByteString.copyFromUtf8(self.value()),
                FACT_LIFETIME_MS,
                Fact.Scope.EVERYWHERE);
        dissemination.publish(fact, nowMs, out);
    }

    /** Publishes ownership again before it expires. */
    void republish(Iterable<OwnedPartition> owned, long nowMs, Effects out) {
        for (OwnedPartition partition : owned) {
            if (partition.ready() && nowMs - partition.ownershipPublishedAtMs() > FACT_LIFETIME_MS / 3) {
                publish(partition, nowMs, out);
            }
        }
    }

    /** Returns the peer that owns a partition, empty if there is none or it has replied that it is not the owner. */
    Optional<HostId> ownerOf(int partition) {
        return Optional.ofNullable(owners.get(partition))
                .filter(owner -> owner.lastReply != Reply.NOT_OWNER && !owner.host.equals(self))
                .map(Owner::host);
    }

    /** Returns the highest version under which a daemon has published that it owns a partition, 0 if none has. */
    long version(int partition) {
        Owner owner = owners.get(partition);
        return owner == null ? 0 : owner.version;
    }

    /** Returns whether the owner of a partition has let a request wait too long and has not replied since. */
    boolean isLate(int partition) {
        Owner owner = owners.get(partition);
        return owner != null && owner.lastReply == Reply.LATE;
    }

    /**
     * Records that a daemon has replied that it is not the owner, which holds until it publishes its ownership again.
     *
     * @param askedAtVersion the published {@link #version} when the daemon was asked
     * @return whether the reply holds: the daemon has not published its ownership since it was asked
     */
    boolean notOwner(int partition, HostId host, long askedAtVersion) {
        Owner owner = owners.get(partition);
        if (owner != null && owner.host.equals(host) && owner.version > askedAtVersion) {
            return false;
        }
        recordReply(partition, host, Reply.NOT_OWNER);
        return true;
    }

    /** Records that a daemon did not reply in time, which holds until it replies. */
    void late(int partition, HostId host) {
        recordReply(partition, host, Reply.LATE);
    }

    private void recordReply(int partition, HostId host, Reply reply) {
        owners.computeIfPresent(
                partition, (number, owner) -> owner.host.equals(host) ? owner.withLastReply(reply) : owner);
    }

    /** Records that a daemon has replied, late or not, so that it is waited for again. */
    void replied(HostId host) {
        owners.replaceAll((partition, owner) ->
                owner.host.equals(host) && owner.lastReply == Reply.LATE ? owner.withLastReply(Reply.IN_TIME) : owner);
    }

    /** Returns a peer that probably reaches the store: the partition's owner, or else the most recent owner of any. */
    Optional<HostId> peerReachingStore(int partition, Set<HostId> excluded) {
        Optional<HostId> owner = ownerOf(partition).filter(host -> !excluded.contains(host) && !isLate(partition));
        if (owner.isPresent()) {
            return owner;
        }
        return owners.values().stream()
                .filter(candidate -> !candidate.host.equals(self) && !excluded.contains(candidate.host))
                .max(Comparator.comparing((Owner candidate) -> candidate.lastReply == Reply.IN_TIME)
                        .thenComparingLong(Owner::order))
                .map(Owner::host);
    }

    /** Is notified of the ownership of peers. */
    interface Listener {

        /** A peer has published that it owns a partition. */
        void ownerPublished(int partition, HostId owner, long version, long nowMs, Effects out);
    }

    /** The last reply of an owner. */
    private enum Reply {
        IN_TIME,
        LATE,
        NOT_OWNER
    }

    private record Owner(HostId host, long version, long order, Reply lastReply) {

        Owner withLastReply(Reply reply) {
            return new Owner(host, version, order, reply);
        }
    }
}
