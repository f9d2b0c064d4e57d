/**
 * The event loop that confines a daemon's decision core to one thread.
 *
 * <p>Depends on the core and the composed daemon only.
 */
package org.cornelcrank.server.loop;
