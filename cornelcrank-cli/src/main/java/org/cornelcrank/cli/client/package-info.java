/**
 * Clients of a daemon's HTTP interfaces, and the API keys that they use.
 *
 * <p>Depends on the server module only for the hash of API keys.
 */
package org.cornelcrank.cli.client;
