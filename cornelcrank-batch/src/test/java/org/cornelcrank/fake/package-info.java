/**
 * Fakes of the environment of a state machine that stores its state in partitions: the partitions, the settings and the
 * other daemons.
 *
 * <p>All time is virtual; used by the tests of batch jobs and of guarded calls.
 */
package org.cornelcrank.fake;
