/**
 * What the daemon's HTTP clients share.
 *
 * <p>Depends on the HTTP library only.
 */
package org.cornelcrank.server.client;
