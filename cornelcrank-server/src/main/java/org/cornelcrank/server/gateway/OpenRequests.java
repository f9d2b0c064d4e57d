package org.cornelcrank.server.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counts the callers' requests that were passed to the decision core and those that have ended; the others are open.
 *
 * <p>Invariant: each request ends once, as it is replied to or as its caller disconnects, so that none is open on a
 * daemon without callers. Thread-safe.
 */
final class OpenRequests {

    private final Counter accepted;
    private final Counter ended;

    OpenRequests(MetricRegistry metrics) {
        this.accepted = metrics.counter("gateway.requests-accepted");
        this.ended = metrics.counter("gateway.requests-ended");
        metrics.registerGauge("gateway.open-requests", this::open);
    }

    void accept() {
        accepted.inc();
    }

    void end() {
        ended.inc();
    }

    long accepted() {
        return accepted.getCount();
    }

    long ended() {
        return ended.getCount();
    }

    /** Returns how many requests have neither been replied to nor lost their caller. */
    long open() {
        return accepted() - ended();
    }
}
