/**
 * The decision core of one daemon, composed of its state machines.
 *
 * <p>Depends on the modules of all state machines; the I/O layer depends on it.
 */
package org.cornelcrank.daemon;
