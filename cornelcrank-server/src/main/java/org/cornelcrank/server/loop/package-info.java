/**
 * The event loop that confines a daemon's decision core to one thread.
 *
 * <p>Depends only on the core and the composed daemon.
 */
package org.cornelcrank.server.loop;
