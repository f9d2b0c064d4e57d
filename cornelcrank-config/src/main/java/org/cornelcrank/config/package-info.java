/**
 * The operators' settings: their schema, their versioned storage in the log, and the policies resolved from them.
 *
 * <p>Depends on the core only.
 */
package org.cornelcrank.config;
