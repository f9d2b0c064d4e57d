/**
 * The HTTP server for callers and operators.
 *
 * <p>Authenticates and validates requests and renders replies; requests are passed to the decision core as commands.
 * Depends on the commands of the state machines, on the exchanges and on the event loop.
 */
package org.cornelcrank.server.http;
