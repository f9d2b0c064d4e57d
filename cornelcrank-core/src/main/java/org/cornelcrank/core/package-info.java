/**
 * Common value types, and the contract between a daemon's state machines and its I/O layer.
 *
 * <p>Contains identifiers, verdicts, the events that a {@link org.cornelcrank.core.StateMachine} receives and the
 * effects that it requests. Every other module depends on this package, and it depends on none of them.
 */
package org.cornelcrank.core;
