/**
 * The HTTP front end for callers and operators.
 *
 * <p>Authenticates, checks and renders; what is asked goes to the decision core as a command. Depends on the duties'
 * commands, the exchanges and the event loop.
 */
package org.cornelcrank.server.http;
