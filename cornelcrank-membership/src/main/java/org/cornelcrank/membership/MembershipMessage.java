package org.cornelcrank.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.PeerMessage;

/**
 * The messages of the membership protocol.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface MembershipMessage extends PeerMessage {

    /** Requests an acknowledgement from the receiver, to check that it is alive. */
    record Probe(long number, GossipUpdates updates) implements MembershipMessage {}

    /** Acknowledges the probe with the same number. */
    record ProbeAck(long number, GossipUpdates updates) implements MembershipMessage {}

    /** Requests the receiver to probe the target on the sender's behalf. */
    record IndirectProbe(long number, HostId target, GossipUpdates updates) implements MembershipMessage {}

    /** Carries recent changes. */
    record Gossip(GossipUpdates updates) implements MembershipMessage {}

    /** Starts an exchange that finds and repairs differences between the tables of two daemons. */
    record SyncOffer(Member sender, DigestHashes hashes) implements MembershipMessage {}

    /** Lists the sender's versions in those parts of its tables that differ from the receiver's. */
    record SyncDigest(
            Member sender,
            Set<DataCentreId> dataCentres,
            List<MemberVersion> members,
            boolean everywhereFacts,
            boolean dataCentreFacts,
            List<FactVersion> facts)
            implements MembershipMessage {

        public SyncDigest {
            dataCentres = Set.copyOf(dataCentres);
            members = List.copyOf(members);
            facts = List.copyOf(facts);
        }
    }

    /** Sends entries that the receiver lacks, and requests those that the sender lacks. */
    record SyncDelta(GossipUpdates updates, List<HostId> requestedMembers, List<FactKey> requestedFacts)
            implements MembershipMessage {

        public SyncDelta {
            requestedMembers = List.copyOf(requestedMembers);
            requestedFacts = List.copyOf(requestedFacts);
        }
    }

    /** Carries updates between data centres, with the send time of each data centre's newest heartbeat in ms. */
    record RelaySummary(
            Member sender, GossipUpdates updates, Map<DataCentreId, Long> heartbeatsByDataCentre, DigestHashes hashes)
            implements MembershipMessage {

        public RelaySummary {
            heartbeatsByDataCentre = Map.copyOf(heartbeatsByDataCentre);
        }
    }
}
