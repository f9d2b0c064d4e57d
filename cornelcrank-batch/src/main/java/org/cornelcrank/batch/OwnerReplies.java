package org.cornelcrank.batch;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;

/** Sends an owner's replies back to the daemon that forwarded the command, which may be the owner itself. */
interface OwnerReplies {

    void reply(HostId origin, ForwardedCommand command, CallerReply reply, long nowMs, Effects out);

    /** States that this daemon does not own the partition; {@code untouched} if it has done nothing for the command. */
    void decline(HostId origin, ForwardedCommand command, boolean untouched, long nowMs, Effects out);
}
