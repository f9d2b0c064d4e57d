/**
 * The settings of a daemon process, from flags and environment variables.
 *
 * <p>Every bad setting is named with what is allowed before the process does anything. Depends on the core only.
 */
package org.cornelcrank.server.settings;
