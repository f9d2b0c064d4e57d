/**
 * A whole deployment on loopback addresses in one process: stand-ins, daemons and settings, for the demonstration and the
 * load tool.
 *
 * <p>Depends on the client package, the server and the stand-ins.
 */
package org.cornelcrank.cli.fleet;
