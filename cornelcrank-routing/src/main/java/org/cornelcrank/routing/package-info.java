/**
 * Routing of online requests and the capacity of targets: target selection, permits, retries and suspects.
 *
 * <p>Depends on the core and the settings.
 */
package org.cornelcrank.routing;
