package org.cornelcrank.job;

import java.util.Optional;

import org.cornelcrank.core.Effects;
import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.routing.BatchCapacity;

/**
 * What the parts of the job duty share.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
record JobContext(
        JobSettings settings,
        RouteTableSettings routes,
        BatchCapacity capacity,
        JobWrites writes,
        PartitionListener listener) {

    /** Returns the route of an item in the table in force. */
    Optional<GatewayRoute> route(String host, String path) {
        return routes.table().flatMap(table -> table.select(host, path));
    }

    boolean routesKnown() {
        return routes.ready();
    }

    /** Is told how a partition fares. */
    interface PartitionListener {

        void jobBegan(long nowMs, Effects out);

        void partitionReady(int partition, long nowMs, Effects out);

        void partitionLost(int partition, long higherEpoch, long nowMs, Effects out);
    }
}
