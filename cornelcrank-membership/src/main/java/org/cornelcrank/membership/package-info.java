/**
 * Which daemons there are, and the soft facts that they tell each other.
 *
 * <p>Depends on the core only.
 */
package org.cornelcrank.membership;
