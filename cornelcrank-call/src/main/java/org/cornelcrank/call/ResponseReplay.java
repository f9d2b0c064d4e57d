package org.cornelcrank.call;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.call.wire.CallFinishedRecord;
import org.cornelcrank.call.wire.CallRecord;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;

/**
 * Reads stored responses from the log for repeated requests.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class ResponseReplay {

    private final CallContext context;
    private final PartitionId partition;
    private final SortedMap<Long, PendingRead> pending = new TreeMap<>();

    ResponseReplay(CallContext context, PartitionId partition) {
        this.context = context;
        this.partition = partition;
    }

    void begin(CallKey key, CallGuard guard, HostId origin, ForwardedCommand command, long nowMs, Effects out) {
        long number = context.writer()
                .readBodies(
                        partition,
                        CallRecords.SLICE,
                        List.of(guard.responsePosition().orElseThrow()),
                        nowMs,
                        out);
        pending.put(number, new PendingRead(key, guard.run(), origin, command));
    }

    void bodyRead(long readNumber, Optional<ByteString> payload, long nowMs, Effects out) {
        PendingRead read = pending.remove(readNumber);
        if (read != null) {
            CallerReply reply = payload.<CallerReply>map(body -> reply(read, body))
                    .orElse(CallRefusals.responseNotStored(read.key()));
            context.replies().reply(read.origin(), read.command(), reply, nowMs, out);
        }
    }

    void bodyUnavailable(long readNumber, long nowMs, Effects out) {
        PendingRead read = pending.remove(readNumber);
        if (read != null) {
            context.replies().reply(read.origin(), read.command(), CallRefusals.responseUnreadable(), nowMs, out);
        }
    }

    void ownershipLost(long nowMs, Effects out) {
        List<PendingRead> declined = List.copyOf(pending.values());
        pending.clear();
        declined.forEach(read -> context.replies().decline(read.origin(), read.command(), true, nowMs, out));
    }

    private static CallerReply reply(PendingRead read, ByteString payload) {
        CallFinishedRecord finished;
        try {
            finished = CallRecord.parseFrom(payload).getFinished();
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("payload must be a call record but cannot be parsed", e);
        }
        if (finished.getBodyDropped()) {
            return CallRefusals.responseNotStored(read.key());
        }
        boolean replayed = !read.run().startsWith(read.command().request() + "@");
        return new ServiceResponse(finished.getStatus(), finished.getContentType(), finished.getBody())
                .reply(replayed, read.key().key());
    }

    private record PendingRead(CallKey key, String run, HostId origin, ForwardedCommand command) {}
}
