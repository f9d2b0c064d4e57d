/**
 * The gateway's I/O layer: callers' requests in a platform's dialect, and the attempts to run them on targets.
 *
 * <p>Depends on the types of the gateway and of routing, on the event loop and on the dialect interfaces, but on no
 * particular platform.
 */
package org.cornelcrank.server.gateway;
