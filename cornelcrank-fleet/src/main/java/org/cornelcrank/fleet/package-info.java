/**
 * Orders that bring targets to the models, adapters, versions and roles that the settings ask for.
 *
 * <p>Depends on the partitions for claims and on routing for what targets report.
 */
package org.cornelcrank.fleet;
