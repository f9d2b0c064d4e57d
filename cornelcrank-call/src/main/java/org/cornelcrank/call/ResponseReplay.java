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
 * Reads kept answers from the log for those who ask again.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class ResponseReplay {

    private final CallContext context;
    private final PartitionId partition;
    private final SortedMap<Long, Pending> pending = new TreeMap<>();

    ResponseReplay(CallContext context, PartitionId partition) {
        this.context = context;
        this.partition = partition;
    }

    void begin(CallKey key, CallGuard guard, HostId origin, ForwardedCommand command, long nowMs, Effects out) {
        long number = context.writer()
                .readBodies(partition, CallRecords.SLICE, List.of(guard.answer().orElseThrow()), nowMs, out);
        pending.put(number, new Pending(key, guard.run(), origin, command));
    }

    void bodyRead(long readNumber, Optional<ByteString> payload, long nowMs, Effects out) {
        Pending asked = pending.remove(readNumber);
        if (asked != null) {
            CallerReply reply = payload.<CallerReply>map(body -> reply(asked, body))
                    .orElse(CallRefusals.answerNotKept(asked.key()));
            context.replies().answer(asked.origin(), asked.command(), reply, nowMs, out);
        }
    }

    void bodyUnavailable(long readNumber, long nowMs, Effects out) {
        Pending asked = pending.remove(readNumber);
        if (asked != null) {
            context.replies().answer(asked.origin(), asked.command(), CallRefusals.answerUnreadable(), nowMs, out);
        }
    }

    void ownershipLost(long nowMs, Effects out) {
        List<Pending> declined = List.copyOf(pending.values());
        pending.clear();
        declined.forEach(asked -> context.replies().decline(asked.origin(), asked.command(), true, nowMs, out));
    }

    private static CallerReply reply(Pending asked, ByteString payload) {
        CallFinishedRecord finished;
        try {
            finished = CallRecord.parseFrom(payload).getFinished();
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("payload must be a call record but does not parse", e);
        }
        if (finished.getBodyDropped()) {
            return CallRefusals.answerNotKept(asked.key());
        }
        boolean replayed = !asked.run().startsWith(asked.command().request() + "@");
        return new ServiceResponse(finished.getStatus(), finished.getContentType(), finished.getBody())
                .reply(replayed, asked.key().key());
    }

    private record Pending(CallKey key, String run, HostId origin, ForwardedCommand command) {}
}
