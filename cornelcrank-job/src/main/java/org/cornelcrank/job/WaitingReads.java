package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.JobId;

/**
 * Replies to reads of the jobs of one partition, and holds the reads that wait for a first result.
 *
 * <p>Invariant: each read gets exactly one reply. Not thread-safe: confined to the daemon's event loop.
 */
final class WaitingReads {

    /** The text limit of a page of results, in bytes: keeps the page below 1 MB even if each byte has to be escaped. */
    static final int MAX_PAGE_BYTES = 400 * 1024;

    private final List<WaitingRead> waiting = new ArrayList<>();

    /** Replies to a read at once if there are results, or holds it until there are some or its wait is over. */
    void read(JobRun run, JobMessage.ReadRequest readRequest, ReadCallback callback, long nowMs, Effects out) {
        if (readRequest.fromPosition() < run.listed().size() || run.done() || readRequest.waitMs() <= 0) {
            callback.replied(page(run, readRequest), nowMs, out);
        } else {
            waiting.add(new WaitingRead(readRequest, callback, nowMs + readRequest.waitMs()));
        }
    }

    /** Replies to the reads of a job for which there are results, or whose wait is over. */
    void replyIfDue(JobRun run, long nowMs, Effects out) {
        for (Iterator<WaitingRead> reads = waiting.iterator(); reads.hasNext(); ) {
            WaitingRead read = reads.next();
            boolean due = nowMs >= read.deadlineAtMs();
            if (read.readRequest().job().equals(run.id())
                    && (due || read.readRequest().fromPosition() < run.listed().size() || run.done())) {
                reads.remove();
                read.callback().replied(page(run, read.readRequest()), nowMs, out);
            }
        }
    }

    /** Replies to all waiting reads with the results that there are. */
    void replyAll(Map<JobId, JobRun> runs, long nowMs, Effects out) {
        for (WaitingRead read : List.copyOf(waiting)) {
            JobRun run = runs.get(read.readRequest().job());
            JobMessage.ReadReply reply = run == null
                    ? JobMessage.ReadReply.unknownJob(read.readRequest().id())
                    : page(run, read.readRequest());
            read.callback().replied(reply, nowMs, out);
        }
        waiting.clear();
    }

    /** Replies to all waiting reads that this daemon does not own their jobs any more. */
    void abandonAll(long nowMs, Effects out) {
        for (WaitingRead read : List.copyOf(waiting)) {
            read.callback()
                    .replied(JobMessage.ReadReply.notOwner(read.readRequest().id()), nowMs, out);
        }
        waiting.clear();
    }

    private static JobMessage.ReadReply page(JobRun run, JobMessage.ReadRequest readRequest) {
        List<ListedResult> results = new ArrayList<>();
        int bytes = 0;
        for (ListedResult result :
                run.listed().subList(readRequest.fromPosition(), run.listed().size())) {
            bytes += result.text().size();
            if (!results.isEmpty() && bytes > MAX_PAGE_BYTES) {
                break;
            }
            results.add(result);
        }
        int total = run.content().items().size();
        return new JobMessage.ReadReply(readRequest.id(), true, true, total, results, Optional.empty());
    }

    /** Receives the reply to a read. */
    interface ReadCallback {
        void replied(JobMessage.ReadReply reply, long nowMs, Effects out);
    }

    private record WaitingRead(JobMessage.ReadRequest readRequest, ReadCallback callback, long deadlineAtMs) {}
}
