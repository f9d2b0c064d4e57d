/**
 * The load tool: scenarios, an open-loop load generator, measurements and reports.
 *
 * <p>Depends on the client and fleet packages.
 */
package org.cornelcrank.cli.load;
