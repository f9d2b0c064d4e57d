/**
 * Connections and datagrams between daemons.
 *
 * <p>Frames are protobuf; daemons accept each other only with the deployment's shared key. Depends on the core and the
 * event loop.
 */
package org.cornelcrank.server.peer;
