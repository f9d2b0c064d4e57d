package org.cornelcrank.membership;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.StateWriter;

/**
 * Writes the membership section of a state dump.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class MembershipDump {

    private final MemberRegistry registry;
    private final FactTable facts;
    private final RelayExchange relays;

    MembershipDump(MemberRegistry registry, FactTable facts, RelayExchange relays) {
        this.registry = registry;
        this.facts = facts;
        this.relays = relays;
    }

    void write(StateWriter writer, long nowMs) {
        writer.table("members", "host", "region", "dataCentre", "address", "incarnation", "state", "changedAgoMs");
        for (Member member : registry.allEntries()) {
            writer.row(
                    member.host(),
                    member.location().region(),
                    member.location().dataCentre(),
                    member.address(),
                    member.incarnation(),
                    member.state(),
                    nowMs - registry.changedAtMs(member.host()));
        }
        writer.table("dataCentres", "dataCentre", "unreachable", "relays");
        for (DataCentreId dataCentre : registry.dataCentres()) {
            writer.row(dataCentre, registry.isUnreachable(dataCentre), relays.relaysOf(dataCentre));
        }
        writer.table("facts", "slice", "key", "version", "valueBytes", "lapsesInMs", "scope");
        for (Fact fact : facts.all(nowMs)) {
            writer.row(fact.slice(), fact.key(), fact.version(), fact.value().size(), fact.lifetimeMs(), fact.scope());
        }
        writer.field("relay", relays.isRelay());
        writer.field("facts", facts.size());
    }
}
