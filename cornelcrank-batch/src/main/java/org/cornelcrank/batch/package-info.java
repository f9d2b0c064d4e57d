/**
 * Batch jobs, whose items each finish exactly once.
 *
 * <p>Depends on the partitions for what must last and on routing for capacity.
 */
package org.cornelcrank.batch;
