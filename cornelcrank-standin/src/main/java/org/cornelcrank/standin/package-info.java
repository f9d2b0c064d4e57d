/**
 * Small stand-ins for the platform's services, model engines and plain services, for tests and demonstrations.
 *
 * <p>Depends on no other module.
 */
package org.cornelcrank.standin;
