/**
 * The gateway's edge: callers' requests in a platform's dialect, and the attempts to run them on targets.
 *
 * <p>Depends on the gateway's and the routing's types, the event loop and the dialect's contract; knows no platform.
 */
package org.cornelcrank.server.gateway;
