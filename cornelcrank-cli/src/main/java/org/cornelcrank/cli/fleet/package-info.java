/**
 * A complete deployment on loopback addresses in one process, with stand-ins, daemons and settings, for the
 * demonstration and the load tool.
 *
 * <p>Depends on the client package and on the server and stand-in modules.
 */
package org.cornelcrank.cli.fleet;
