package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.gateway.DirectoryFormat;
import org.cornelcrank.gateway.GatewayRoute;
import org.cornelcrank.gateway.RequestLimits;
import org.cornelcrank.gateway.RouteTable;
import org.cornelcrank.gateway.TargetEntry;

/**
 * Stores route tables as the version and the path prefix of each route, and no targets.
 *
 * <p>Stateless, thus thread-safe.
 */
final class StoredRoutes implements DirectoryFormat {

    static final TopicPartition ROUTES = new TopicPartition("routes", 0);

    private static final String KEY = "table";
    private static final long APPEND_TIMEOUT_MS = 1_000;

    /** Returns the append that stores a table. */
    static StoreRequest.Append append(long version, List<String> pathPrefixes) {
        String text = version + " " + String.join(" ", pathPrefixes);
        return new StoreRequest.Append(
                ROUTES,
                List.of(new KeyedRecord(KEY, ByteString.copyFromUtf8(text.strip()))),
                Optional.empty(),
                APPEND_TIMEOUT_MS);
    }

    @Override
    public TopicPartition routes() {
        return ROUTES;
    }

    @Override
    public String routesKey() {
        return KEY;
    }

    @Override
    public TopicPartition targets() {
        return new TopicPartition("targets", 0);
    }

    @Override
    public Optional<RouteTable> routeTable(ByteString value) {
        String[] fields = value.toStringUtf8().split(" ");
        try {
            long version = Long.parseLong(fields[0]);
            List<GatewayRoute> routes = new ArrayList<>();
            for (int i = 1; i < fields.length; i++) {
                routes.add(VirtualJobs.route("r-" + fields[i].replace("/", ""), fields[i], "llm"));
            }
            return Optional.of(new RouteTable(version, routes, RequestLimits.DEFAULT));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public Optional<TargetEntry> target(String id, ByteString value) {
        return Optional.empty();
    }
}
