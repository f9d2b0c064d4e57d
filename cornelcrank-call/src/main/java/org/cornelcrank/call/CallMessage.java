package org.cornelcrank.call;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.RequestId;

/**
 * A message between daemons about guarded calls.
 *
 * <p>Immutable, thus thread-safe.
 */
sealed interface CallMessage extends PeerMessage {

    /** Brings a call, which has a key by now, to the likely owner of the key's partition. */
    record Forwarded(ForwardedCommand command) implements CallMessage {}

    /** Answers a call under the identity with which it was sent. */
    record Replied(RequestId request, int send, CallerReply reply) implements CallMessage {}

    /** Tells that the sender does not own the partition; {@code untouched} that it has done nothing for the call. */
    record Declined(RequestId request, int send, boolean untouched) implements CallMessage {}

    /** Tells that the sender no longer owns the partition, but carries the call to its end and answers it. */
    record Held(RequestId request, int send) implements CallMessage {}
}
