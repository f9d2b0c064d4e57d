/**
 * Online requests and the capacity of targets: choice of target, permits, retries and suspects.
 *
 * <p>Depends on the core and the settings.
 */
package org.cornelcrank.routing;
