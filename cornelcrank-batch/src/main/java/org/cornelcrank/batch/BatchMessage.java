package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.RequestId;

/**
 * A message between daemons about batch jobs.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface BatchMessage extends PeerMessage {

    /** Brings a command to the likely owner of a partition. */
    record Forwarded(ForwardedCommand command) implements BatchMessage {}

    /** Answers a command under the identity with which it was sent. */
    record Replied(RequestId request, int leg, int send, CallerReply reply) implements BatchMessage {}

    /** Tells that the sender does not own the partition; {@code untouched} that it has done nothing for the command. */
    record Declined(RequestId request, int leg, int send, boolean untouched) implements BatchMessage {}
}
