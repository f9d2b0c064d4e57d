/**
 * The settings of a daemon process, from flags and environment variables.
 *
 * <p>Every invalid setting is reported, together with what is allowed, before the process starts. Depends only on the
 * core.
 */
package org.cornelcrank.server.settings;
