/**
 * Code shared by the daemon's HTTP clients.
 *
 * <p>Depends only on the HTTP library.
 */
package org.cornelcrank.server.client;
