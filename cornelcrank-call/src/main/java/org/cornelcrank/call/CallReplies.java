package org.cornelcrank.call;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;

/** Takes an owner's answers back to the daemon that forwarded the call, which may be the owner itself. */
interface CallReplies {

    void answer(HostId origin, ForwardedCommand command, CallerReply reply, long nowMs, Effects out);

    /** Tells that this daemon does not own the partition; {@code untouched} that it has done nothing for the call. */
    void decline(HostId origin, ForwardedCommand command, boolean untouched, long nowMs, Effects out);

    /** Tells that this daemon no longer owns the partition, but carries the call to its end. */
    void hold(HostId origin, ForwardedCommand command, Effects out);
}
