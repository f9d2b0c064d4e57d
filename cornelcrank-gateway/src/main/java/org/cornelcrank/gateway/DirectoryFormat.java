package org.cornelcrank.gateway;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.TopicPartition;

/**
 * Says where a platform keeps its routes and its targets, and decodes both.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface DirectoryFormat {

    /** Returns where the table of routes lies. */
    TopicPartition routes();

    /** Returns the key of the table of routes. */
    String routesKey();

    /** Returns where the targets register, each under its id. */
    TopicPartition targets();

    /** Decodes a table of routes, empty if it cannot be read. */
    Optional<RouteTable> routeTable(ByteString value);

    /** Decodes a target's entry, empty if it names no target to use. */
    Optional<TargetEntry> target(String id, ByteString value);
}
