package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.RequestId;

/**
 * Message between daemons about file uploads and batch jobs.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface BatchMessage extends PeerMessage {

    /** Forwards a command to the likely owner of a partition. */
    record Forwarded(ForwardedCommand command) implements BatchMessage {}

    /** Carries the reply to a forwarded command, identified by the request, leg and send number of the command. */
    record Replied(RequestId request, int leg, int sendNumber, CallerReply reply) implements BatchMessage {}

    /** States that the sender does not own the partition; {@code untouched} if it has done nothing for the command. */
    record Declined(RequestId request, int leg, int sendNumber, boolean untouched) implements BatchMessage {}
}
