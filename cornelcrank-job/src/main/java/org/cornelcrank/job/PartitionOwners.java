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
 * Who owns which partition as far as this daemon has been told, and how it tells the others what it owns.
 *
 * <p>An owner is told under its epoch, so that a later one wins; what is told is a hint, and only the store decides. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class PartitionOwners {

    private static final String OWNER_FACT = "owner/";

    /** How long others believe who owns a partition, in ms; told anew after a third of it. */
    private static final long LIFETIME_MS = 60_000;

    private final HostId self;
    private final Dissemination dissemination;
    private final Listener listener;
    private final Map<Integer, Owner> owners = new HashMap<>();
    private long learned;

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
        Owner known = owners.get(partition);
        if (known != null && known.version > fact.version()) {
            return;
        }
        HostId owner = new HostId(host);
        owners.put(partition, new Owner(owner, fact.version(), ++learned, false));
        if (!owner.equals(self)) {
            listener.ownerTold(partition, owner, fact.version(), nowMs, out);
        }
    }

    /** Tells the others that this daemon owns a partition. */
    void tell(OwnedPartition partition, long nowMs, Effects out) {
        partition.toldOwnerAtMs(nowMs);
        Fact fact = new Fact(
                JobStateMachine.NAME,
                OWNER_FACT + partition.number(),
                partition.version(),
                ByteString.copyFromUtf8(self.value()),
                LIFETIME_MS,
                Fact.Scope.EVERYWHERE);
        dissemination.publish(fact, nowMs, out);
    }

    /** Tells the others anew before they forget. */
    void tellAgain(Iterable<OwnedPartition> owned, long nowMs, Effects out) {
        for (OwnedPartition partition : owned) {
            if (partition.ready() && nowMs - partition.toldOwnerAtMs() > LIFETIME_MS / 3) {
                tell(partition, nowMs, out);
            }
        }
    }

    /** Returns the other daemon that owns a partition, empty if none is known. */
    Optional<HostId> ownerOf(int partition) {
        return Optional.ofNullable(owners.get(partition))
                .filter(owner -> !owner.failed && !owner.host.equals(self))
                .map(Owner::host);
    }

    /** Notes that a daemon did not answer, or not as an owner; it is believed again once it tells so anew. */
    void failed(int partition, HostId host) {
        owners.computeIfPresent(
                partition,
                (number, owner) ->
                        owner.host.equals(host) ? new Owner(host, owner.version, owner.learned, true) : owner);
    }

    /** Returns another daemon that reaches the store in all likelihood: the partition's owner, or who became one last. */
    Optional<HostId> reachingStore(int partition, Set<HostId> excluded) {
        Optional<HostId> owner = ownerOf(partition).filter(host -> !excluded.contains(host));
        if (owner.isPresent()) {
            return owner;
        }
        return owners.values().stream()
                .filter(each -> !each.host.equals(self) && !excluded.contains(each.host))
                .max(Comparator.comparing((Owner each) -> !each.failed).thenComparingLong(Owner::learned))
                .map(Owner::host);
    }

    /** Is told of other owners. */
    interface Listener {

        /** Another daemon says that it owns a partition. */
        void ownerTold(int partition, HostId owner, long version, long nowMs, Effects out);
    }

    private record Owner(HostId host, long version, long learned, boolean failed) {}
}
