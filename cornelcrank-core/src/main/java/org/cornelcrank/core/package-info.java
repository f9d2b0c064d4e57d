/**
 * The shared vocabulary of the fleet and the contract between a daemon's duties and its edge.
 *
 * <p>Holds identifiers, verdicts, the events that a {@link org.cornelcrank.core.StateMachine} receives and the effects that it
 * asks for. Every other module depends on this package; it depends on none of them.
 */
package org.cornelcrank.core;
