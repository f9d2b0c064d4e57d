package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.partition.DurableRecord;
import org.cornelcrank.partition.PartitionWriter;

/**
 * Tracks one partition's proposals until they are read back, and the commands that are waiting for them.
 *
 * <p>Invariant: a command gets its reply only after its record was read back, and is proposed only once while it is
 * waiting. Not thread-safe: confined to the daemon's event loop.
 */
final class PendingWrites {

    private final PartitionId partition;
    private final PartitionWriter writer;
    private final OwnerReplies replies;
    private final SortedMap<Long, AppliedListener> proposals = new TreeMap<>();
    private final Map<String, Waiter> waiters = new HashMap<>();

    PendingWrites(PartitionId partition, PartitionWriter writer, OwnerReplies replies) {
        this.partition = partition;
        this.writer = writer;
        this.replies = replies;
    }

    /** Returns whether the command is already waiting; if so, its reply goes to the latest send. */
    boolean join(HostId origin, ForwardedCommand command) {
        return waiters.computeIfPresent(key(command), (key, waiter) -> new Waiter(origin, command)) != null;
    }

    /** Proposes a record for a command, and replies to the command once the record was read back. */
    void propose(
            HostId origin,
            ForwardedCommand command,
            DurableRecord record,
            boolean urgent,
            ReplySource reply,
            long nowMs,
            Effects out) {
        String key = key(command);
        waiters.put(key, new Waiter(origin, command));
        propose(record, urgent, (atMs, effects) -> reply(key, reply.reply(atMs, effects), atMs, effects), nowMs, out);
    }

    /** Proposes a record that no command is waiting for. */
    void propose(DurableRecord record, boolean urgent, AppliedListener listener, long nowMs, Effects out) {
        long proposal = writer.propose(partition, record, urgent, nowMs, out);
        proposals.put(proposal, listener);
    }

    void applied(long proposal, long nowMs, Effects out) {
        AppliedListener listener = proposals.remove(proposal);
        if (listener != null) {
            listener.applied(nowMs, out);
        }
    }

    /** Declines the waiting commands; their records may or may not have taken effect. */
    void ownershipLost(long nowMs, Effects out) {
        List<Waiter> declined = new ArrayList<>(new TreeMap<>(waiters).values());
        waiters.clear();
        proposals.clear();
        declined.forEach(waiter -> replies.decline(waiter.origin(), waiter.command(), false, nowMs, out));
    }

    int size() {
        return proposals.size();
    }

    private void reply(String key, CallerReply reply, long nowMs, Effects out) {
        Waiter waiter = waiters.remove(key);
        replies.reply(waiter.origin(), waiter.command(), reply, nowMs, out);
    }

    private static String key(ForwardedCommand command) {
        return command.request() + "#" + command.leg();
    }

    /** Creates the reply to a command after its record was applied to the state. */
    interface ReplySource {
        CallerReply reply(long nowMs, Effects out);
    }

    /** Notified when a record was read back and applied. */
    interface AppliedListener {
        void applied(long nowMs, Effects out);
    }

    private record Waiter(HostId origin, ForwardedCommand command) {}
}
