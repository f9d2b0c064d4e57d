/**
 * Clients of targets: attempts, reports and orders.
 *
 * <p>Depends on the core, the event loop and the exchanges only.
 */
package org.cornelcrank.server.target;
