/**
 * The daemon process: I/O with callers, operators, peers, the platform and targets, around the decision core.
 *
 * <p>Turns effects into I/O and I/O into events; makes no decisions itself.
 */
package org.cornelcrank.server;
