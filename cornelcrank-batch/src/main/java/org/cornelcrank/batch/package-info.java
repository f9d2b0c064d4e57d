/**
 * Batch jobs, each of whose items is recorded as finished exactly once.
 *
 * <p>Depends on partitions for durable state and on routing for capacity.
 */
package org.cornelcrank.batch;
