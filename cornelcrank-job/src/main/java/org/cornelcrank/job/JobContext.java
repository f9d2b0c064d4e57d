package org.cornelcrank.job;

import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.JobId;
import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.routing.BatchCapacity;

/**
 * The collaborators that the parts of the job state machine share.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
record JobContext(
        JobSettings settings,
        RouteTableSettings routes,
        BatchCapacity capacity,
        JobWrites writes,
        PartitionListener listener) {

    /** Returns the route of a host and path in the active table. */
    Optional<GatewayRoute> route(String host, String path) {
        return routes.table().flatMap(table -> table.select(host, path));
    }

    /** Returns whether the active table has been read since a time in ms, so that a route it lacks has been removed. */
    boolean routesReadSince(long atMs) {
        return routes.ready() && routes.confirmedAsOfMs() > atMs;
    }

    /** Returns the version of the active table, and the time in ms as of which it is the newest. */
    String routesState() {
        return "routes of version " + routes.version() + ", confirmed as of " + routes.confirmedAsOfMs();
    }

    /** Is notified of state changes of a partition. */
    interface PartitionListener {

        void jobStarted(long nowMs, Effects out);

        void jobUnreadable(JobId job, List<String> partKeys, long nowMs, Effects out);

        void partitionReady(int partition, long nowMs, Effects out);

        void partitionLost(int partition, long higherEpoch, long nowMs, Effects out);
    }
}
