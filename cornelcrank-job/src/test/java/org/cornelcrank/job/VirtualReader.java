package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.store.fake.VirtualNodes;

/**
 * Reads all results of a job in virtual time, each time at any daemon, until it has them or its patience ends.
 *
 * <p>Leaves a read that is not answered in time, and reads again after each failure. Not thread-safe.
 */
final class VirtualReader {

    static final long PATIENCE_MS = 12_000;

    private static final long WAIT_MS = 1_000;
    private static final long REPLY_TIMEOUT_MS = 1_500;
    private static final long CONNECT_PAUSE_MS = 50;

    private final VirtualJobSites sites;
    private final VirtualNodes nodes;
    private final JobId job;
    private final long startedAtMs;
    private final long patienceMs;
    private final Listener listener;
    private final List<Outcome> outcomes = new ArrayList<>();
    private int results;
    private int attempts;
    private boolean done;

    VirtualReader(VirtualJobSites sites, JobId job) {
        this(sites, job, PATIENCE_MS, (host, reply) -> {});
    }

    VirtualReader(VirtualJobSites sites, JobId job, long patienceMs, Listener listener) {
        this.patienceMs = patienceMs;
        this.listener = listener;
        this.sites = sites;
        this.nodes = sites.nodes;
        this.job = job;
        this.startedAtMs = nodes.nowMs();
    }

    JobId job() {
        return job;
    }

    boolean done() {
        return done;
    }

    /** Ends the reads of a job that will get no more results. */
    void end() {
        done = true;
    }

    /** Returns what each of the reads has come to, in their order. */
    List<Outcome> outcomes() {
        return outcomes;
    }

    void read() {
        List<HostId> running = sites.running();
        if (nodes.nowMs() - startedAtMs >= patienceMs || done) {
            return;
        }
        if (running.isEmpty()) {
            nodes.later(CONNECT_PAUSE_MS, this::read);
            return;
        }
        read(running.get(sites.random().nextInt(running.size())));
    }

    private void read(HostId host) {
        int attempt = ++attempts;
        RequestId request = nodes.submit(host, new ReadJob(job, results, WAIT_MS), reply -> {
            if (attempt == attempts) {
                listener.replied(host, Optional.of(reply));
                replied(reply);
            }
        });
        nodes.later(WAIT_MS + REPLY_TIMEOUT_MS, () -> {
            if (attempt == attempts) {
                attempts++;
                outcomes.add(Outcome.SILENCE);
                listener.replied(host, Optional.empty());
                Optional.of(host).filter(nodes::runs).ifPresent(running -> nodes.disconnect(running, request));
                read();
            }
        });
    }

    private void replied(CallerReply reply) {
        attempts++;
        if (reply instanceof JobPage page) {
            outcomes.add(page.results().isEmpty() ? Outcome.EMPTY_PAGE : Outcome.RESULTS);
            results = page.nextPosition();
            done |= results >= page.totalItems();
            if (!done) {
                nodes.later(1, this::read);
            }
            return;
        }
        Refusal refusal = (Refusal) reply;
        outcomes.add(Outcome.of(refusal));
        nodes.later(Math.max(CONNECT_PAUSE_MS, refusal.retryAfterMs()), this::read);
    }

    /** Receives each reply, empty for a read that the caller has left without one. */
    interface Listener {
        void replied(HostId host, Optional<CallerReply> reply);
    }

    /** What a read has come to. */
    enum Outcome {
        RESULTS,
        EMPTY_PAGE,
        /** The daemon answered that there is no such job. */
        MISSING,
        /** The daemon did not read the store because of its limit. */
        LIMIT,
        /** Neither the owner nor the store answered the daemon. */
        UNREACHABLE,
        /** The caller has left before there was an answer. */
        SILENCE;

        private static Outcome of(Refusal refusal) {
            if (refusal.code() == RefusalCode.NOT_FOUND) {
                return MISSING;
            }
            return refusal.message().contains("limit") ? LIMIT : UNREACHABLE;
        }
    }
}
