package org.cornelcrank.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.PeerMessage;

/**
 * What daemons tell each other about who is alive.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface MembershipMessage extends PeerMessage {

    /** Asks the receiver whether it is alive. */
    record Probe(long number, GossipUpdates updates) implements MembershipMessage {}

    /** Answers a probe of the same number. */
    record ProbeAck(long number, GossipUpdates updates) implements MembershipMessage {}

    /** Asks the receiver to probe the target on the sender's behalf. */
    record IndirectProbe(long number, HostId target, GossipUpdates updates) implements MembershipMessage {}

    /** Spreads recent changes. */
    record Gossip(GossipUpdates updates) implements MembershipMessage {}

    /** Opens an exchange that finds and mends differences between two daemons' tables. */
    record SyncOffer(Member sender, DigestHashes hashes) implements MembershipMessage {}

    /** Lists the versions that the sender has in those parts of its tables that differ. */
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

    /** Gives what the receiver lacks, and asks for what the sender lacks. */
    record SyncDelta(GossipUpdates updates, List<HostId> wantedMembers, List<FactKey> wantedFacts)
            implements MembershipMessage {

        public SyncDelta {
            wantedMembers = List.copyOf(wantedMembers);
            wantedFacts = List.copyOf(wantedFacts);
        }
    }

    /** Carries news between data centres, and how lately each data centre was heard of. */
    record RelaySummary(
            Member sender, GossipUpdates updates, Map<DataCentreId, Long> heartbeatsByDataCentre, DigestHashes hashes)
            implements MembershipMessage {

        public RelaySummary {
            heartbeatsByDataCentre = Map.copyOf(heartbeatsByDataCentre);
        }
    }
}
