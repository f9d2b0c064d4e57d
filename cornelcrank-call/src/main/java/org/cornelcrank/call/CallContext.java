package org.cornelcrank.call;

import java.util.Objects;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.routing.RequestRouter;

/**
 * Collaborators and settings that the components of the call state machine share.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
record CallContext(
        PartitionWriter writer,
        RequestRouter router,
        CallSettings limits,
        CallReplies replies,
        RoutedCalls routed,
        MetricRegistry metrics) {

    CallContext {
        Objects.requireNonNull(writer, "writer must not be null");
        Objects.requireNonNull(router, "router must not be null");
        Objects.requireNonNull(limits, "limits must not be null");
        Objects.requireNonNull(metrics, "metrics must not be null");
    }

    void count(String name) {
        metrics.counter("call." + name).inc();
    }
}
