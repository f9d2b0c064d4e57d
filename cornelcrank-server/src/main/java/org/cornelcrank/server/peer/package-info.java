/**
 * Connections and datagrams between peers.
 *
 * <p>Frames are protobuf messages; daemons accept only peers that hold the deployment's shared key. Depends only on the
 * core and the event loop.
 */
package org.cornelcrank.server.peer;
