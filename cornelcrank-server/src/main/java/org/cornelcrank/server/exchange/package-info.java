/**
 * Callers' open requests, between the HTTP server that writes their responses and the decision core.
 *
 * <p>Depends on the core and the event loop only.
 */
package org.cornelcrank.server.exchange;
