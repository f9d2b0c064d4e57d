/**
 * What duties need to work with the platform's store: calls with their answers, and followers of keyed topics.
 *
 * <p>Depends on the core only, whose types state the store's contract.
 */
package org.cornelcrank.store;
