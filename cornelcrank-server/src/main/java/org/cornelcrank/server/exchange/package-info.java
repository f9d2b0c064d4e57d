/**
 * Callers' open requests, between the HTTP front end that writes their answers and the decision core.
 *
 * <p>Depends on the core and the event loop.
 */
package org.cornelcrank.server.exchange;
