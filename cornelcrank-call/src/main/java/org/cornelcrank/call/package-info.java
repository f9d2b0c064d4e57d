/**
 * Calls that may not be repeated, which run at most once.
 *
 * <p>Depends on the partitions for what must last and on routing for targets.
 */
package org.cornelcrank.call;
