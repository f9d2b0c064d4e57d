package org.cornelcrank.membership;

import org.cornelcrank.core.Fact;
import org.cornelcrank.core.Member;

/**
 * Bounds the encoded size of what a message carries from above, in bytes, without encoding it.
 *
 * <p>Stateless, thus thread-safe.
 */
final class MessageSizes {

    /** What one datagram may hold, with room left for the envelope below 1,200 bytes. */
    static final int MAX_DATAGRAM_NEWS_BYTES = 1_050;

    /** What one datagram may hold that has to stay cheap, as probes are sent all the time. */
    static final int MAX_PROBE_NEWS_BYTES = 400;

    /** Tags, lengths, incarnation and state of a member at their longest. */
    private static final int MEMBER_OVERHEAD_BYTES = 26;

    /** Tags, lengths, version and lifetime of a fact at their longest. */
    private static final int FACT_OVERHEAD_BYTES = 36;

    private MessageSizes() {}

    static int of(Member member) {
        return MEMBER_OVERHEAD_BYTES
                + member.host().value().length()
                + member.location().region().value().length()
                + member.location().dataCentre().value().length()
                + member.address().length();
    }

    static int of(Fact fact) {
        return FACT_OVERHEAD_BYTES
                + fact.slice().length()
                + fact.key().length()
                + fact.value().size();
    }
}
