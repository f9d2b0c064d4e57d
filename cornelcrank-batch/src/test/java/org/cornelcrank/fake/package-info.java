/**
 * Fakes of what surrounds a duty that keeps its state in partitions: the partitions, the settings and the other daemons.
 *
 * <p>Virtual time only; used by the tests of batch jobs and of guarded calls.
 */
package org.cornelcrank.fake;
