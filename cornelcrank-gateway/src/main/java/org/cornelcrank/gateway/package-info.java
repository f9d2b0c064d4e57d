/**
 * Serves a platform's callers: routes by host and path with a version that never goes back, and the directory of targets
 * and entry hosts that the store keeps.
 *
 * <p>Depends on the core, the settings' contract and the store; knows no names of any platform, which a
 * {@link org.cornelcrank.gateway.DirectoryFormat} decodes.
 */
package org.cornelcrank.gateway;
