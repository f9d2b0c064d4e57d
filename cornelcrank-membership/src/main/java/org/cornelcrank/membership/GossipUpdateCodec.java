package org.cornelcrank.membership;

import java.util.List;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.membership.wire.WireFact;
import org.cornelcrank.membership.wire.WireMember;
import org.cornelcrank.membership.wire.WireNews;

/**
 * Encodes and decodes the members and facts that messages carry.
 *
 * <p>Stateless, thus thread-safe.
 */
final class GossipUpdateCodec {

    private static final List<MemberState> STATES =
            List.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD);

    private GossipUpdateCodec() {}

    static WireNews encode(GossipUpdates updates) {
        WireNews.Builder wire = WireNews.newBuilder();
        updates.members().forEach(member -> wire.addMembers(encode(member)));
        updates.facts().forEach(fact -> wire.addFacts(encode(fact)));
        return wire.build();
    }

    static GossipUpdates decode(WireNews wire) {
        return new GossipUpdates(
                wire.getMembersList().stream().map(GossipUpdateCodec::decode).toList(),
                wire.getFactsList().stream().map(GossipUpdateCodec::decode).toList());
    }

    static WireMember encode(Member member) {
        return WireMember.newBuilder()
                .setHost(member.host().value())
                .setRegion(member.location().region().value())
                .setDataCentre(member.location().dataCentre().value())
                .setAddress(member.address())
                .setIncarnation(member.incarnation())
                .setState(encode(member.state()))
                .build();
    }

    static Member decode(WireMember wire) {
        Location location = new Location(new RegionId(wire.getRegion()), new DataCentreId(wire.getDataCentre()));
        return new Member(
                new HostId(wire.getHost()),
                location,
                wire.getAddress(),
                wire.getIncarnation(),
                decodeState(wire.getState()));
    }

    static int encode(MemberState state) {
        return STATES.indexOf(state);
    }

    static MemberState decodeState(int number) {
        if (number < 0 || number >= STATES.size()) {
            throw new IllegalArgumentException("unknown member state " + number);
        }
        return STATES.get(number);
    }

    private static WireFact encode(Fact fact) {
        return WireFact.newBuilder()
                .setSlice(fact.slice())
                .setKey(fact.key())
                .setVersion(fact.version())
                .setValue(fact.value())
                .setRemainingMs(fact.lifetimeMs())
                .setEverywhere(fact.scope() == Fact.Scope.EVERYWHERE)
                .build();
    }

    private static Fact decode(WireFact wire) {
        Fact.Scope scope = wire.getEverywhere() ? Fact.Scope.EVERYWHERE : Fact.Scope.DATA_CENTRE;
        return new Fact(
                wire.getSlice(), wire.getKey(), wire.getVersion(), wire.getValue(), wire.getRemainingMs(), scope);
    }
}
