/**
 * Access of state machines to the platform's store: calls with their responses, and followers of keyed topics.
 *
 * <p>Depends on the core only, whose types define the contract of the store.
 */
package org.cornelcrank.store;
