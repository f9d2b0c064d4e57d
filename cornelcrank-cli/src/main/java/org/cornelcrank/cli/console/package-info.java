/**
 * Console output for people and programs.
 *
 * <p>Depends on no other package of this module.
 */
package org.cornelcrank.cli.console;
