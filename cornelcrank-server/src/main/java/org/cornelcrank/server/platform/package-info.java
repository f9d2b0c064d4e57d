/**
 * Clients of the platform: the log and the host list.
 *
 * <p>Depends on the core and the event loop.
 */
package org.cornelcrank.server.platform;
