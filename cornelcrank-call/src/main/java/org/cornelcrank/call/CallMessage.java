package org.cornelcrank.call;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.RequestId;

/**
 * Message between daemons about guarded calls.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface CallMessage extends PeerMessage {

    /** Forwards a call, which always has a key at this point, to the likely owner of the key's partition. */
    record Forwarded(ForwardedCommand command) implements CallMessage {}

    /** Carries the reply to a forwarded call, identified by the request and send number of the command. */
    record Replied(RequestId request, int sendNumber, CallerReply reply) implements CallMessage {}

    /** States that the sender does not own the partition; {@code untouched} if it has done nothing for the call. */
    record Declined(RequestId request, int sendNumber, boolean untouched) implements CallMessage {}

    /** States that the sender no longer owns the partition, but completes the call and will reply to it. */
    record Held(RequestId request, int sendNumber) implements CallMessage {}
}
