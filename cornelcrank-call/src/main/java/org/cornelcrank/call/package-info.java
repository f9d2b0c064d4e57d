/**
 * At-most-once execution of calls that must not be repeated.
 *
 * <p>Depends on partitions for durable state and on routing for targets.
 */
package org.cornelcrank.call;
