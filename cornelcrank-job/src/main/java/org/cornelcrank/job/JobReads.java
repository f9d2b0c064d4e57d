package org.cornelcrank.job;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TimerKey;

/**
 * Reads jobs for callers: from the owner of the partition, and from the store as well if the owner is unknown, does not
 * know the job, may not reply or lets the caller wait; the first reply counts.
 *
 * <p>Invariant: each read gets exactly one reply, before its caller leaves. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class JobReads {

    /** How long an owner's reply may take beyond the requested wait, in ms; covers round trips between regions. */
    private static final long REPLY_MARGIN_MS = 350;

    /** How long callers wait beyond the wait that they request, in ms. */
    private static final long CALLER_MARGIN_MS = 1_500;

    private static final Refusal NO_REPLY_IN_TIME = StoreReads.refusal("neither has replied in time");

    private final JobSettings settings;
    private final TimerKey timer;
    private final OwnerClient owners;
    private final StoreReads storeReads;
    private final CorrelationId.Sequence ids;
    private final Map<RequestId, OpenRead> open = new LinkedHashMap<>();
    private final Map<CorrelationId, OpenRead> awaitingOwner = new HashMap<>();
    private long lateReplies;

    JobReads(
            JobSettings settings,
            TimerKey timer,
            OwnerClient owners,
            StoreReads storeReads,
            CorrelationId.Sequence ids) {
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.owners = Objects.requireNonNull(owners, "owners must not be null");
        this.storeReads = Objects.requireNonNull(storeReads, "storeReads must not be null");
        this.ids = Objects.requireNonNull(ids, "ids must not be null");
    }

    void read(RequestId request, ReadJob read, long nowMs, Effects out) {
        startRead(request, read.job(), read.fromPosition(), read.waitMs(), Optional.empty(), nowMs, out);
    }

    void readBody(RequestId request, ReadItemBody read, long nowMs, Effects out) {
        startRead(request, read.job(), 0, 0, Optional.of(read.itemId()), nowMs, out);
    }

    private void startRead(
            RequestId request,
            JobId job,
            int fromPosition,
            long waitMs,
            Optional<String> bodyOfItem,
            long nowMs,
            Effects out) {
        JobMessage.ReadRequest readRequest =
                new JobMessage.ReadRequest(ids.next(), job, fromPosition, waitMs, bodyOfItem);
        int partition = JobRecords.partitionOf(job, settings.partitions());
        OpenRead read = new OpenRead(request, readRequest, partition, owners.likelyOwner(partition), nowMs + waitMs);
        open.put(request, read);
        if (read.owner.isEmpty()) {
            readStore(read, "no owner is known", nowMs, out);
            scheduleTimer(nowMs, out);
            return;
        }
        askOwner(read, nowMs, out);
        if (!open.containsKey(request)) {
            return;
        }
        if (owners.mayNotReply(partition)) {
            readStore(read, read.owner.get() + " may not reply", nowMs, out);
        }
        scheduleTimer(nowMs, out);
    }

    private void askOwner(OpenRead read, long nowMs, Effects out) {
        awaitingOwner.put(read.readRequest.id(), read);
        read.askedAtVersion = owners.publishedVersion(read.partition);
        owners.sendRead(read.owner.orElseThrow(), read.readRequest, nowMs, out);
    }

    /** Asks a host that has become the owner of a partition for the open reads that another host has not served. */
    void ownerChanged(int partition, HostId owner, long nowMs, Effects out) {
        for (OpenRead read : List.copyOf(open.values())) {
            boolean asked = read.owner.equals(Optional.of(owner)) && awaitingOwner.containsKey(read.readRequest.id());
            if (read.partition == partition && !asked && open.containsKey(read.request)) {
                awaitingOwner.remove(read.readRequest.id());
                read.moveTo(owner, ids.next(), nowMs);
                askOwner(read, nowMs, out);
            }
        }
        scheduleTimer(nowMs, out);
    }

    private void scheduleTimer(long nowMs, Effects out) {
        if (!open.isEmpty()) {
            out.schedule(timer, Math.max(nowMs + 1, earliestMs()));
        }
    }

    private long earliestMs() {
        return open.values().stream().mapToLong(OpenRead::dueAtMs).min().orElse(Long.MAX_VALUE);
    }

    /** Handles the reply of a host that was taken for the owner. */
    void ownerReplied(HostId from, JobMessage.ReadReply reply, long nowMs, Effects out) {
        owners.replied(from);
        OpenRead read = awaitingOwner.remove(reply.id());
        if (read == null) {
            lateReplies++;
            return;
        }
        JobMessage.ReadRequest readRequest = read.readRequest;
        if (!reply.known()) {
            if (!reply.owner() && !owners.notOwner(read.partition, from, read.askedAtVersion)) {
                read.moveTo(from, ids.next(), nowMs);
                askOwner(read, nowMs, out);
                return;
            }
            if (read.storeRefusal.isPresent()) {
                reply(read, read.storeRefusal.get(), nowMs, out);
                return;
            }
            String reason = reply.owner() ? " does not know the job yet" : " is not the owner";
            readStore(read, from + reason, nowMs, out);
            return;
        }
        if (readRequest.bodyOfItem().isPresent()) {
            reply(read, body(reply.body()), nowMs, out);
        } else {
            storeReads.itemCountKnown(readRequest.job(), reply.totalItems());
            reply(read, new JobPage(reply.totalItems(), readRequest.fromPosition(), reply.results()), nowMs, out);
        }
    }

    private void reply(OpenRead read, CallerReply reply, long nowMs, Effects out) {
        if (remove(read.request, nowMs, out)) {
            out.reply(read.request, reply);
        }
    }

    private boolean remove(RequestId request, long nowMs, Effects out) {
        OpenRead read = open.remove(request);
        if (read == null) {
            return false;
        }
        awaitingOwner.remove(read.readRequest.id());
        if (read.readsStore) {
            storeReads.remove(request, nowMs, out);
        }
        return true;
    }

    static CallerReply body(Optional<ByteString> body) {
        return body.<CallerReply>map(ItemBody::new)
                .orElseGet(() ->
                        Refusal.notRun(RefusalCode.NOT_FOUND, "there is no such item, or its job has been ended"));
    }

    /**
     * Reads from the store as well what owners have not replied to in time, and refuses what neither has served;
     * called when the timer is due.
     */
    void timerDue(long nowMs, Effects out) {
        for (OpenRead read : List.copyOf(open.values())) {
            if (nowMs < read.dueAtMs()) {
                continue;
            }
            if (read.readsStore) {
                reply(read, read.storeRefusal.orElse(NO_REPLY_IN_TIME), nowMs, out);
            } else {
                HostId owner = read.owner.orElseThrow();
                owners.late(read.partition, owner);
                readStore(read, owner + " has not replied in time", nowMs, out);
            }
        }
        scheduleTimer(nowMs, out);
    }

    private void readStore(OpenRead read, String reason, long nowMs, Effects out) {
        if (read.readsStore) {
            return;
        }
        read.readsStore = true;
        out.explain(
                Subject.Kind.JOB,
                read.readRequest.job(),
                nowMs,
                "read from the store",
                "partition " + read.partition + ", from position " + read.readRequest.fromPosition() + ": " + reason);
        storeReads.read(
                read.request,
                read.readRequest,
                read.partition,
                read.waitEndsAtMs + CALLER_MARGIN_MS,
                (reply, atMs, effects) -> storeReplied(read, reply, atMs, effects),
                nowMs,
                out);
    }

    /** Passes the store's reply on, unless it is a failure and the owner may still reply in time. */
    private void storeReplied(OpenRead read, CallerReply reply, long nowMs, Effects out) {
        boolean failed = reply instanceof Refusal refusal && refusal.code() == RefusalCode.STORE_UNAVAILABLE;
        if (failed && awaitingOwner.containsKey(read.readRequest.id()) && nowMs < read.refuseAtMs()) {
            read.storeRefusal = Optional.of((Refusal) reply);
        } else {
            reply(read, reply, nowMs, out);
        }
    }

    /** Ends the read of a caller that has disconnected. */
    void callerDisconnected(RequestId request, long nowMs, Effects out) {
        remove(request, nowMs, out);
    }

    /** Refuses all open reads; later replies of owners and of the store are ignored. */
    void refuseAll(Refusal refusal, long nowMs, Effects out) {
        List.copyOf(open.values()).forEach(read -> reply(read, refusal, nowMs, out));
    }

    void dump(StateWriter writer) {
        writer.field("openReads", open.size());
        writer.field("lateReplies", lateReplies);
        storeReads.dump(writer);
    }

    /** Tracks the likely owners of partitions and sends reads to them. */
    interface OwnerClient {

        Optional<HostId> likelyOwner(int partition);

        /**
         * Returns whether the likely owner may not reply: it has let a read wait too long and has not replied since, or
         * its partition has been assigned to this daemon, which has not loaded it yet.
         */
        boolean mayNotReply(int partition);

        void sendRead(HostId owner, JobMessage.ReadRequest readRequest, long nowMs, Effects out);

        /** Records that the host did not reply in time. */
        void late(int partition, HostId owner);

        /** Returns the highest version under which a daemon has published that it owns the partition. */
        long publishedVersion(int partition);

        /**
         * Records that the host replied that it is not the owner; returns false if that no longer holds, as it has
         * published its ownership after it was asked.
         */
        boolean notOwner(int partition, HostId host, long askedAtVersion);

        /** Records that the host replied to a read. */
        void replied(HostId host);
    }

    /** A read whose caller waits. */
    private static final class OpenRead {

        private final RequestId request;
        private final int partition;
        private final long waitEndsAtMs;
        private JobMessage.ReadRequest readRequest;
        private Optional<HostId> owner;
        private long askedAtVersion;
        private boolean readsStore;
        private Optional<Refusal> storeRefusal = Optional.empty();

        OpenRead(
                RequestId request,
                JobMessage.ReadRequest readRequest,
                int partition,
                Optional<HostId> owner,
                long waitEndsAtMs) {
            this.request = request;
            this.readRequest = readRequest;
            this.partition = partition;
            this.owner = owner;
            this.waitEndsAtMs = waitEndsAtMs;
        }

        /** Directs the read to another owner; a reply of the former one is ignored from then on. */
        void moveTo(HostId newOwner, CorrelationId id, long nowMs) {
            owner = Optional.of(newOwner);
            readRequest = new JobMessage.ReadRequest(
                    id,
                    readRequest.job(),
                    readRequest.fromPosition(),
                    Math.max(0, waitEndsAtMs - nowMs),
                    readRequest.bodyOfItem());
        }

        /** Returns when something has to be done unless there is a reply before, in ms. */
        long dueAtMs() {
            return readsStore ? refuseAtMs() : waitEndsAtMs + REPLY_MARGIN_MS;
        }

        /** Returns when a read that nobody has served is refused, in ms: early enough for its caller to be told. */
        long refuseAtMs() {
            return waitEndsAtMs + CALLER_MARGIN_MS - REPLY_MARGIN_MS;
        }
    }
}
