/**
 * The decision core of one daemon, composed from its duties.
 *
 * <p>Depends on all duties; the edge depends on it.
 */
package org.cornelcrank.daemon;
