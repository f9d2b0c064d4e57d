package org.cornelcrank.job;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.Subject;

/**
 * Serves the reads that peers ask of this daemon while it loads a partition: each job as soon as its records have been
 * read from the store, by the load or by a read for this job alone.
 *
 * <p>A read that cannot be served at once gets a reply that the job is not known yet, and a second one later: the job, or
 * once more that it is not known, if its turn would come too late, or that this daemon is not the owner, if the reader has
 * to read the store itself. While the store fails for this daemon, only loaded records are served.
 * Invariant: a job is never reported as missing. Not thread-safe: confined to the daemon's event loop.
 */
final class LoadingReads {

    private final StoreReads storeReads;
    private final Map<RequestId, HeldRead> held = new LinkedHashMap<>();

    LoadingReads(StoreReads storeReads) {
        this.storeReads = Objects.requireNonNull(storeReads, "storeReads must not be null");
    }

    /** Reads for a peer. */
    void read(
            HostId from,
            JobMessage.ReadRequest readRequest,
            int partition,
            WaitingReads.ReadCallback callback,
            long nowMs,
            Effects out) {
        dropExpired(nowMs, out);
        RequestId reader = new RequestId(
                from, readRequest.id().incarnation(), readRequest.id().number());
        HeldRead read = new HeldRead(readRequest, partition, nowMs + readRequest.waitMs(), callback);
        held.put(reader, read);
        storeReads.read(reader, readRequest, partition, read.deadlineAtMs(), new HeldReadListener(reader), nowMs, out);
        if (held.containsKey(reader) && storeReads.failing()) {
            held.remove(reader);
            storeReads.remove(reader, nowMs, out);
            callback.replied(read.notServed(), nowMs, out);
        } else if (held.containsKey(reader)) {
            read.hold(nowMs, out);
            out.explain(
                    Subject.Kind.JOB,
                    readRequest.job(),
                    nowMs,
                    "read of " + from + " is held",
                    "partition " + partition + " is loading, from position " + readRequest.fromPosition());
        }
    }

    /** Serves the reads whose records have been loaded. */
    void recordsLoaded(int partition, long nowMs, Effects out) {
        dropExpired(nowMs, out);
        storeReads.recordsLoaded(partition, nowMs, out);
    }

    /** Passes the reads of a partition that has been loaded to its owner. */
    void opened(OwnedPartition partition, long nowMs, Effects out) {
        dropExpired(nowMs, out);
        storeReads.loadEnded(partition.number(), nowMs, out);
        take(partition.number(), reader -> true, nowMs, out).forEach(read -> read.passTo(partition, nowMs, out));
    }

    /** Replies to the reads of a partition that this daemon does not load any more; those that run go on. */
    void abandon(int partition, long nowMs, Effects out) {
        storeReads.loadEnded(partition, nowMs, out);
        take(partition, reader -> !storeReads.runs(reader), nowMs, out)
                .forEach(read -> read.callback.replied(read.notServed(), nowMs, out));
    }

    private List<HeldRead> take(int partition, Predicate<RequestId> selected, long nowMs, Effects out) {
        Map<RequestId, HeldRead> taken = new LinkedHashMap<>(held);
        taken.values().removeIf(read -> read.partition != partition);
        taken.keySet().removeIf(selected.negate());
        held.keySet().removeAll(taken.keySet());
        taken.keySet().forEach(reader -> storeReads.remove(reader, nowMs, out));
        return List.copyOf(taken.values());
    }

    private void dropExpired(long nowMs, Effects out) {
        Map<RequestId, HeldRead> expired = new LinkedHashMap<>(held);
        expired.values().removeIf(read -> nowMs < read.deadlineAtMs());
        held.keySet().removeAll(expired.keySet());
        expired.keySet().forEach(reader -> storeReads.remove(reader, nowMs, out));
    }

    void dump(StateWriter writer) {
        writer.field("heldReads", held.size());
    }

    /** Passes the outcome of a read on to its peer. */
    private final class HeldReadListener implements StoreReads.Listener {

        private final RequestId reader;

        HeldReadListener(RequestId reader) {
            this.reader = reader;
        }

        @Override
        public void ended(CallerReply reply, long nowMs, Effects out) {
            Optional.ofNullable(held.remove(reader))
                    .ifPresent(read -> read.callback.replied(read.replyOf(reply), nowMs, out));
        }

        @Override
        public void tooLate(Refusal refusal, long nowMs, Effects out) {
            Optional.ofNullable(held.remove(reader)).ifPresent(read -> read.refuse(nowMs, out));
        }
    }

    /** A read of a peer that waits for its reply. */
    private static final class HeldRead {

        private final JobMessage.ReadRequest readRequest;
        private final int partition;
        private final long waitEndsAtMs;
        private final WaitingReads.ReadCallback callback;
        private boolean readerKnows;

        HeldRead(
                JobMessage.ReadRequest readRequest,
                int partition,
                long waitEndsAtMs,
                WaitingReads.ReadCallback callback) {
            this.readRequest = readRequest;
            this.partition = partition;
            this.waitEndsAtMs = waitEndsAtMs;
            this.callback = callback;
        }

        /** Returns when the reader refuses its caller, in ms. */
        long deadlineAtMs() {
            return waitEndsAtMs + JobReads.REFUSAL_MARGIN_MS;
        }

        void hold(long nowMs, Effects out) {
            readerKnows = true;
            callback.replied(JobMessage.ReadReply.unknownJob(readRequest.id()), nowMs, out);
        }

        void refuse(long nowMs, Effects out) {
            if (!readerKnows) {
                hold(nowMs, out);
            }
            callback.replied(JobMessage.ReadReply.unknownJob(readRequest.id()), nowMs, out);
        }

        /** Returns the reply that lets the reader read the store itself. */
        JobMessage.ReadReply notServed() {
            return JobMessage.ReadReply.notOwner(readRequest.id());
        }

        JobMessage.ReadReply replyOf(CallerReply reply) {
            if (reply instanceof JobPage page) {
                return new JobMessage.ReadReply(
                        readRequest.id(), true, true, page.totalItems(), page.results(), Optional.empty());
            }
            return reply instanceof ItemBody body
                    ? new JobMessage.ReadReply(readRequest.id(), true, true, 0, List.of(), Optional.of(body.body()))
                    : notServed();
        }

        /** Passes the rest of the read to the owner of the loaded partition. */
        void passTo(OwnedPartition owner, long nowMs, Effects out) {
            JobMessage.ReadRequest rest = new JobMessage.ReadRequest(
                    readRequest.id(),
                    readRequest.job(),
                    readRequest.fromPosition(),
                    Math.max(0, waitEndsAtMs - nowMs),
                    readRequest.bodyOfItem());
            owner.read(
                    rest,
                    (reply, atMs, effects) -> callback.replied(reply.known() ? reply : notServed(), atMs, effects),
                    nowMs,
                    out);
        }
    }
}
