/**
 * Operators' settings: their schema, their versions and the views that other duties read.
 *
 * <p>Depends on the core only.
 */
package org.cornelcrank.config;
