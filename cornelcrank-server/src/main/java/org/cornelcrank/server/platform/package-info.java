/**
 * Clients of the platform's services: the log and the host list.
 *
 * <p>Depends only on the core and the event loop.
 */
package org.cornelcrank.server.platform;
