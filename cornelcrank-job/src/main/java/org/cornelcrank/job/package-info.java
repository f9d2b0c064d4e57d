/**
 * Jobs of many items, stored in keyed topics.
 *
 * <p>Any daemon accepts a job by appending it to the store. The owner of the job's partition runs the items and assigns
 * a position to each result, under an epoch that the store enforces. Any daemon reads results, from the owner or else
 * from the store. Depends on the core, the store, the gateway's routes and the batch capacity of the routing module.
 */
package org.cornelcrank.job;
