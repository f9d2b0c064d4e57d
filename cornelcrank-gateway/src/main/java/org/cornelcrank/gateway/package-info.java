/**
 * Routing of a platform's requests: versioned routes by host and path, and the directory of targets and entry hosts in
 * the store.
 *
 * <p>Depends on the core, the contract of the settings and the store. Independent of any platform's names and formats,
 * which a {@link org.cornelcrank.gateway.DirectoryFormat} decodes.
 */
package org.cornelcrank.gateway;
