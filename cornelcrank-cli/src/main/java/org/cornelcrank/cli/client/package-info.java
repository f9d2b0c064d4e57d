/**
 * Calls of a daemon's HTTP interfaces, and the keys for them.
 *
 * <p>Depends on the server for the hash of keys only.
 */
package org.cornelcrank.cli.client;
