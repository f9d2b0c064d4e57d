package org.cornelcrank.partition;

import java.util.SplittableRandom;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.PartitionId;

/** Creates folds without a daemon. */
final class TestFolds {

    private TestFolds() {}

    static PartitionFold fold(PartitionSettings settings, PartitionId partition) {
        Location location = new Location(TestFleet.REGION, new DataCentreId("trnava-a"));
        DaemonIdentity identity = new DaemonIdentity(new HostId("reader"), 0, location, "127.0.0.1:1");
        PartitionContext context = new PartitionContext(
                identity, settings, new SplittableRandom(0), new PartitionMetrics(new MetricRegistry()));
        LedgerClient client = new LedgerClient();
        context.clients.put(client.slice(), client);
        return context.newFold(partition);
    }
}
