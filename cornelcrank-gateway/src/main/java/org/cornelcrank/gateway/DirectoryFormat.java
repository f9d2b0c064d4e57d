package org.cornelcrank.gateway;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.TopicPartition;

/**
 * Specifies where a platform stores its routes and target entries, and decodes both.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface DirectoryFormat {

    /** Returns the partition that holds the route table. */
    TopicPartition routes();

    /** Returns the key of the route table. */
    String routesKey();

    /** Returns the partition in which targets register, each under its id as the key. */
    TopicPartition targets();

    /** Decodes a route table, empty if it is malformed. */
    Optional<RouteTable> routeTable(ByteString value);

    /** Decodes the entry of a target, empty if it is malformed or the target must not be used. */
    Optional<TargetEntry> target(String id, ByteString value);
}
