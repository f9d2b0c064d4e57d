/**
 * Reconciles targets with the models, adapters, versions and roles that the settings specify.
 *
 * <p>Depends on the partitions for claims and on routing for the targets' reports.
 */
package org.cornelcrank.fleet;
