package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.Effects;

/**
 * Answers reads of the jobs of one partition, and keeps those that wait for a first result.
 *
 * <p>Invariant: each read is answered once. Not thread-safe: confined to the daemon's event loop.
 */
final class WaitingReads {

    /** The most text in one page of results, in bytes: under 1 MB also where each byte is escaped. */
    static final int MAX_PAGE_BYTES = 400 * 1024;

    private final List<WaitingRead> waiting = new ArrayList<>();

    /** Answers a read of results now if there is something to tell, or keeps it until its time is over. */
    void read(JobRun run, JobMessage.ReadRequest ask, ReadReply reply, long nowMs, Effects out) {
        if (ask.fromPosition() < run.listed().size() || run.done() || ask.waitMs() <= 0) {
            reply.answer(page(run, ask), nowMs, out);
        } else {
            waiting.add(new WaitingRead(ask, reply, nowMs + ask.waitMs()));
        }
    }

    /** Answers the reads of a job for which there is something to tell, or whose time is over. */
    void answer(JobRun run, long nowMs, Effects out) {
        for (Iterator<WaitingRead> reads = waiting.iterator(); reads.hasNext(); ) {
            WaitingRead read = reads.next();
            boolean due = nowMs >= read.untilMs();
            if (read.ask().job().equals(run.id())
                    && (due || read.ask().fromPosition() < run.listed().size() || run.done())) {
                reads.remove();
                read.reply().answer(page(run, read.ask()), nowMs, out);
            }
        }
    }

    /** Says of all that wait that this daemon cannot tell any longer. */
    void giveUpAll(long nowMs, Effects out) {
        for (WaitingRead read : List.copyOf(waiting)) {
            read.reply().answer(JobMessage.ReadReply.unknown(read.ask().number()), nowMs, out);
        }
        waiting.clear();
    }

    private static JobMessage.ReadReply page(JobRun run, JobMessage.ReadRequest ask) {
        List<ListedResult> results = new ArrayList<>();
        int bytes = 0;
        for (ListedResult result :
                run.listed().subList(ask.fromPosition(), run.listed().size())) {
            bytes += result.text().size();
            if (!results.isEmpty() && bytes > MAX_PAGE_BYTES) {
                break;
            }
            results.add(result);
        }
        int total = run.content().items().size();
        return new JobMessage.ReadReply(ask.number(), true, total, results, Optional.empty());
    }

    /** Carries the answer to a read. */
    interface ReadReply {
        void answer(JobMessage.ReadReply answer, long nowMs, Effects out);
    }

    private record WaitingRead(JobMessage.ReadRequest ask, ReadReply reply, long untilMs) {}
}
