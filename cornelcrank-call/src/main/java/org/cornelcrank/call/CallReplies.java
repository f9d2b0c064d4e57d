package org.cornelcrank.call;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;

/** Sends an owner's replies back to the daemon that forwarded the call, which may be the owner itself. */
interface CallReplies {

    void reply(HostId origin, ForwardedCommand command, CallerReply reply, long nowMs, Effects out);

    /** States that this daemon does not own the partition; {@code untouched} if it has done nothing for the call. */
    void decline(HostId origin, ForwardedCommand command, boolean untouched, long nowMs, Effects out);

    /** States that this daemon no longer owns the partition, but completes the call. */
    void hold(HostId origin, ForwardedCommand command, Effects out);
}
