/**
 * The command line program for operators and callers, with the demonstration, the load tool and the commands that run
 * stand-ins.
 *
 * <p>Depends on the server module only to run fleets in this process; all other commands call daemons over HTTP.
 */
package org.cornelcrank.cli;
