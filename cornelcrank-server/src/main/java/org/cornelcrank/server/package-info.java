/**
 * The daemon process: callers, operators, other daemons, the platform and targets at the edge of the decision core.
 *
 * <p>Turns effects into I/O and I/O into events; decides nothing itself.
 */
package org.cornelcrank.server;
