/**
 * Membership and failure detection of daemons, and dissemination of facts by gossip, in the style of SWIM.
 *
 * <p>Depends on the core only.
 */
package org.cornelcrank.membership;
