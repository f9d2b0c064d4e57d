/**
 * Jobs of many items on keyed topics of the store.
 *
 * <p>Any daemon accepts a job by appending it; the owner of its partition runs the items and fixes the position of each
 * result under an epoch that the store enforces; any daemon reads, from the owner or else from the store. Depends on the
 * core, the store, the gateway's routes and the routing's batch capacity.
 */
package org.cornelcrank.job;
