/**
 * Ownership of partitions of the platform's log, and the durable records in them.
 *
 * <p>Other state machines keep their durable state in a {@link org.cornelcrank.partition.PartitionState} and write
 * through {@link org.cornelcrank.partition.PartitionWriter}. Depends on the core only.
 */
package org.cornelcrank.partition;
