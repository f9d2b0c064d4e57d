/**
 * The program for operators and callers, with the demonstration, the load tool and the stand-ins' start.
 *
 * <p>Depends on the server for the demonstration only; all else goes over HTTP.
 */
package org.cornelcrank.cli;
