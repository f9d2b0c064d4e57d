package org.cornelcrank.membership;

import org.cornelcrank.core.Fact;
import org.cornelcrank.core.Member;

/**
 * Computes upper bounds of encoded sizes, in bytes, without encoding.
 *
 * <p>Stateless, thus thread-safe.
 */
final class MessageSizes {

    /** The maximum size of the updates in one datagram, which leaves room for the envelope within 1,200 bytes. */
    static final int MAX_DATAGRAM_UPDATES_BYTES = 1_050;

    /** The maximum size of the updates in one probe; small because probes are sent continuously. */
    static final int MAX_PROBE_UPDATES_BYTES = 400;

    /** The maximum size of the tags, lengths, incarnation and state of a member. */
    private static final int MEMBER_OVERHEAD_BYTES = 26;

    /** The maximum size of the tags, lengths, version and lifetime of a fact. */
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
