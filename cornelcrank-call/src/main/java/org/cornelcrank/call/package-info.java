/**
 * Calls that must not be repeated, which run at most once.
 *
 * <p>Depends on partitions for durable state and on routing for targets.
 */
package org.cornelcrank.call;
