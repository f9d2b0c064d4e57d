/**
 * Small stand-ins of the platform's services, of model engines and of plain services, for tests and demonstrations.
 *
 * <p>Depends on no other module.
 */
package org.cornelcrank.standin;
